//! Mechanisms of the policy that can be disabled to measure their value. None of them is
//! needed for the guarantees.

use serde::Deserialize;
use strum::EnumIter;
use strum::IntoEnumIterator;

/// A mechanism of the policy beyond serving work in plain order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, EnumIter, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Mechanism {
    /// Gangs preempt less urgent tasks that save checkpoints.
    Preemption,
    /// Free resources are reserved for a gang that does not fit.
    KeptRoom,
    /// The gang past its objective that was accepted first keeps its rank.
    Elder,
    /// Work that can still be in time goes before late work.
    Stages,
    /// A gang counts as in time only if all remaining steps of its job fit before the
    /// objective.
    WholeChain,
    /// Of the gangs of a queue that can be in time, small ones go first.
    SmallFirst,
    /// Only gangs that could start next ask for advice.
    AdviceByRoom,
    /// A gang may have several calls for advice at the same time.
    ParallelAdvice,
    /// Run times of tasks are learnt from completed runs.
    LearntTimes,
    /// Slow workers get no gangs and no urgent tasks as long as others have free resources.
    Speeds,
    /// The share of workers that may run a step is learnt from advice.
    LearntShare,
    /// Runs that make no progress are moved to other workers.
    StallMoves,
    /// Workers on which several jobs in a row failed get no work for a while.
    Rest,
    /// Some helpers are reserved for quick calls for advice.
    QuickHelpers,
    /// Workers that do not answer are looked up in the list of machines.
    LifeCheck,
    /// A job that one part of the store refuses is stored in another.
    JobPlaces,
    /// A job that the store does not accept from this host is passed to the owner.
    PassOn,
}

impl Mechanism {
    /// Iterates over all mechanisms.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        Mechanism::iter()
    }
}

/// Set of disabled mechanisms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Switches {
    off: u32,
}

impl Switches {
    /// Disables exactly these mechanisms.
    #[must_use]
    pub fn disabling(mechanisms: &[Mechanism]) -> Switches {
        let bits = mechanisms.iter().map(|one| 1 << *one as u32);
        Switches {
            off: bits.fold(0, |all, bit| all | bit),
        }
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub fn enabled(self, mechanism: Mechanism) -> bool {
        self.off & (1 << mechanism as u32) == 0
    }
}
