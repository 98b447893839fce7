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
    /// Maximum time after which a worker may still carry out a command that got no reply.
    pub command_delay: Duration,
    /// Minimum remaining validity of a ticket with which a start is sent: it covers the command's
    /// transit, and the time until the worker process gets a processor.
    pub ticket_margin: Duration,
    /// Time without new work for a worker after [`Policy::failure_limit`] failures.
    pub failure_pause: Duration,
    /// Number of consecutive failures of different jobs after which a worker is paused. On healthy
    /// workers one task in twenty fails; with a limit of two, one worker in ten was paused by
    /// chance.
    pub failure_limit: u32,
    /// Minimum time without progress after which a run is stopped and its task starts elsewhere;
    /// otherwise the limit is the estimated run time. Progress is reported about once a second.
    pub min_stall: Duration,
    /// Limit for runs with a longer estimated run time: long runs report progress more often than
    /// that.
    pub max_stall: Duration,
    /// Time without new work for a worker on which a run was stopped for lack of progress.
    pub stall_pause: Duration,
    /// Maximum age that is assumed for a job at a take-over. Ages are computed from the wall clock,
    /// which may jump.
    pub max_age: Duration,
    /// Share by which an organisation may exceed its limits because of runs that are not known.
    pub overshoot: f64,
    /// Disabled mechanisms.
    pub switches: Switches,
}

/// Factor for clock differences: a worker's clock may be up to 2 % slow, and the owner's clock
/// as much off.
const CLOCK_MARGIN: f64 = 1.04;

/// Maximum time for which a command may be in transit, added to the lease that it grants.
const MAX_TRANSIT: Duration = Duration::from_millis(150);

impl Policy {
    /// Returns how long a run may show no progress, if it reached `percent` within `worked`.
    #[must_use]
    pub fn stall_timeout(&self, spec: &StepSpec, percent: u32, worked: Duration) -> Duration {
        let by_estimate = spec.estimate.clamp(self.min_stall, self.max_stall);
        // A long task on a slow worker far from its data takes seconds for each percent. If it
        // were stopped, it would start from the beginning each time.
        let by_progress = match percent {
            0 => spec.estimate / 4,
            reported => worked / reported * 4,
        };
        by_estimate.max(by_progress)
    }

    /// Returns the time after which a lease granted by a renewal that is sent now has certainly
    /// expired.
    #[must_use]
    pub fn lease_expiry(&self) -> Duration {
        self.lease.mul_f64(CLOCK_MARGIN) + MAX_TRANSIT
    }

    /// Returns the time after which a lease of any length that is granted now has certainly
    /// expired. A command that was meant for another incarnation, with another clock, may grant
    /// such a lease.
    #[must_use]
    pub fn max_lease_expiry(&self) -> Duration {
        self.max_lease.mul_f64(CLOCK_MARGIN) + MAX_TRANSIT
    }

    /// Returns the time after which a lease of any length has certainly expired if the command that
    /// grants it is sent now and may be carried out late.
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
            failure_pause: Duration::from_secs(6),
            failure_limit: 3,
            min_stall: Duration::from_millis(1200),
            max_stall: Duration::from_millis(2500),
            stall_pause: Duration::from_millis(2500),
            max_age: Duration::from_mins(2),
            overshoot: 0.0,
            switches: Switches::default(),
        }
    }
}
