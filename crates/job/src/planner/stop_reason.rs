//! Why a run is stopped, for logs and metrics.

use strum::Display;

use crate::StepKey;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended or was cancelled.
    #[strum(to_string = "job ended")]
    JobEnded,
    /// Nothing is known of its job.
    #[strum(to_string = "job not known")]
    JobUnknown,
    /// Another member of its gang is gone.
    #[strum(to_string = "gang broken")]
    GangBroken,
    /// Its task is done, or runs elsewhere.
    #[strum(to_string = "not wanted")]
    Superseded,
    /// Another run of its task holds the room.
    #[strum(to_string = "other run booked")]
    DuplicateRun,
    /// It shows no progress.
    #[strum(to_string = "stands still")]
    Stalled,
    /// Whether it has started is not known.
    #[strum(to_string = "start got no answer")]
    StartUnanswered,
    /// The stop sent before got no answer.
    #[strum(to_string = "no answer")]
    StopUnanswered,
    /// A gang of a more urgent queue takes its room.
    #[strum(to_string = "preempted")]
    Preempted(StepKey),
}

impl StopReason {
    /// The gang that takes the room of a preempted run.
    #[must_use]
    pub fn gang(self) -> Option<StepKey> {
        match self {
            StopReason::Preempted(gang) => Some(gang),
            _ => None,
        }
    }
}
