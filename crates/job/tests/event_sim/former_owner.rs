//! A former owner that is cut off from the store and still renews leases of workers that its
//! successor may not reach.

use std::time::Duration;

use job::Policy;
use job::RenewalAuthority;

use super::WORKERS;

/// State of the former owner.
pub struct FormerOwner {
    pub epoch: u64,
    tenure: RenewalAuthority,
    /// When it sent the newest command that each worker accepted.
    accepted_at: [Option<Duration>; WORKERS],
}

impl FormerOwner {
    pub fn new(epoch: u64, tenure: RenewalAuthority) -> FormerOwner {
        FormerOwner {
            epoch,
            tenure,
            accepted_at: [None; WORKERS],
        }
    }

    /// Whether a call of the former owner reaches a worker; most do.
    pub fn reaches(at: usize, pick: u8) -> bool {
        !(usize::from(pick) / WORKERS + at).is_multiple_of(5)
    }

    /// Records that a worker accepts a renewal; returns the new expiry if the lease may be
    /// renewed.
    pub fn renew(&mut self, at: usize, now: Duration) -> Option<Duration> {
        let accepted_at = self.accepted_at;
        let until = self.tenure.renewal_deadline(|worker| {
            let at: usize = worker[1..].parse().ok()?;
            accepted_at[at]
        });
        self.accepted_at[at] = Some(now);
        (now < until).then(|| now + Policy::default().lease)
    }
}
