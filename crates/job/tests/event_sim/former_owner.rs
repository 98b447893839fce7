//! A former owner that is cut off from the store and still renews leases of workers that its
//! successor may not reach.

use std::time::Duration;

use job::Policy;
use job::RenewalAuthority;

use super::WORKERS;

/// State of the former owner.
pub struct FormerOwner {
    pub epoch: u64,
    /// Determines until when it may renew leases.
    authority: RenewalAuthority,
    /// When it sent the newest command that the worker on each machine accepted.
    accepted_at: [Option<Duration>; WORKERS],
}

impl FormerOwner {
    pub fn new(epoch: u64, authority: RenewalAuthority) -> FormerOwner {
        FormerOwner {
            epoch,
            authority,
            accepted_at: [None; WORKERS],
        }
    }

    /// Returns whether a call of the former owner reaches a worker; most calls do.
    pub fn reaches(machine: usize, pick: u8) -> bool {
        !(usize::from(pick) / WORKERS + machine).is_multiple_of(5)
    }

    /// Records that a worker accepts a renewal; returns the new expiry if the lease may be renewed.
    pub fn renew(&mut self, machine: usize, now: Duration) -> Option<Duration> {
        let accepted_at = self.accepted_at;
        let until = self.authority.renewal_deadline(|worker| {
            let machine: usize = worker[1..].parse().ok()?;
            accepted_at[machine]
        });
        self.accepted_at[machine] = Some(now);
        (now < until).then(|| now + Policy::default().lease)
    }
}
