//! How long workers delay their replies to the owner's renewal calls, depending on the size of
//! the pool.
//!
//! The owner keeps one call open to each worker, which renews the worker's lease and returns
//! ends of runs. Repeated at a fixed interval, these calls take a share of the owner's
//! resources that grows with the pool: with 3,000 workers they took all of half a core,
//! commands and leases came late, and no job was served; with 85 workers behind a link of 2
//! Mbit/s they filled the link, and half of the workers counted as unresponsive.

use std::time::Duration;

/// Lower limit of the time for which a worker may delay its reply, used while the owner has
/// resources to spare; this is also the time between renewals. A call that stays unanswered delays
/// the worker's ends until it times out. With 1 s here and a timeout of 0.5 s, ends arrived up to
/// 1.7 s late; with a third of all commands unanswered, 705 lookup jobs failed with those values
/// and 346 with 0.4 s.
const MIN_DELAY: Duration = Duration::from_millis(400);

/// Upper limit of that delay: within a lease of 4.5 s, two calls may fail.
const MAX_DELAY: Duration = Duration::from_millis(1600);

/// Share of the owner's processor, and of its link, for these calls.
const CALL_SHARE: f64 = 0.2;

/// Calls per second that a core makes, from the load of an owner with 3,000 workers.
const CALLS_PER_CORE: f64 = 15_000.0;

/// Size of a call and its reply, including headers, in bytes.
const CALL_BYTES: f64 = 500.0;

/// Bytes per second on a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Calls per second that an owner can make with `cores` processor cores and a link of
/// `link_mbps`.
#[must_use]
pub fn calls_per_second(cores: f64, link_mbps: f64) -> f64 {
    let by_core = cores * CALLS_PER_CORE;
    let by_link = link_mbps * BYTES_PER_MBIT / CALL_BYTES;
    by_core.min(by_link)
}

/// How long each of `workers` workers may delay its reply to a renewal call while it has no end to
/// report, for an owner with `cores` processor cores and a link of `link_mbps`.
#[must_use]
pub fn max_reply_delay(workers: usize, cores: f64, link_mbps: f64) -> Duration {
    let calls = (calls_per_second(cores, link_mbps) * CALL_SHARE).max(1.0);
    #[allow(clippy::cast_precision_loss)]
    let delay = workers as f64 / calls;
    let delay = Duration::from_secs_f64(delay.min(MAX_DELAY.as_secs_f64()));
    delay.max(MIN_DELAY)
}
