//! Mechanisms of the scheduling policy that can be disabled to measure their benefit. The
//! planner's invariants are kept without any of them.

use serde::Deserialize;
use strum::EnumIter;
use strum::IntoEnumIterator;

/// A mechanism of the scheduling policy. Without any, tasks are served in order of priority and
/// due time.
///
/// The objective of a job is the time from its acceptance within which its caller wants it
/// completed, as the operator defines it for the job's queue; the due time is the end of that
/// time. A step or gang is in time while its job can still be completed by its due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, EnumIter, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Mechanism {
    /// Gangs preempt less urgent tasks that save checkpoints.
    Preemption,
    /// Free resources are reserved for a gang that does not fit.
    #[serde(rename = "kept_room")]
    #[strum(serialize = "kept_room")]
    GangReservations,
    /// One late gang is ranked as if it were in time: the one whose job was accepted first.
    /// Otherwise tasks that are in time would take each processor that becomes free, and a gang
    /// that few workers may run would never start.
    #[serde(rename = "elder")]
    #[strum(serialize = "elder")]
    OldestLateGang,
    /// Steps that are in time go before late ones, whatever their priority.
    #[serde(rename = "stages")]
    #[strum(serialize = "stages")]
    InTimeFirst,
    /// A gang counts as in time only if the estimated run time of all remaining steps of its job
    /// fits before the due time; otherwise half of that time has to fit, as for single tasks.
    WholeChain,
    /// Small gangs are ranked as if they were due earlier, and large ones as if due later.
    SmallFirst,
    /// Advice calls are made only for gangs that could start next, with the processors that are
    /// free or expected to become free during a call.
    #[serde(rename = "advice_by_room")]
    #[strum(serialize = "advice_by_room")]
    AdviceByCapacity,
    /// A gang may have several advice calls at the same time.
    ParallelAdvice,
    /// Run times of tasks are learnt from completed runs.
    LearntTimes,
    /// Slow workers get gangs, and tasks that would be late on them, only if no other worker has
    /// free resources.
    Speeds,
    /// The share of workers that may run a step is learnt from the answers to advice calls.
    LearntShare,
    /// Runs that make no progress are moved to other workers.
    StallMoves,
    /// A worker on which several consecutive jobs failed gets no new work for some seconds.
    #[serde(rename = "rest")]
    #[strum(serialize = "rest")]
    FailurePause,
    /// While few helpers are free, they are reserved for advice calls with a short fixed duration.
    QuickHelpers,
    /// Workers that do not answer are looked up in the platform's list of machines; one that is
    /// not listed has crashed or left.
    #[serde(rename = "life_check")]
    #[strum(serialize = "life_check")]
    MachineLookup,
    /// Jobs that exceed the share of their organisation go after all others.
    ExcessLast,
    /// Organisations share the pool by the work that they have and had running. Without it, the
    /// share is a number of jobs a second, see [`Mechanism::ExcessLast`].
    WorkShares,
    /// A job that cannot be done while it is of value to its caller is rejected before it is stored.
    Admission,
    /// If workers differ in speed, tasks run where they are expected to end in time.
    PlacementByEnd,
    /// What the owner has learnt is stored for its successor.
    LearntState,
    /// A job whose row the store refuses is stored in another row. The rows of a job are in
    /// different parts of the table of jobs, some of which the store may refuse while it serves
    /// the others.
    #[serde(rename = "job_places")]
    #[strum(serialize = "job_places")]
    AlternateRows,
    /// A job that the store does not accept from this host is passed to the owner's host.
    #[serde(rename = "pass_on")]
    #[strum(serialize = "pass_on")]
    ForwardToOwner,
}

impl Mechanism {
    /// Iterates over all mechanisms.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        Mechanism::iter()
    }

    /// Returns whether the mechanism is disabled unless the settings enable it.
    #[must_use]
    pub fn is_optional(self) -> bool {
        matches!(
            self,
            Mechanism::WorkShares
                | Mechanism::Admission
                | Mechanism::PlacementByEnd
                | Mechanism::LearntState
        )
    }
}

/// Set of disabled mechanisms; by default, the optional ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Switches {
    /// One bit for each disabled mechanism, at the position of its variant.
    off: u32,
}

impl Default for Switches {
    fn default() -> Switches {
        Switches::new(&[], &[])
    }
}

impl Switches {
    /// Enables the mechanisms that are not optional and those in `on`, except for those in `off`.
    #[must_use]
    pub fn new(on: &[Mechanism], off: &[Mechanism]) -> Switches {
        let disabled =
            |one: &Mechanism| one.is_optional() && !on.contains(one) || off.contains(one);
        let disabled = Mechanism::all().filter(disabled);
        Switches {
            off: disabled.fold(0, |all, one| all | 1 << one as u32),
        }
    }

    /// Disables these mechanisms and the optional ones.
    #[must_use]
    pub fn disabling(mechanisms: &[Mechanism]) -> Switches {
        Switches::new(&[], mechanisms)
    }

    /// Enables these mechanisms and those that are not optional.
    #[must_use]
    pub fn enabling(mechanisms: &[Mechanism]) -> Switches {
        Switches::new(mechanisms, &[])
    }

    /// Returns whether a mechanism is enabled.
    #[must_use]
    pub fn enabled(self, mechanism: Mechanism) -> bool {
        self.off & (1 << mechanism as u32) == 0
    }
}
