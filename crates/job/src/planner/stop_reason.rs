//! Reasons for stopping a run, for logs and metrics.

use strum::Display;

use crate::StepKey;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended or was cancelled.
    #[strum(to_string = "job ended")]
    JobEnded,
    /// The planner knows no job with the id of its job.
    #[strum(to_string = "job not known")]
    JobUnknown,
    /// Another member of its gang has ended or was lost.
    #[strum(to_string = "gang broken")]
    GangBroken,
    /// Its task is done, or another run of its task replaces it.
    #[strum(to_string = "not wanted")]
    Superseded,
    /// Another run of its task is booked on the same worker.
    #[strum(to_string = "other run booked")]
    DuplicateRun,
    /// Its reported progress has not changed for too long.
    #[strum(to_string = "stands still")]
    Stalled,
    /// Its start was not answered, and the worker does not list the run.
    #[strum(to_string = "start got no answer")]
    StartUnanswered,
    /// The previous stop command was not answered.
    #[strum(to_string = "no answer")]
    StopUnanswered,
    /// A gang of a more urgent queue needs its resources.
    #[strum(to_string = "preempted")]
    Preempted(StepKey),
}

impl StopReason {
    /// The gang for which a run is preempted.
    #[must_use]
    pub fn gang(self) -> Option<StepKey> {
        match self {
            StopReason::Preempted(gang) => Some(gang),
            _ => None,
        }
    }
}
