//! Tests of how long an owner may renew leases, judged by that owner alone.

use std::time::Duration;

use job::LONGEST_CUT;
use job::STORE_VOUCH;
use job::Tenure;
use job::WORKER_VOUCH;

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

fn tenure(now: u64) -> Tenure {
    let workers = WORKERS.into_iter().map(str::to_owned);
    Tenure::new(Duration::from_secs(now), workers)
}

/// Times in seconds at which the workers accepted a command, in order of their names.
fn heard(times: &[u64]) -> impl Fn(&str) -> Option<Duration> {
    move |worker| {
        let at = WORKERS.iter().position(|one| *one == worker)?;
        times.get(at).copied().map(Duration::from_secs)
    }
}

#[test]
fn the_store_alone_vouches_for_a_while() {
    let mut tenure = tenure(10);

    tenure.wrote(Duration::from_secs(20));
    tenure.wrote(Duration::from_secs(15));

    let until = tenure.until(heard(&[]));
    assert_eq!(until, Duration::from_secs(20) + STORE_VOUCH);
}

#[test]
fn half_of_the_workers_do_not_vouch_and_one_more_does() {
    let tenure = tenure(0);

    let half = tenure.until(heard(&[30, 31]));
    let more = tenure.until(heard(&[30, 31, 32]));

    assert_eq!(half, STORE_VOUCH);
    assert_eq!(more, Duration::from_secs(30) + WORKER_VOUCH);
}

/// Guards against an owner that is cut off alone and renews leases forever on workers that no
/// successor reaches.
#[test]
fn workers_vouch_for_a_limited_time_only() {
    let tenure = tenure(0);

    let until = tenure.until(heard(&[900, 900, 900, 900]));

    assert_eq!(until, LONGEST_CUT);
}

/// Guards against two owners that both see a majority of workers: a successor may have read the
/// rows with or without those of a write that got no reply.
#[test]
fn workers_in_doubt_count_against_the_owner_only() {
    let mut tenure = tenure(0);

    tenure.changing("w5");
    tenure.changing("w3");
    let doubt = tenure.until(heard(&[30, 30, 30, 30]));
    tenure.removed("w3");
    tenure.added("w5");
    let settled = tenure.until(heard(&[30, 30, 30, 30]));

    assert_eq!(doubt, Duration::from_secs(30) + WORKER_VOUCH);
    assert_eq!(settled, Duration::from_secs(30) + WORKER_VOUCH);
    let few = tenure.until(heard(&[30, 30]));
    assert_eq!(few, STORE_VOUCH);
}
