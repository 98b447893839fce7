//! Tasks that last, on workers that are lost one after the other.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use job::ActiveRun;
use job::Planner;
use job::RunId;
use job::TaskKey;
use job::WorkerKey;
use support::add_claimed;
use support::planner;
use support::spec;
use support::starts;
use support::step;
use support::task;
use support::worker_report;

const JOB: u64 = 7;

/// A planner with a lasting task, and four workers that each run another one, so that none is idle.
struct Pool {
    planner: Planner,
    now: Duration,
    workers: Vec<WorkerKey>,
    /// Current run of each task, and its worker.
    runs: BTreeMap<TaskKey, (RunId, WorkerKey)>,
}

impl Pool {
    fn open() -> Pool {
        let mut planner = planner(1);
        let names = ["w1", "w2", "w3", "w4"];
        let workers = names.map(|name| add_claimed(&mut planner, name)).to_vec();
        let mut lasting = step(4);
        lasting.long_running = true;
        lasting.worker_limit = 1;
        planner.add_job(JOB + 1, spec(vec![lasting.clone()]), None, false);
        lasting.count = 1;
        planner.add_job(JOB, spec(vec![lasting]), None, false);
        let mut pool = Pool {
            planner,
            now: Duration::ZERO,
            workers,
            runs: BTreeMap::new(),
        };
        pool.work(Duration::from_secs(1));
        pool
    }

    /// Lets all workers report and the planner start tasks for `time`.
    fn work(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.planner.advance(self.now);
            for &worker in &self.workers {
                self.planner.extend_lease(worker);
                let on_worker = self.runs.iter().filter(|(_, (_, on))| *on == worker);
                let active = on_worker.map(|(&task, &(run, _))| ActiveRun {
                    task,
                    run,
                    checkpoint: String::new(),
                    percent: 100,
                });
                let report = worker_report(active.collect(), vec![]);
                self.planner.apply_report(worker, self.now, &report);
            }
            self.planner.plan();
            for (task, run, worker) in starts(&mut self.planner) {
                self.runs.insert(task, (run, worker));
            }
            let batch = self.planner.take_batch(100);
            self.planner.batch_saved(&batch);
        }
    }

    /// Loses the worker of a task.
    fn lose_worker_of(&mut self, task: TaskKey) {
        let (_, worker) = self.runs[&task];
        self.planner.worker_ended(worker);
        self.workers.retain(|key| *key != worker);
        self.runs.retain(|_, (_, on)| *on != worker);
    }
}

/// Guards against a lasting task that stands still for good after it has lost two workers, long after
/// each other: it waited for an idle worker, and where tasks last none becomes idle.
#[test]
fn a_lasting_task_that_has_worked_long_starts_again_after_each_loss() {
    let mut pool = Pool::open();
    let task = task(JOB, 0, 0);

    for _ in 0..2 {
        pool.work(Duration::from_secs(10));
        pool.lose_worker_of(task);
        pool.work(Duration::from_secs(3));
        assert!(pool.runs.contains_key(&task), "the task stands still");
    }
}

/// Guards against a task that stands still for good after it has soon lost two workers: its trial waited
/// for an idle worker.
#[test]
fn a_trial_starts_beside_tasks_that_last() {
    let mut pool = Pool::open();
    let task = task(JOB, 0, 0);

    for _ in 0..2 {
        pool.lose_worker_of(task);
        pool.work(Duration::from_secs(4));
    }

    assert!(pool.runs.contains_key(&task), "the task stands still");
}
