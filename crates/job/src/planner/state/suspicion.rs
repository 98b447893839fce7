//! Suspects: tasks that had runs on workers that crashed, and may have caused the crash.
//!
//! A run that crashes its worker is never reported as ended; only the crash is detected. If
//! crashes were not counted, the task would be started for as long as there are workers, and
//! each start would destroy the other runs on the worker. But at most one of the runs on a
//! crashed worker caused the crash, and a whole rack may fail for another reason. So:
//!
//! - a crash counts against each run that was on the worker. A lease that expired, a drained
//!   worker that left, and a refused start do not count;
//! - it counts as uncertain if the start got no reply, since the run may not have been on the
//!   worker, or if other workers without suspects crashed just before;
//! - after the first crash, each start is saved before it is sent, as an intent that names the
//!   worker, however long that takes. A successor counts a crash if this worker crashed before it
//!   sent a report, see [`crate::planner::recovery::inherited`];
//! - with [`CERTAIN_CRASH_LIMIT`] certain crashes, or [`ANY_CRASH_LIMIT`] of any kind, the next
//!   start is a trial: alone on a worker, after a delay;
//! - the task's job fails if the worker of a trial crashes as well, unless other workers without
//!   suspects crashed at the same time, and in any case after [`MAX_CRASHES`] crashes,
//!   certain or not, once the fate of each worker that is assumed to have crashed is known, see
//!   [`crate::planner::recovery::inherited`].

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use strum::Display;

use crate::CrashRecord;
use crate::RunId;
use crate::TaskKey;
use crate::planner::WorkerKey;

/// Number of certain crashes after which the next start is a trial. Two certain crashes rarely
/// count against a task that does not cause them, though a crash ends all runs on the worker.
const CERTAIN_CRASH_LIMIT: usize = 2;

/// Number of crashes of any kind after which the next start is a trial. If many tasks crash
/// workers at the same time, hardly any crash is certain. The limit allows for one start that is
/// not counted: an owner may die before it has saved the first crash, which its successor then
/// does not count.
const ANY_CRASH_LIMIT: usize = 3;

/// Number of crashes after which a task's job fails, even if other workers crashed at the same
/// times. The platform tolerates two more starts after three crashes.
pub(crate) const MAX_CRASHES: usize = 5;

/// The suspects, and what is needed to decide whether they caused the crashes.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    /// All suspects, including those that may still share a worker with other runs.
    pub(crate) tasks: BTreeSet<TaskKey>,
    /// A suspect was alone on a worker that crashed, and it is not decided yet whether the suspect
    /// caused the crash.
    pub(crate) decision_due: bool,
    /// A worker of the former owner has crashed, or may have, before it sent a report.
    pub(crate) unreported_crash: bool,
    /// Recent crashes of workers that had no suspects.
    pub(crate) unexplained: VecDeque<UnexplainedCrash>,
    /// Findings since the last [`crate::planner::Planner::take_findings`].
    pub(crate) findings: Vec<Suspect>,
}

/// Crash of a worker that had no suspects, so that it may have the same cause as other crashes at
/// the time.
#[derive(Debug)]
pub(crate) struct UnexplainedCrash {
    /// When the crash was detected.
    pub(crate) at: Duration,
    /// Tasks that had runs on the worker. If one of them becomes a suspect, it is the likely cause.
    pub(crate) tasks: Vec<TaskKey>,
}

/// Worker crashes that count against a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    /// Runs whose worker crashed after it had confirmed them, unless a common cause is likely.
    pub(crate) crashes: BTreeSet<RunId>,
    /// Runs whose start got no reply, so that they may not have been on the crashed worker, or
    /// for whose crash a common cause is likely: several workers without suspects crashed just
    /// before.
    pub(crate) uncertain: BTreeSet<RunId>,
    /// The uncertain run of the former owner whose worker has neither ended nor sent a report.
    pub(crate) assumed: Option<RunId>,
    /// The former owner may have started a run of the task that it did not record, and the worker
    /// of which has crashed.
    pub(crate) unrecorded_start: bool,
    /// Intent of the next start, or of the newest one while the end of its run is not reported yet.
    pub(crate) intent: Option<StartIntent>,
    /// No trial starts before this time.
    pub(crate) not_before: Duration,
    /// When a worker crashed on which the task was alone, until it is decided whether the task
    /// caused the crash.
    pub(crate) alone_crash: Option<Duration>,
}

