//! Admission of jobs: whether a job is accepted, decided from a forecast of the pool before the job
//! is stored.
//!
//! Load that this answers: more work than the pool can do in time, from callers that come back after
//! each rejection.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Epoch;
use crate::Resources;

/// What a job needs, as far as it is known before the job is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Name of the queue.
    pub queue: String,
    /// Largest amount of resources that must be free at the same time.
    pub widest: Resources,
    /// Expected work of all tasks, in milliseconds of one core.
    pub work: u64,
    /// Expected run time of the longest chain of dependent steps.
    pub critical_path: Duration,
    /// Time from acceptance within which the caller wants the job completed.
    pub objective: Duration,
    /// Time since the caller first sent the job.
    pub age: Duration,
}

/// The owner's forecast of the pool, published to all hosts. Its size does not depend on the number of
/// waiting jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// Epoch of the owner that made the forecast.
    pub epoch: Epoch,
    /// Time since the forecast was made, when it was sent.
    pub age: Duration,
    /// Forecast of each priority, the most urgent first.
    pub levels: Vec<Level>,
}

/// Forecast for the jobs of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Level {
    /// Priority of the queues; 0 is the most urgent.
    pub priority: u32,
    /// Work that waits or runs and is served before a new job of this priority, in milliseconds of
    /// one core.
    pub ahead: u64,
    /// Work of this priority or a more urgent one that the pool completes in a second, in
    /// milliseconds of one core.
    pub rate: u64,
}

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is rejected, since it would be useless to its caller.
    Reject {
        /// Time after which the job was expected to end.
        expected: Duration,
        /// Time within which a result has value for the caller.
        limit: Duration,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}
