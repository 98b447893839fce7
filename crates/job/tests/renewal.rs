//! Tests of how long an owner may renew leases, judged by that owner alone.

use std::time::Duration;

use job::MAJORITY_WINDOW;
use job::MAX_STORE_OUTAGE;
use job::RenewalAuthority;
use job::STORE_WINDOW;

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

fn tenure(now: u64) -> RenewalAuthority {
    let workers = WORKERS.into_iter().map(str::to_owned);
    RenewalAuthority::new(Duration::from_secs(now), workers)
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

    tenure.record_write(Duration::from_secs(20));
    tenure.record_write(Duration::from_secs(15));

    let until = tenure.renewal_deadline(heard(&[]));
    assert_eq!(until, Duration::from_secs(20) + STORE_WINDOW);
}

#[test]
fn half_of_the_workers_do_not_vouch_and_one_more_does() {
    let tenure = tenure(0);

    let half = tenure.renewal_deadline(heard(&[30, 31]));
    let more = tenure.renewal_deadline(heard(&[30, 31, 32]));

    assert_eq!(half, STORE_WINDOW);
    assert_eq!(more, Duration::from_secs(30) + MAJORITY_WINDOW);
}

/// Guards against an owner that is cut off alone and renews leases forever on workers that no
/// successor reaches.
#[test]
fn workers_vouch_for_a_limited_time_only() {
    let tenure = tenure(0);

    let until = tenure.renewal_deadline(heard(&[900, 900, 900, 900]));

    assert_eq!(until, MAX_STORE_OUTAGE);
}

/// Guards against two owners that both see a majority of workers: a successor may have read the
/// rows with or without those of a write that got no reply.
#[test]
fn workers_in_doubt_count_against_the_owner_only() {
    let mut tenure = tenure(0);

    tenure.row_pending("w5");
    tenure.row_pending("w3");
    let doubt = tenure.renewal_deadline(heard(&[30, 30, 30, 30]));
    tenure.row_removed("w3");
    tenure.row_written("w5");
    let settled = tenure.renewal_deadline(heard(&[30, 30, 30, 30]));

    assert_eq!(doubt, Duration::from_secs(30) + MAJORITY_WINDOW);
    assert_eq!(settled, Duration::from_secs(30) + MAJORITY_WINDOW);
    let few = tenure.renewal_deadline(heard(&[30, 30]));
    assert_eq!(few, STORE_WINDOW);
}