/// A start that is saved with the job's progress before it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartIntent {
    pub(crate) run: RunId,
    /// Worker that the run is to start on; `None` for a member of a gang, and for an intent of the
    /// former owner.
    pub(crate) worker: Option<WorkerKey>,
    /// The intent is in the store, so the start may be sent.
    pub(crate) saved: bool,
}

impl Suspicion {
    /// Restores the suspicion from the crash record that the former owner saved.
    pub(crate) fn restored(record: &CrashRecord) -> Suspicion {
        let intent = record.pending.map(|run| StartIntent {
            run,
            worker: None,
            saved: true,
        });
        Suspicion {
            crashes: record.runs.clone(),
            uncertain: record.uncertain.clone(),
            intent,
            ..Suspicion::default()
        }
    }

    /// Returns the crash record to be saved for a successor; `None` if nothing counts against the
    /// task.
    pub(crate) fn record(&self) -> Option<CrashRecord> {
        let record = CrashRecord {
            runs: self.crashes.clone(),
            uncertain: self.uncertain.clone(),
            pending: self.intent.map(|intent| intent.run),
        };
        (record != CrashRecord::default()).then_some(record)
    }

    /// Returns the number of crashes, including uncertain ones.
    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len() + self.uncertain.len()
    }

    /// Returns whether the task may only start alone on a worker. Crashes of workers with other
    /// runs do not prove that the task caused them. A start that may not be recorded brings the
    /// trial forward, but proves nothing.
    pub(crate) fn needs_trial(&self) -> bool {
        let possible = self.crash_count() + usize::from(self.unrecorded_start);
        self.crashes.len() >= CERTAIN_CRASH_LIMIT || possible >= ANY_CRASH_LIMIT
    }

    /// Returns whether enough crashes count against the task that a crash during a trial, without
    /// others at the time, proves that the task caused it.
    pub(crate) fn trial_decides(&self) -> bool {
        self.crashes.len() > CERTAIN_CRASH_LIMIT || self.crash_count() > ANY_CRASH_LIMIT
    }

    /// Returns whether the delay before the next start has passed.
    pub(crate) fn delay_over(&self, now: Duration) -> bool {
        self.crash_count() == 0 || now >= self.not_before
    }

    /// Returns whether a start that needs no named worker may be sent: no crash counts against the
    /// task, or its start intent is saved and the delay before a trial has passed.
    pub(crate) fn may_start(&self, now: Duration) -> bool {
        let Some(intent) = self.intent else {
            return self.crash_count() == 0;
        };
        now >= self.not_before && intent.saved
    }

    /// Removes a run that no worker crash has ended; returns whether a crash was counted for it or
    /// it had a start intent.
    pub(crate) fn clear_run(&mut self, run: RunId) -> bool {
        let intent = self.intent.take_if(|intent| intent.run == run);
        self.assumed.take_if(|assumed| *assumed == run);
        let counted = self.crashes.remove(&run) | self.uncertain.remove(&run);
        counted || intent.is_some()
    }
}

/// Finding on a suspect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum Finding {
    /// The task needs a trial: it may only start alone on a worker.
    Suspected,
    /// The trial of the task is starting.
    Tried,
    /// A run of the task ended without a worker crash, and the task still needs a trial.
    Cleared,
    /// The job of the task fails.
    #[strum(serialize = "given_up")]
    JobFailed(Verdict),
}

/// Why the job of a suspect fails.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The task caused a worker crash during a trial.
    Trial,
    /// [`MAX_CRASHES`] count against the task.
    TooManyCrashes,
}

/// A finding on a task, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Task under suspicion.
    pub task: TaskKey,
    /// Run that led to the finding.
    pub run: RunId,
    /// Kind of the finding.
    pub finding: Finding,
    /// Number of crashes that count against the task, including uncertain ones.
    pub crashes: usize,
}
