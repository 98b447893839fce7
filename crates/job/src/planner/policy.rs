//! Parameters of the planner.

use std::time::Duration;

use crate::StepSpec;
use crate::Switches;

/// Parameters of the planner.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Length of the lease that each renewal gives a worker.
    pub lease: Duration,
    /// Longest lease that a worker accepts, whatever a command asks for.
    pub max_lease: Duration,
    /// Longest time after which a command without a reply may still be carried out.
    pub command_delay: Duration,
    /// Minimum time left of a ticket with which a start is sent, for the command's way and
    /// the worker's wait for its processor.
    pub ticket_margin: Duration,
    /// Time without new work for a worker on which several jobs in a row failed.
    pub failure_rest: Duration,
    /// Failures in a row, of different jobs, after which a worker gets no work for a while.
    /// Healthy workers fail one task in twenty; with a limit of two, one in ten was paused
    /// by chance.
    pub strike_limit: u32,
    /// A run is moved if its progress has not changed for its estimated run time, but not
    /// before this time: progress is reported about once a second.
    pub min_stall: Duration,
    /// A run without progress is moved after this time even if its estimate is longer: long
    /// runs show progress more often than that.
    pub max_stall: Duration,
    /// Time without new work for a worker on which a run made no progress.
    pub stall_rest: Duration,
    /// Maximum age of a job counted at take-over, since wall clocks may jump.
    pub max_age: Duration,
    /// Mechanisms that are disabled.
    pub switches: Switches,
}

/// Factor for clock differences: a worker's clock is up to 2 % slow, and the same is
/// allowed for our own clock.
const CLOCK_MARGIN: f64 = 1.04;

/// Time for which a command may be in transit after it was sent, beyond the lease that it
/// grants.
const MAX_TRANSIT: Duration = Duration::from_millis(150);

impl Policy {
    /// Returns how long a run may show no progress, after `percent` was reached within
    /// `worked`.
    #[must_use]
    pub fn stall_timeout(&self, spec: &StepSpec, percent: u32, worked: Duration) -> Duration {
        let by_estimate = spec.estimate.clamp(self.min_stall, self.max_stall);
        // A long task on a slow worker far from its data takes seconds for each percent; if
        // moved, it would start from the beginning each time.
        let by_progress = match percent {
            0 => spec.estimate / 4,
            shown => worked / shown * 4,
        };
        by_estimate.max(by_progress)
    }

    /// Returns the longest time from now until a lease of length `lease` has surely
    /// expired.
    #[must_use]
    pub fn lease_expiry(&self) -> Duration {
        self.lease.mul_f64(CLOCK_MARGIN) + MAX_TRANSIT
    }

    /// Returns the longest time from now until a lease of any length has surely expired, as
    /// for a lease granted by a command meant for another incarnation, whose clock differs.
    #[must_use]
    pub fn max_lease_expiry(&self) -> Duration {
        self.max_lease.mul_f64(CLOCK_MARGIN) + MAX_TRANSIT
    }

    /// Returns the longest time from now until a lease has surely expired whose command may
    /// be carried out late.
    #[must_use]
    pub fn late_lease_expiry(&self) -> Duration {
        self.command_delay + self.max_lease_expiry()
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            lease: Duration::from_millis(4500),
            max_lease: Duration::from_secs(6),
            command_delay: Duration::from_secs(4),
            ticket_margin: Duration::from_millis(120),
            failure_rest: Duration::from_secs(6),
            strike_limit: 3,
            min_stall: Duration::from_millis(1200),
            max_stall: Duration::from_millis(2500),
            stall_rest: Duration::from_millis(2500),
            max_age: Duration::from_mins(2),
            switches: Switches::default(),
        }
    }
}
