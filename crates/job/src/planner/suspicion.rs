//! Tasks under which workers crashed: which of them are to blame.
//!
//! A task that takes its worker down lists no end, so nothing but its worker's fate
//! tells of it; without a count it is started for as long as there are workers, and each
//! start costs the runs beside it. But of the runs on a worker that crashed all but one
//! are victims, and a whole rack may go down for a reason of its own. So:
//!
//! - a crash counts for each run that was on the worker, and for nothing else: not a
//!   lease that is over, a worker that has left as announced, or a refused start;
//! - it counts as unsure if the start got no answer, which may have come too late, or if
//!   other workers without suspects have just gone down, too;
//! - after the first crash, each start is recorded before it is sent, however long that
//!   takes: a successor that finds neither the run nor all workers alive counts it as a crash;
//! - with [`TRIED_ALONE`] sure crashes, or [`SHARED`] of any kind, a task is tried alone on a
//!   worker, some time later;
//! - it is given up when that worker crashes too, unless other workers without suspects
//!   went down at the same time, and after [`MOST_CRASHES`], sure or not, in any case.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use strum::Display;

use super::job_state::JobState;
use super::job_state::Phase;
use crate::CrashRecord;
use crate::RunId;
use crate::TaskKey;

/// Sure crashes after which a task is tried alone. A sound task rarely meets two: a
/// worker that goes down takes the runs of all its cores with it.
const TRIED_ALONE: usize = 2;

/// Crashes of any kind after which a task is tried alone: where many tasks are bad at a
/// time, hardly any crash is sure. An owner that dies before it has recorded the first crash
/// takes that along, so one start is left for it.
const SHARED: usize = 3;

/// Crashes after which a task is given up whatever else went down meanwhile. The
/// platform bears two more starts after three crashes.
pub(super) const MOST_CRASHES: usize = 5;

/// Tasks under which workers crashed, and what is needed to decide on them.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// The tasks, whether they may start beside others or not.
    pub(super) tasks: BTreeSet<TaskKey>,
    /// One of them was alone on a worker that crashed, and is about to be decided on.
    pub(super) deciding: bool,
    /// A worker went down before it told us what a predecessor had it run.
    pub(super) unseen: bool,
    /// When workers without suspects crashed, of late.
    pub(super) deaths: VecDeque<Duration>,
    /// What was found, for logs and metrics.
    pub(super) findings: Vec<Suspect>,
}

/// What is known against a task.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicion {
    /// Runs whose worker crashed by itself after it had said that they run.
    pub(super) crashes: BTreeSet<RunId>,
    /// Other runs that may have been on a worker that crashed.
    pub(super) unsure: BTreeSet<RunId>,
    /// The start that is recorded ahead, until its end is known.
    pub(super) ahead: Option<Ahead>,
    /// No trial before this time.
    pub(super) rest: Duration,
    /// When it was alone on a worker that crashed, if that is not decided on yet.
    pub(super) alone: Option<Duration>,
}

/// A start that is recorded before it is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ahead {
    pub(super) run: RunId,
    pub(super) saved: bool,
}

impl Suspicion {
    /// What a predecessor has recorded.
    pub(super) fn restored(record: &CrashRecord) -> Suspicion {
        let ahead = record.pending.map(|run| Ahead { run, saved: true });
        Suspicion {
            crashes: record.runs.clone(),
            unsure: record.uncertain.clone(),
            ahead,
            ..Suspicion::default()
        }
    }

    /// What a successor has to know; nothing if there is nothing against the task.
    pub(super) fn record(&self) -> Option<CrashRecord> {
        let record = CrashRecord {
            runs: self.crashes.clone(),
            uncertain: self.unsure.clone(),
            pending: self.ahead.map(|ahead| ahead.run),
        };
        (record != CrashRecord::default()).then_some(record)
    }

    /// Crashes, unsure ones included.
    pub(super) fn count(&self) -> usize {
        self.crashes.len() + self.unsure.len()
    }

    /// Whether the task starts only alone: no task is given up for crashes that it shared
    /// with others.
    pub(super) fn isolates(&self) -> bool {
        self.crashes.len() >= TRIED_ALONE || self.count() >= SHARED
    }

    /// Whether the crash of a trial proves that the task is to blame.
    pub(super) fn provable(&self) -> bool {
        self.crashes.len() > TRIED_ALONE || self.count() > SHARED
    }

    /// Whether the next start may be sent.
    pub(super) fn may_start(&self, now: Duration) -> bool {
        let Some(ahead) = self.ahead else {
            return self.count() == 0;
        };
        now >= self.rest && ahead.saved
    }

    /// A run has ended in another way than with its worker; gives whether that is news.
    pub(super) fn clear_run(&mut self, run: RunId) -> bool {
        let ahead = self.ahead.take_if(|ahead| ahead.run == run);
        let counted = self.crashes.remove(&run) | self.unsure.remove(&run);
        counted || ahead.is_some()
    }
}

/// What was found of a task under which workers crashed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "snake_case")]
pub enum Finding {
    /// It will be tried alone.
    Suspected,
    /// It is being tried.
    Tried,
    /// Its trial has ended in another way than with a crash.
    Cleared,
    /// It was given up, and its job with it.
    GivenUp,
}

/// A finding, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The task.
    pub task: TaskKey,
    /// The run that the finding rests on.
    pub run: RunId,
    /// What was found.
    pub finding: Finding,
    /// Crashes counted so far.
    pub crashes: usize,
}

impl JobState {
    pub(super) fn suspicion(&self, task: TaskKey) -> Option<&Suspicion> {
        let (_, step) = self.step(task.step)?;
        step.tasks.get(task.index as usize)?.suspicion.as_deref()
    }

    pub(super) fn suspicion_mut(&mut self, task: TaskKey) -> Option<&mut Suspicion> {
        let (_, step) = self.step_mut(task.step)?;
        let state = step.tasks.get_mut(task.index as usize)?;
        state.suspicion.as_deref_mut()
    }

    /// Whether a task starts only alone.
    pub(super) fn isolates(&self, task: TaskKey) -> bool {
        self.suspicion(task).is_some_and(Suspicion::isolates)
    }

    /// Where a task stands.
    pub(super) fn phase(&self, task: TaskKey) -> Option<Phase> {
        let (_, step) = self.step(task.step)?;
        Some(step.tasks.get(task.index as usize)?.phase)
    }
}
