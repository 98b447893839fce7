//! A simulated worker that follows the protocol.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use job::EndedRun;
use job::RunEnd;
use job::RunId;
use job::TaskKey;

/// State of a simulated worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Start time of this incarnation; `None` if the worker does not report it.
    pub incarnation: Option<u64>,
    /// Highest fencing token that the worker has received.
    pub fence: u64,
    /// Expiry of the lease.
    pub lease: Duration,
    /// Number and start time of the active run of each task.
    pub running: BTreeMap<TaskKey, (RunId, Duration)>,
    /// Runs that the worker has reported as active.
    pub reported: BTreeSet<(TaskKey, RunId)>,
    /// Runs that are being stopped and are still reported as active.
    pub stopping: BTreeMap<TaskKey, (RunId, Duration)>,
    pub ended: Vec<EndedRun>,
    /// Number of the newest end.
    pub end_count: u64,
    /// Number of the newest end that the owner has acknowledged.
    pub acked: u64,
    /// The worker has replied to the newest renewal, so the owner has its current incarnation.
    pub in_contact: bool,
    /// Number of the newest end when a lease last expired. The planner need not count ends up to
    /// this number, since their tasks may have started elsewhere.
    pub expired_ends: u64,
    /// Highest number of a run that was stopped or has ended here, by task.
    pub last_ended: HashMap<TaskKey, RunId>,
    /// No call reaches the worker.
    pub cut_off: bool,
    /// The worker has crashed and has not started again.
    pub down: bool,
}

impl Worker {
    pub fn runs_task(&self, task: &TaskKey) -> bool {
        self.running.contains_key(task) || self.stopping.contains_key(task)
    }

    /// Ends the run of a task, if the worker has one.
    pub fn end(&mut self, task: TaskKey, how: RunEnd) {
        let run = self.running.remove(&task);
        let Some((run, _)) = run.or_else(|| self.stopping.remove(&task)) else {
            return;
        };
        self.end_count += 1;
        self.ended.push(EndedRun {
            number: self.end_count,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
        let last_ended = self.last_ended.entry(task).or_default();
        *last_ended = run.max(*last_ended);
    }
}
