//! Mechanisms of the policy that can be switched off, to learn what each is
//! worth. None of them is needed for the guarantees.

use serde::Deserialize;
use strum::EnumIter;
use strum::IntoEnumIterator;

/// Something that the policy does beyond the plain order of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, EnumIter, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Mechanism {
    /// Gangs stop less urgent tasks that save their progress.
    Preemption,
    /// Workers are kept free of less urgent work for a gang that does not fit.
    KeptRoom,
    /// The gang that has waited longest beyond its objective keeps its rank.
    Elder,
    /// Work that can still be in time goes before work that is late.
    Stages,
    /// A gang counts as in time only if all that is left of its job fits.
    WholeChain,
    /// Of the gangs of a queue that can be in time, small ones go first.
    SmallFirst,
    /// Gangs that could not start next ask for no advice.
    AdviceByRoom,
    /// Several calls for advice at a time for a gang.
    ParallelAdvice,
    /// Run times of tasks are learnt.
    LearntTimes,
    /// Workers that take longer than others get no gangs and no hurried tasks.
    Speeds,
    /// The share of workers that may run a step is learnt.
    LearntShare,
    /// Runs that stand still are moved.
    StallMoves,
    /// Workers that fail several jobs in a row rest.
    Rest,
    /// Some helpers are kept for quick calls for advice.
    QuickHelpers,
    /// Silent workers are looked up in the list of machines.
    LifeCheck,
    /// A job that one part of the store refuses goes to another.
    JobPlaces,
    /// A job that the store does not take of this host is passed to the owner.
    PassOn,
}

impl Mechanism {
    /// All of them.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        Mechanism::iter()
    }
}

/// Mechanisms that are switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Switches {
    off: u32,
}

impl Switches {
    /// Switches `mechanisms` off, and no others.
    #[must_use]
    pub fn without(mechanisms: &[Mechanism]) -> Switches {
        let bits = mechanisms.iter().map(|one| 1 << *one as u32);
        Switches {
            off: bits.fold(0, |all, bit| all | bit),
        }
    }

    /// Whether a mechanism is on.
    #[must_use]
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & (1 << mechanism as u32) == 0
    }
}
