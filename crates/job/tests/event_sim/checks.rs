//! Invariants that are checked at each start.

use std::collections::BTreeSet;

use job::Resources;
use job::RunEnd;
use job::StepKey;
use job::TaskKey;

use super::EventSim;
use super::SentCommand;

impl EventSim {
    /// Checks the invariants for a start, whichever owner has sent it.
    pub(super) fn check(&self, sent: &SentCommand, task: TaskKey) {
        let machine = sent.worker;
        let elsewhere = self.workers.iter().enumerate();
        let twice = elsewhere
            .filter(|(other, worker)| *other != machine && worker.runs_task(&task))
            .count();
        assert_eq!(twice, 0, "{task} runs on two workers");
        assert!(
            !self.acked_done.contains_key(&task),
            "{task} was started after a stored successful end"
        );
        self.check_due(task);
        self.check_limit(sent, task);
        let spec = &self.jobs[&task.step.job];
        let failures = self.acked_failures.get(&task).map_or(0, BTreeSet::len);
        assert!(
            failures < spec.queue.attempts as usize,
            "{task} was started after {failures} failed runs"
        );
        let need = |task: &TaskKey| self.jobs[&task.step.job].steps[0].need;
        let worker = &self.workers[machine];
        let used = worker
            .running
            .keys()
            .chain(worker.stopping.keys())
            .map(need);
        let used = used.fold(Resources::default(), |sum, need| sum.plus(&need));
        let cores = self.cores_for(machine, sent.sent_at);
        assert!(
            used.cpu <= cores * 1000,
            "worker {machine} is over its capacity"
        );
        for &before in &self.jobs[&task.step.job].steps[task.step.step as usize].after {
            let spec = &self.jobs[&task.step.job].steps[before as usize];
            for index in 0..spec.count {
                let step = StepKey {
                    step: before,
                    ..task.step
                };
                let key = TaskKey { step, index };
                assert!(
                    self.ever_done(key),
                    "{task} was started before {key} was done"
                );
            }
        }
    }

    /// Returns whether a task, or any task of its gang, has ever ended successfully.
    fn ever_done(&self, task: TaskKey) -> bool {
        let gang = self.jobs[&task.step.job].steps[task.step.step as usize].gang;
        let ended = self.workers.iter().flat_map(|worker| &worker.ended);
        let mut done = ended.filter(|end| end.how == RunEnd::Done);
        let same = |one: TaskKey| one == task || gang && one.step == task.step;
        done.any(|end| same(end.task)) || self.done.iter().any(|one| same(*one))
    }
}
