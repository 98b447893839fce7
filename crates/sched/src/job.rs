//! Jobs and the decisions on them in the scheduling core.

use std::time::Duration;

use model::Class;
use model::Resources;
use model::TeamId;
use slotmap::new_key_type;

use crate::WorkerKey;

new_key_type! {
    /// Key of a job within one scheduling core.
    pub struct JobKey;
}

/// Time since an origin that the caller chooses and keeps for all calls.
pub type Timestamp = Duration;

/// Requirements of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Team whose quota is charged.
    pub team: TeamId,
    /// Class, which selects the queue of the job.
    pub class: Class,
    /// Resources that each member needs, its slot included.
    pub needs: Resources,
    /// Number of members, which start together.
    pub members: u32,
    /// Latest time at which the job may start.
    pub deadline: Timestamp,
    /// Expected run time of the job.
    pub run_time: Duration,
    /// Workers of the previous attempt, on which a job with one member is not
    /// placed again.
    pub avoid: Vec<WorkerKey>,
}

/// State of a job within the scheduling core.
#[derive(Clone, Debug)]
pub struct Job {
    /// Requirements of the job.
    pub spec: JobSpec,
    /// Time of submission.
    pub submitted_at: Timestamp,
    /// Workers of the running members; empty while the job is waiting.
    pub placed: Vec<WorkerKey>,
    /// Rank in the queue while the job is waiting.
    pub(crate) rank: u64,
}

/// Reason why a job was not accepted into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The job would not fit even if all workers of this core were empty.
    NeverFits,
    /// The queue of the job's team is full.
    QueueFull,
}

/// Action that the core asks its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start the members of a job, one on each listed worker (a worker may be
    /// listed more than once).
    Start {
        /// Job to start.
        job: JobKey,
        /// Worker of each member.
        workers: Vec<WorkerKey>,
    },
    /// The latest start time of a job has passed; the core has removed the job.
    Expire {
        /// Job that was removed.
        job: JobKey,
    },
}
