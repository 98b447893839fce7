//! What the store keeps of a job's progress.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::RunId;

/// How a job ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum Outcome {
    /// All tasks ended as done.
    Completed,
    /// A task or gang failed too often, or can never run.
    Failed,
    /// A caller cancelled it.
    Canceled,
}

/// What callers are shown of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum Shown {
    /// No task has started.
    Pending,
    /// A task has started.
    Active,
    /// All tasks ended as done.
    Completed,
    /// A task or gang failed too often, or can never run.
    Failed,
    /// A caller cancelled it.
    Canceled,
}

impl From<Outcome> for Shown {
    fn from(outcome: Outcome) -> Shown {
        match outcome {
            Outcome::Completed => Shown::Completed,
            Outcome::Failed => Shown::Failed,
            Outcome::Canceled => Shown::Canceled,
        }
    }
}

/// Progress of one step of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Tasks that ended as done.
    pub done: Vec<u32>,
    /// Failed runs by task; a gang's count for its task 0. Runs and not their
    /// number, since ends of one task may be learnt in any order and twice.
    pub failures: BTreeMap<u32, BTreeSet<RunId>>,
    /// Newest checkpoint by task; a gang keeps it on its task 0.
    pub checkpoints: BTreeMap<u32, String>,
}

/// What is known against a task under which workers crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Runs whose worker crashed by itself after it had said that they run.
    pub runs: BTreeSet<RunId>,
    /// Runs that may have been on a worker that crashed, since their starts got no
    /// answer, or on one that went down together with others.
    pub unsure: BTreeSet<RunId>,
    /// A run that may be under way: it is recorded before it is sent.
    pub ahead: Option<RunId>,
}

/// Progress of a job: only what an owner may not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How it ended, once it has.
    pub outcome: Option<Outcome>,
    /// Steps by round and number, those with anything to tell. Any entry says
    /// that the job has begun; its first step has an empty one if need be.
    pub steps: BTreeMap<(u32, u32), StepProgress>,
    /// What is known against tasks, by round, step and task. The last field: earlier
    /// versions read a row without it.
    pub crashes: BTreeMap<(u32, u32, u32), CrashRecord>,
}

impl Progress {
    /// Whether a worker has begun a task. Members of a gang that waited for the
    /// others in vain leave progress without any.
    #[must_use]
    pub fn begun(&self) -> bool {
        !self.steps.is_empty()
    }
}
