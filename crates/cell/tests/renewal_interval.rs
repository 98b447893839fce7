//! Interval at which an owner renews the leases of its workers.

use std::time::Duration;

use cell::renewal_wait;

/// Largest number of calls per second that the owner can make with its share of half a core.
const MAX_CALLS: f64 = 2000.0;

/// Guards against calls at a fixed interval, whatever the size of the pool: with 3,000 workers
/// called every 0.4 s, the owner's half of a core did nothing else, leases expired and no job
/// was served; a worker that was leaving got work 5 s after it had reported this.
#[test]
fn calls_to_a_large_pool_do_not_overload_its_owner() {
    let wait = renewal_wait(3_000, 0.5, 200.0);

    assert!(3_000.0 / wait.as_secs_f64() <= MAX_CALLS, "{wait:?}");
}

/// Guards against calls that fill a link of 2 Mbit/s: with 85 workers, the calls waited for the
/// link longer than their timeout, half of the workers counted as silent, and their tasks were
/// started again.
#[test]
fn calls_do_not_fill_a_slow_link() {
    let bytes_per_second = 2.0 * 125_000.0;

    let wait = renewal_wait(85, 0.12, 2.0);

    let call_bytes = 85.0 / wait.as_secs_f64() * 500.0;
    assert!(call_bytes <= bytes_per_second / 4.0, "{wait:?}");
}

#[test]
fn renewal_intervals_stay_within_their_limits() {
    assert_eq!(renewal_wait(48, 0.25, 1000.0), Duration::from_millis(400));
    assert_eq!(renewal_wait(540, 0.5, 200.0), Duration::from_millis(400));
    assert_eq!(
        renewal_wait(100_000, 0.12, 2.0),
        Duration::from_millis(1600)
    );
}
