//! This library is empty. The benchmarks are the bench targets `main` and `days`,
//! started by `cargo bench -p bench --bench main -- NAME` and
//! `cargo bench -p bench --bench days -- SUBCOMMAND`.
