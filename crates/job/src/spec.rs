//! What a caller asks for: a job and its steps.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Queue;

/// Processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Room {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Room {
    /// Whether `need` fits into this room.
    #[must_use]
    pub fn holds(&self, need: &Room) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.gpu <= self.gpu
    }

    /// What is left after `taken`; never below nothing.
    #[must_use]
    pub fn less(&self, taken: &Room) -> Room {
        Room {
            cpu: self.cpu.saturating_sub(taken.cpu),
            memory: self.memory.saturating_sub(taken.memory),
            gpu: self.gpu.saturating_sub(taken.gpu),
        }
    }

    /// Room for so many of these.
    #[must_use]
    pub fn times(&self, count: u64) -> Room {
        Room {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// As much of this as there is in `bound`.
    #[must_use]
    pub fn within(&self, bound: &Room) -> Room {
        Room {
            cpu: self.cpu.min(bound.cpu),
            memory: self.memory.min(bound.memory),
            gpu: self.gpu.min(bound.gpu),
        }
    }

    /// The larger of both, of each kind.
    #[must_use]
    pub fn either(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            gpu: self.gpu + other.gpu,
        }
    }
}

/// A number of like tasks.
#[allow(clippy::struct_excessive_bools)] // independent wishes of the caller
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What one task needs.
    pub need: Room,
    /// Rough duration of a task, as the caller guesses it.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// The tasks work only together, and end together.
    pub gang: bool,
    /// The tasks are slower when they run on more than one rack.
    pub same_rack: bool,
    /// The tasks save their progress now and then.
    pub checkpointed: bool,
    /// Label that a worker must have; empty for any.
    pub label: String,
    /// Rack on which the tasks are fast; empty for any.
    pub rack: String,
    /// Most tasks of the step on one worker; 0 for any number.
    pub spread: u32,
    /// Copies may run at the same time; the first to end counts.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// The processors are taken only from what others leave unused.
    pub filler: bool,
}

impl StepSpec {
    /// What one task takes from a worker's room.
    #[must_use]
    pub fn booked(&self) -> Room {
        let cpu = if self.filler { 0 } else { self.need.cpu };
        Room { cpu, ..self.need }
    }

    /// What one task takes from a worker's room, and the processors that it
    /// takes only from what others leave unused.
    #[must_use]
    pub fn takes(&self) -> (Room, u64) {
        let filler = if self.filler { self.need.cpu } else { 0 };
        (self.booked(), filler)
    }
}

/// When a repeated job is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many times the steps run.
    pub rounds: u32,
    /// First due time, since 1970.
    pub first: Duration,
    /// Time between two due times.
    pub every: Duration,
}

/// An accepted job, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue as it was configured when the job was accepted. The current
    /// configuration goes first, as long as it still names the queue.
    pub queue: Queue,
    /// Text handed to each task unchanged.
    pub payload: String,
    /// Steps in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Present when the job is repeated at set times.
    pub schedule: Option<Schedule>,
    /// Wall-clock time of acceptance, since 1970.
    pub received: Duration,
    /// A caller has cancelled the job.
    pub canceled: bool,
}

impl JobSpec {
    /// How many times the steps run.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.rounds.max(1))
    }
}
