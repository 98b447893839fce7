//! How long an owner may renew leases, which it decides from its own state alone.

use std::time::Duration;

use job::MAJORITY_WINDOW;
use job::MAX_STORE_OUTAGE;
use job::RenewalAuthority;
use job::STORE_WINDOW;

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

fn authority(now: u64) -> RenewalAuthority {
    let workers = WORKERS.into_iter().map(str::to_owned);
    RenewalAuthority::new(Duration::from_secs(now), workers)
}

/// Returns a function from a worker to the time in seconds at which it accepted a command; `times`
/// are in the order of [`WORKERS`].
fn accepted_at(times: &[u64]) -> impl Fn(&str) -> Option<Duration> {
    move |worker| {
        let at = WORKERS.iter().position(|one| *one == worker)?;
        times.get(at).copied().map(Duration::from_secs)
    }
}

#[test]
fn store_write_alone_allows_renewals_for_a_while() {
    let mut authority = authority(10);

    authority.record_write(Duration::from_secs(20));
    authority.record_write(Duration::from_secs(15));

    let until = authority.renewal_deadline(accepted_at(&[]));
    assert_eq!(until, Duration::from_secs(20) + STORE_WINDOW);
}

#[test]
fn majority_of_workers_allows_renewals_and_half_does_not() {
    let authority = authority(0);

    let half = authority.renewal_deadline(accepted_at(&[30, 31]));
    let more = authority.renewal_deadline(accepted_at(&[30, 31, 32]));

    assert_eq!(half, STORE_WINDOW);
    assert_eq!(more, Duration::from_secs(30) + MAJORITY_WINDOW);
}

/// Guards against an owner that is cut off alone and renews leases forever on workers that no
/// successor reaches.
#[test]
fn workers_allow_renewals_for_a_limited_time() {
    let authority = authority(0);

    let until = authority.renewal_deadline(accepted_at(&[900, 900, 900, 900]));

    assert_eq!(until, MAX_STORE_OUTAGE);
}

/// Guards against two owners that both see a majority of workers: a successor may have read the
/// rows with or without those of a write that got no reply.
#[test]
fn workers_with_unconfirmed_rows_count_against_the_owner() {
    let mut authority = authority(0);

    authority.row_pending("w5");
    authority.row_pending("w3");
    let pending = authority.renewal_deadline(accepted_at(&[30, 30, 30, 30]));
    authority.row_removed("w3");
    authority.row_written("w5");
    let settled = authority.renewal_deadline(accepted_at(&[30, 30, 30, 30]));

    assert_eq!(pending, Duration::from_secs(30) + MAJORITY_WINDOW);
    assert_eq!(settled, Duration::from_secs(30) + MAJORITY_WINDOW);
    let few = authority.renewal_deadline(accepted_at(&[30, 30]));
    assert_eq!(few, STORE_WINDOW);
}
