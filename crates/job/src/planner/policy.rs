//! Figures that the planner decides by.

use std::time::Duration;

use crate::StepSpec;
use crate::Switches;

/// Figures that the planner decides by.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Lease that each renewal gives a worker.
    pub lease: Duration,
    /// Longest lease that a worker grants, whatever a call says.
    pub longest_lease: Duration,
    /// Longest time after which an order that got no answer is still carried out.
    pub order_late: Duration,
    /// Least time left of a ticket for a start to be sent with it: the start's
    /// way and the worker's wait for its processor.
    pub ticket_margin: Duration,
    /// How long a worker rests after failures of several jobs in a row.
    pub rest: Duration,
    /// Failures in a row, of different jobs, after which a worker rests. Sound
    /// workers fail one task in twenty; with two, one in ten rested by chance.
    pub strikes: u32,
    /// A run whose progress stands still for its estimated time is moved, but
    /// not before this time: progress is listed about once a second.
    pub stall: Duration,
    /// And not later than this: longer runs show progress more often than that.
    pub longest_stall: Duration,
    /// How long a worker rests on which a run stood still.
    pub stall_rest: Duration,
    /// Oldest age credited to a job at take-over; wall clocks may jump.
    pub oldest: Duration,
    /// Mechanisms that are switched off.
    pub switches: Switches,
}

/// Slowest worker clock: 2 % behind ours, and as much again for our own.
const SLOW_CLOCK: f64 = 1.04;

/// Time for which an order may be on its way after it was sent, beyond the
/// lease that it carries.
const TRANSIT: Duration = Duration::from_millis(150);

impl Policy {
    /// How long a run may show no progress. `percent` is what it has shown
    /// within `worked`.
    #[must_use]
    pub fn patience(&self, spec: &StepSpec, percent: u32, worked: Duration) -> Duration {
        let usual = spec.estimate.clamp(self.stall, self.longest_stall);
        // A long task on a slow worker far from its data takes seconds for
        // each percent; moved, it would begin anew each time.
        let own = match percent {
            0 => spec.estimate / 4,
            shown => worked / shown * 4,
        };
        usual.max(own)
    }

    /// Longest time from now until a lease of `lease` is surely over.
    #[must_use]
    pub fn lapse(&self) -> Duration {
        self.lease.mul_f64(SLOW_CLOCK) + TRANSIT
    }

    /// The same for a lease by a call that was reckoned on another clock.
    #[must_use]
    pub fn longest_lapse(&self) -> Duration {
        self.longest_lease.mul_f64(SLOW_CLOCK) + TRANSIT
    }

    /// The same for a call that may be carried out late.
    #[must_use]
    pub fn late_lapse(&self) -> Duration {
        self.order_late + self.longest_lapse()
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            lease: Duration::from_millis(4500),
            longest_lease: Duration::from_secs(6),
            order_late: Duration::from_secs(4),
            ticket_margin: Duration::from_millis(120),
            rest: Duration::from_secs(6),
            strikes: 3,
            stall: Duration::from_millis(1200),
            longest_stall: Duration::from_millis(2500),
            stall_rest: Duration::from_millis(2500),
            oldest: Duration::from_mins(2),
            switches: Switches::default(),
        }
    }
}
