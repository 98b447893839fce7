//! How long the owner waits for the reply to a transaction.

use std::time::Duration;

use cell::ReplyWait;

/// Longest wait.
const LIMIT: Duration = Duration::from_millis(400);

fn wait_after(replies_ms: &[u64]) -> ReplyWait {
    let mut wait = ReplyWait::default();
    for time in replies_ms {
        wait.record(Duration::from_millis(*time));
    }
    wait
}

#[test]
fn the_wait_is_a_multiple_of_the_usual_time_within_limits() {
    let fast = wait_after(&[15]);
    let slow = wait_after(&[15, 50]);
    let slower = wait_after(&[15, 1_200]);

    assert_eq!(fast.current(), Duration::from_millis(100));
    assert_eq!(slow.current(), Duration::from_millis(200));
    assert_eq!(slower.current(), LIMIT);
}

/// Guards against repeating each write to a store that replies late.
#[test]
fn the_wait_doubles_up_to_the_limit_until_a_reply_comes() {
    let mut wait = wait_after(&[15]);

    let mut waits = Vec::new();
    for _ in 0..40 {
        wait.record_lost();
        waits.push(wait.current());
    }
    wait.record(Duration::from_millis(15));

    assert_eq!(waits[0], Duration::from_millis(200));
    assert_eq!(waits[39], LIMIT);
    assert_eq!(wait.current(), Duration::from_millis(100));
}

#[test]
fn the_usual_time_falls_again_after_faster_replies() {
    let mut wait = wait_after(&[400]);

    for _ in 0..40 {
        wait.record(Duration::from_millis(15));
    }

    assert_eq!(wait.current(), Duration::from_millis(100));
}
