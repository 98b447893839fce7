//! Runs that were lost without an end that counts, for logs and metrics.

use std::time::Duration;

use strum::Display;

use super::Planner;
use super::roster::PlacedRun;
use super::roster::RunPhase;
use crate::RunId;
use crate::TaskKey;
use crate::WorkerId;

/// Why a run was lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Loss {
    /// Its worker's life is over, unannounced.
    #[strum(to_string = "worker crashed")]
    Crashed,
    /// Its worker has left, as it had announced.
    #[strum(to_string = "worker left")]
    Left,
    /// Its worker's lease is over; whether the worker lives is not known.
    #[strum(to_string = "lease over")]
    LeaseExpired,
    /// Its worker does not list it.
    #[strum(to_string = "not listed")]
    Unlisted,
}

/// A run that was lost; its task waits again, if its job has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// Where it was.
    pub worker: WorkerId,
    /// Why it was lost.
    pub cause: Loss,
    /// The worker had said that it runs.
    pub confirmed: bool,
    /// Time since it was confirmed, or since its start was sent.
    pub age: Duration,
    /// Other runs on the worker.
    pub other_runs: usize,
}

impl LostRun {
    pub(super) fn new(
        (task, placed): (TaskKey, &PlacedRun),
        worker: WorkerId,
        (cause, other_runs): (Loss, usize),
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
    /// Runs that were lost since the last call.
    pub fn take_losses(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.losses)
    }
}
