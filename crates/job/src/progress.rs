//! Progress of a job, in the form in which it is stored.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::IncarnationId;
use crate::RunId;
use crate::WorkerId;

/// Final result of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum Outcome {
    /// All tasks ended successfully.
    Completed,
    /// A task or gang used up its attempts, or can never run.
    Failed,
    /// A caller cancelled the job.
    Canceled,
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum JobStatus {
    /// No task has started yet.
    Pending,
    /// At least one task has started.
    Active,
    /// All tasks ended successfully.
    Completed,
    /// A task or gang used up its attempts, or can never run.
    Failed,
    /// A caller cancelled the job.
    Canceled,
}

impl From<Outcome> for JobStatus {
    fn from(outcome: Outcome) -> JobStatus {
        match outcome {
            Outcome::Completed => JobStatus::Completed,
            Outcome::Failed => JobStatus::Failed,
            Outcome::Canceled => JobStatus::Canceled,
        }
    }
}

/// Progress of a step in one round of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Indexes of the tasks that ended successfully.
    pub done: Vec<u32>,
    /// Failed runs by task; those of a gang are stored under its task 0. The runs are stored
    /// instead of a count, since the reports of a task's ends may arrive in any order and more
    /// than once.
    pub failures: BTreeMap<u32, BTreeSet<RunId>>,
    /// Newest checkpoint by task; a gang's checkpoint is stored under its task 0.
    pub checkpoints: BTreeMap<u32, String>,
}

/// Worker crashes that may have been caused by one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Runs whose worker crashed after it had reported or confirmed that the run is active.
    pub runs: BTreeSet<RunId>,
    /// Runs that may not have been on the crashed worker, because their start got no reply, or
    /// whose worker crashed just after several others, so that a common cause is likely.
    #[serde(rename = "unsure")]
    pub uncertain: BTreeSet<RunId>,
    /// Run that may be active: it is stored before its start is sent.
    #[serde(rename = "ahead")]
    pub pending: Option<RunId>,
}

/// Worker that a run was sent to, or is about to be sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Number of the run.
    pub run: RunId,
    /// Id of the worker.
    pub worker: WorkerId,
    /// Incarnation of the worker; `None` if it is unknown.
    pub incarnation: Option<IncarnationId>,
}

/// Progress of a job that must survive a change of owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Result of the job, once it has ended.
    pub outcome: Option<Outcome>,
    /// Progress by round and step, for steps that have any. Each entry marks the job as started;
    /// if nothing else is to be stored, the first step gets an empty entry for this.
    pub steps: BTreeMap<(u32, u32), StepProgress>,
    /// Crash records by round, step and task.
    pub crashes: BTreeMap<(u32, u32, u32), CrashRecord>,
    /// Newest run of each task that may be active, by round, step and task. This field and those
    /// after it must stay the last ones, in this order: earlier versions decode only the fields
    /// that they know and ignore the rest of the row.
    pub placements: BTreeMap<(u32, u32, u32), Placement>,
    /// Tasks, by round, step and index, that were alone on a worker when it crashed, while it is
    /// not decided yet whether they caused the crash.
    pub undecided: BTreeSet<(u32, u32, u32)>,
}

impl Progress {
    /// Returns whether a worker has started a task of this job. A gang whose members did not all
    /// start in time leaves progress without step entries.
    #[must_use]
    pub fn has_started(&self) -> bool {
        !self.steps.is_empty()
    }
}
