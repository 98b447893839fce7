//! Reasons for stopping a run, for logs and metrics.

use strum::Display;

use crate::StepKey;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended, which includes a cancel.
    #[strum(to_string = "job ended")]
    JobEnded,
    /// Its job is unknown to the planner.
    #[strum(to_string = "job not known")]
    JobUnknown,
    /// Another member of its gang has ended, was lost or was refused.
    #[strum(to_string = "gang broken")]
    GangBroken,
    /// Its task does not wait for it: the task is done, has another run, or the run was closed.
    #[strum(to_string = "not wanted")]
    Superseded,
    /// Another run of its task is booked on the same worker.
    #[strum(to_string = "other run booked")]
    DuplicateRun,
    /// Its reported progress has not changed for too long.
    #[strum(to_string = "stands still")]
    Stalled,
    /// Its start command got no reply, and the worker report does not list the run.
    #[strum(to_string = "start got no answer")]
    StartUnanswered,
    /// The previous stop command got no reply.
    #[strum(to_string = "no answer")]
    StopUnanswered,
    /// A gang of a more urgent queue needs its resources.
    #[strum(to_string = "preempted")]
    Preempted(StepKey),
}

impl StopReason {
    /// Returns the gang for which a run is preempted; `None` for other reasons.
    #[must_use]
    pub fn gang(self) -> Option<StepKey> {
        match self {
            StopReason::Preempted(gang) => Some(gang),
            _ => None,
        }
    }
}
