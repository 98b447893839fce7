//! How often each worker is asked, as the pool grows.
//!
//! Each worker has a call waiting at it at any time, which renews its lease and
//! tells of ends. Renewed at a fixed pace, these calls take a share of the owner
//! that grows with the pool: with 3,000 workers they took all of half a core, orders
//! and leases came late, and nothing was served; with 85 behind a link of 2 Mbit/s
//! they filled it, and one worker in two counted as silent.

use std::time::Duration;

/// Longest wait of a worker for an end while the owner has room: also the time
/// between renewals. A call that is left unanswered hides the worker's ends until it
/// is given up. With 1 s here and 0.5 s until it was given up, ends came to light up
/// to 1.7 s late; lookups that failed on three days with a third of all orders
/// unanswered 705, with this 346.
const SHORTEST: Duration = Duration::from_millis(400);

/// The same at most: of a lease of 4.5 s, one call may fail, and a second.
const LONGEST: Duration = Duration::from_millis(1600);

/// Share of the owner's processor, and of its link, for these calls.
const SHARE: f64 = 0.2;

/// Calls that a core makes in a second, by the load of an owner of 3,000 workers.
const CALLS_A_CORE: f64 = 15_000.0;

/// Size of a call and of its answer, each with its headers, in bytes.
const CALL_BYTES: f64 = 500.0;

/// Bytes a second of a link of 1 Mbit/s.
const BYTES_A_MBIT: f64 = 125_000.0;

/// Calls a second that an owner with so much of a core and such a link can make.
#[must_use]
pub fn calls_a_second(cores: f64, link_mbps: f64) -> f64 {
    let by_core = cores * CALLS_A_CORE;
    let by_link = link_mbps * BYTES_A_MBIT / CALL_BYTES;
    by_core.min(by_link)
}

/// How long each of `workers` workers is to wait for an end, for an owner with so
/// much of a core and such a link.
#[must_use]
pub fn hold_wait(workers: usize, cores: f64, link_mbps: f64) -> Duration {
    let calls = (calls_a_second(cores, link_mbps) * SHARE).max(1.0);
    #[allow(clippy::cast_precision_loss)]
    let wait = workers as f64 / calls;
    let wait = Duration::from_secs_f64(wait.min(LONGEST.as_secs_f64()));
    wait.max(SHORTEST)
}
