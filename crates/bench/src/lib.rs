//! This library is empty. The benchmarks are the bench targets `main` and `days`:
//! `cargo bench -p bench --bench main -- NAME`.
