//! Specification of a job and its steps, as submitted by a caller.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Organisation;
use crate::OrganisationName;
use crate::Queue;

/// Amounts of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Returns whether `need` is at most this amount for each resource.
    #[must_use]
    pub fn can_fit(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.gpu <= self.gpu
    }

    /// Subtracts `taken` from each resource, down to 0.
    #[must_use]
    pub fn minus(&self, taken: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(taken.cpu),
            memory: self.memory.saturating_sub(taken.memory),
            gpu: self.gpu.saturating_sub(taken.gpu),
        }
    }

    /// Multiplies each resource by `count`.
    #[must_use]
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Returns half of each resource.
    #[must_use]
    pub fn half(&self) -> Resources {
        Resources {
            cpu: self.cpu / 2,
            memory: self.memory / 2,
            gpu: self.gpu / 2,
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn elementwise_min(&self, bound: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(bound.cpu),
            memory: self.memory.min(bound.memory),
            gpu: self.gpu.min(bound.gpu),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn elementwise_max(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Adds up each resource, up to the highest possible amount.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources { cpu, memory, gpu } = self;
        write!(
            out,
            "{cpu} thousandths of a core, {memory} MB, {gpu} accelerators"
        )
    }
}

/// A group of identical tasks within a job.
#[allow(clippy::struct_excessive_bools)] // independent wishes of the caller
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that one task needs.
    pub need: Resources,
    /// Expected duration of a task, as estimated by the caller.
    pub estimate: Duration,
    /// Indexes of earlier steps that must complete before this one starts.
    pub after: Vec<u32>,
    /// The tasks are a gang: they run at the same time and end together.
    pub gang: bool,
    /// The tasks run more slowly when they are spread over several racks.
    pub same_rack: bool,
    /// The tasks write checkpoints from which a later run can resume.
    pub checkpointed: bool,
    /// Label that a worker must have; empty if any worker will do.
    pub label: String,
    /// Rack on which the tasks run fast; empty if all racks are equal.
    pub rack: String,
    /// Maximum number of this step's tasks on one worker; 0 for no limit.
    #[serde(rename = "spread")]
    pub worker_limit: u32,
    /// Several runs of a task may be active at the same time; the first to complete counts.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The tasks use only processors that other tasks leave free.
    pub filler: bool,
}

impl StepSpec {
    /// Returns the resources that one task books on a worker.
    #[must_use]
    pub fn booked(&self) -> Resources {
        let cpu = if self.filler { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }

    /// Returns the resources that the smallest start of the step needs at the same time, those of a
    /// filler included: one task, or all tasks of a gang.
    #[must_use]
    pub fn smallest_start(&self) -> Resources {
        let tasks = if self.gang { self.count } else { 1 };
        self.need.times(u64::from(tasks))
    }

    /// Returns the resources that one task books on a worker, and the processors that it uses
    /// only while other tasks leave them free.
    #[must_use]
    pub fn booked_and_filler(&self) -> (Resources, u64) {
        let filler = if self.filler { self.need.cpu } else { 0 };
        (self.booked(), filler)
    }
}

/// Times at which a repeated job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of rounds, each of which runs all steps.
    pub rounds: u32,
    /// Time of the first round, since 1970.
    pub first: Duration,
    /// Time between the starts of two rounds.
    #[serde(rename = "every")]
    pub interval: Duration,
}

impl Schedule {
    /// Returns the time at which a round is due, since 1970; the first round has number 0.
    #[must_use]
    pub fn due(&self, round: u32) -> Duration {
        let delay = self.interval.saturating_mul(round);
        self.first.saturating_add(delay)
    }
}

/// An accepted job in the form in which it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue as configured when the job was accepted. The current configuration of the queue
    /// takes precedence while it exists.
    pub queue: Queue,
    /// Text passed unchanged to each task.
    pub payload: String,
    /// Steps in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Times of the rounds; `None` for a job that runs once.
    pub schedule: Option<Schedule>,
    /// Wall-clock time of acceptance, since 1970.
    pub received: Duration,
    /// Set when a caller has cancelled the job.
    pub canceled: bool,
    /// Organisation that the job belongs to, as configured when the job was accepted; `None` if its
    /// caller needed no key. The current configuration of the organisation takes precedence while it
    /// exists. This must stay the last field: earlier versions decode only the fields that they know
    /// and ignore the rest of the row.
    #[serde(default)]
    pub organisation: Option<Organisation>,
}

impl JobSpec {
    /// Returns the name of the organisation that the job belongs to.
    #[must_use]
    pub fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation
            .as_ref()
            .map(|organisation| &organisation.name)
    }

    /// Returns the number of rounds; 1 for a job without a schedule.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.rounds.max(1))
    }
}
