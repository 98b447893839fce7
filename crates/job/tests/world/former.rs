//! A former owner that is cut off from the store and still renews leases of workers that its
//! successor may not reach.

use std::time::Duration;

use job::Policy;
use job::RenewalAuthority;

use super::WORKERS;

/// State of the former owner.
pub struct Former {
    pub epoch: u64,
    tenure: RenewalAuthority,
    /// When it sent the newest command that each worker accepted.
    heard: [Option<Duration>; WORKERS],
}

impl Former {
    pub fn new(epoch: u64, tenure: RenewalAuthority) -> Former {
        Former {
            epoch,
            tenure,
            heard: [None; WORKERS],
        }
    }

    /// Whether a call of the former owner reaches a worker; most do.
    pub fn reaches(at: usize, pick: u8) -> bool {
        !(usize::from(pick) / WORKERS + at).is_multiple_of(5)
    }

    /// Records that a worker accepts a renewal; returns the new expiry if the lease may be
    /// renewed.
    pub fn renew(&mut self, at: usize, now: Duration) -> Option<Duration> {
        let heard = self.heard;
        let until = self.tenure.renewal_deadline(|worker| {
            let at: usize = worker[1..].parse().ok()?;
            heard[at]
        });
        self.heard[at] = Some(now);
        (now < until).then(|| now + Policy::default().lease)
    }
}
