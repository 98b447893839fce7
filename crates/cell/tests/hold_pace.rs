//! How often an owner asks its workers.

use std::time::Duration;

use cell::hold_wait;

/// Most calls a second that an owner's share of half a core bears.
const CALLS: f64 = 2000.0;

/// Symptom: with 3,000 workers nothing was served; a worker that leaves was given
/// work 5 s after it had said so. Sequence: each worker is asked every 0.4 s; the
/// owner's half of a core answers to nothing else; leases run out. Cause: the pace
/// of these calls did not depend on how many there are.
#[test]
fn a_large_pool_is_asked_at_a_pace_that_its_owner_bears() {
    let wait = hold_wait(3_000, 0.5, 200.0);

    assert!(3_000.0 / wait.as_secs_f64() <= CALLS, "{wait:?}");
}

/// Symptom: one worker in two counted as silent, and their tasks were started
/// again. Sequence: 85 workers are asked through a link of 2 Mbit/s; calls wait for
/// the link for longer than they may take.
#[test]
fn a_thin_link_is_not_filled_by_asking_workers() {
    let bytes_a_second = 2.0 * 125_000.0;

    let wait = hold_wait(85, 0.12, 2.0);

    let asked = 85.0 / wait.as_secs_f64() * 500.0;
    assert!(asked <= bytes_a_second / 4.0, "{wait:?}");
}

#[test]
fn an_owner_with_room_asks_often_and_none_asks_too_seldom() {
    assert_eq!(hold_wait(48, 0.25, 1000.0), Duration::from_millis(400));
    assert_eq!(hold_wait(540, 0.5, 200.0), Duration::from_millis(400));
    assert_eq!(hold_wait(100_000, 0.12, 2.0), Duration::from_millis(1600));
}
