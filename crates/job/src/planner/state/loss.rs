//! Lost runs, for logs and metrics. A run is lost if it counts as ended without a report of its
//! end.

use std::time::Duration;

use strum::Display;

use crate::RunId;
use crate::TaskKey;
use crate::WorkerId;
use crate::planner::Planner;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;

/// Why a run counts as lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LossCause {
    /// The incarnation of its worker has ended and was not draining.
    #[strum(to_string = "worker crashed")]
    Crashed,
    /// The incarnation of its worker has ended after it was draining, as announced.
    #[strum(to_string = "worker left")]
    Left,
    /// The lease of its worker has expired; whether the worker is alive is unknown.
    #[strum(to_string = "lease over")]
    LeaseExpired,
    /// A report of its worker does not list it, though the worker had confirmed the run or its
    /// stop.
    #[strum(to_string = "not listed")]
    Unlisted,
}

/// A lost run. Its task waits again unless its job has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// Task that the run was an attempt at.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunId,
    /// Worker that the run was sent to, or that reported it.
    pub worker: WorkerId,
    /// Why the run counts as lost.
    pub cause: LossCause,
    /// The worker had confirmed that the run started.
    pub confirmed: bool,
    /// Time since the last change of the run's state, such as the sending or the confirmation of
    /// its start.
    pub age: Duration,
    /// Number of other runs on the worker.
    pub other_runs: usize,
}

impl LostRun {
    pub(crate) fn new(
        (task, placed): (TaskKey, &PlacedRun),
        worker: WorkerId,
        (cause, other_runs): (LossCause, usize),
        now: Duration,
    ) -> LostRun {
        LostRun {
            task,
            run: placed.run,
            worker,
            cause,
            confirmed: !matches!(placed.phase, RunPhase::Sent | RunPhase::Unanswered),
            age: now.saturating_sub(placed.phase_since),
            other_runs,
        }
    }
}

impl Planner {
    /// Takes the runs that were lost since the last call.
    pub fn take_losses(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.lost_runs)
    }
}
