//! Interval at which an owner renews the leases of its workers: the time for which a worker may
//! delay its reply to a renewal call. `max_reply_delay` derives it from the number of workers, the
//! owner's cores, and the bandwidth of its link in megabits per second.

use std::time::Duration;

use cell::max_reply_delay;

/// Largest number of renewal calls per second that an owner with half a core may make.
const MAX_CALLS: f64 = 2000.0;

/// Guards against renewal calls at a fixed interval, whatever the size of the pool: with 3,000
/// workers called every 0.4 s, these calls took all of the owner's half a core, leases expired and
/// no task was started; a worker still got work 5 s after it had reported that it was leaving.
#[test]
fn calls_to_a_large_pool_do_not_overload_its_owner() {
    let delay = max_reply_delay(3_000, 0.5, 200.0);

    assert!(3_000.0 / delay.as_secs_f64() <= MAX_CALLS, "{delay:?}");
}

/// Guards against renewal calls that fill a link of 2 Mbit/s: with 85 workers, the calls waited
/// for the link longer than their timeout, half of the workers counted as unresponsive, and their
/// tasks were started again.
#[test]
fn calls_do_not_fill_a_slow_link() {
    // 2 Mbit/s.
    let bytes_per_second = 2.0 * 125_000.0;

    let delay = max_reply_delay(85, 0.12, 2.0);

    // A call and its reply have 500 bytes.
    let call_bytes = 85.0 / delay.as_secs_f64() * 500.0;
    assert!(call_bytes <= bytes_per_second / 4.0, "{delay:?}");
}

#[test]
fn renewal_intervals_stay_within_their_limits() {
    assert_eq!(
        max_reply_delay(48, 0.25, 1000.0),
        Duration::from_millis(400)
    );
    assert_eq!(max_reply_delay(540, 0.5, 200.0), Duration::from_millis(400));
    assert_eq!(
        max_reply_delay(100_000, 0.12, 2.0),
        Duration::from_millis(1600)
    );
}
