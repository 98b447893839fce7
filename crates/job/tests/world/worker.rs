//! A simulated worker that follows the protocol.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use job::EndedRun;
use job::RunEnd;
use job::RunId;
use job::TaskKey;

#[derive(Debug, Default)]
pub struct Worker {
    /// Start of this incarnation, if the worker reports it.
    pub life: Option<u64>,
    pub fence: u64,
    pub lease: Duration,
    pub running: BTreeMap<TaskKey, (RunId, Duration)>,
    /// Runs that the worker has reported as active.
    pub told: BTreeSet<(TaskKey, RunId)>,
    /// Runs that are being stopped and are still reported as active.
    pub stopping: BTreeMap<TaskKey, (RunId, Duration)>,
    pub ended: Vec<EndedRun>,
    pub count: u64,
    pub seen: u64,
    /// The current incarnation has replied to the newest renewal, and it is the one that the
    /// owner knows.
    pub linked: bool,
    /// Ends up to this number were reported before a lease expired, so they no longer count.
    pub void: u64,
    /// Highest run stopped or ended here, by task.
    pub over: HashMap<TaskKey, RunId>,
    pub cut: bool,
    /// The worker has crashed and is not back yet.
    pub down: bool,
}

impl Worker {
    pub fn holds(&self, task: &TaskKey) -> bool {
        self.running.contains_key(task) || self.stopping.contains_key(task)
    }

    pub fn end(&mut self, task: TaskKey, how: RunEnd) {
        let run = self.running.remove(&task);
        let Some((run, _)) = run.or_else(|| self.stopping.remove(&task)) else {
            return;
        };
        self.count += 1;
        self.ended.push(EndedRun {
            number: self.count,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
        let over = self.over.entry(task).or_default();
        *over = run.max(*over);
    }
}
