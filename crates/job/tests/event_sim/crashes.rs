//! Workers that crash and start again under another id, tasks that crash their workers, and
//! capacities that shrink and grow.

use std::collections::BTreeMap;
use std::time::Duration;

use job::JobId;
use job::JobStatus;
use job::Outcome;
use job::RunId;
use job::StartReply;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;

use super::Event;
use super::EventSim;
use super::WORKERS;
use super::same_ids::SameIds;
use super::worker::Worker;
use crate::support;

/// Maximum number of starts of a task that crashes each of its workers, if no owner crashes: after
/// three crashes, the platform tolerates two more starts.
const MAX_STARTS: usize = 5;

/// Minimum number of worker crashes during runs of a task after which its job may fail.
const MIN_CRASHES: usize = 2;

/// State of a simulation with crashes.
#[derive(Debug, Default)]
pub struct Faults {
    /// Number of restarts of the worker on each machine.
    incarnations: [usize; WORKERS],
    /// Ids of incarnations that have crashed, until the owner is notified.
    undetected: Vec<String>,
    /// Number of cores on each machine, and when it last changed.
    cores: BTreeMap<usize, (u64, Duration)>,
    /// Number of starts of each task that crashes its workers.
    crasher_starts: BTreeMap<TaskKey, usize>,
    /// Number of worker crashes during runs of each task.
    crashes: BTreeMap<TaskKey, usize>,
    /// Number of failed runs of each task.
    failures: BTreeMap<TaskKey, usize>,
    /// Number of take-overs.
    takeovers: usize,
    /// Runs that crashed workers had reported as active.
    lost: Vec<(WorkerKey, TaskKey, RunId)>,
    /// State of workers that start again under the same id; `None` if there are none.
    pub(super) same_ids: Option<SameIds>,
}

impl EventSim {
    /// Creates a simulation in which workers and tasks crash.
    pub fn with_crashes() -> EventSim {
        let mut sim = EventSim::new();
        sim.faults = Some(Faults::default());
        sim
    }

    /// Carries out an event; kinds below 200 are those of [`EventSim::step`].
    pub fn crash_step(&mut self, event: Event) {
        let machine = usize::from(event.pick) % WORKERS;
        // Renewals by a former owner are left out, since other tests cover them.
        self.former_owner = None;
        match event.kind {
            0..200 => self.step(event),
            200..208 if event.pick.is_multiple_of(3) => self.crash(machine),
            200..228 => self.restart_worker(machine),
            228..244 => self.report_crashes(),
            _ => self.resize(machine, u64::from(event.pick / 3 % 4) + 1),
        }
        self.check_failed();
    }

    pub(super) fn id(&self, machine: usize) -> String {
        let incarnation = self
            .faults
            .as_ref()
            .map_or(0, |faults| faults.incarnations[machine]);
        match incarnation {
            _ if self.keeps_id(machine) => format!("w{machine}"),
            0 => format!("w{machine}"),
            incarnation => format!("w{machine}-{incarnation}"),
        }
    }

    pub(super) fn info(&self, machine: usize) -> WorkerInfo {
        let mut info = support::worker(&self.id(machine));
        info.incarnation = self.workers[machine].incarnation;
        info.capacity = support::resources(self.cores(machine).0 * 1000, 64_000);
        info
    }

    /// Returns the number of cores on a machine, and when it last changed.
    fn cores(&self, machine: usize) -> (u64, Duration) {
        let changed = self
            .faults
            .as_ref()
            .and_then(|faults| faults.cores.get(&machine));
        changed.copied().unwrap_or((4, Duration::ZERO))
    }

    /// Returns the number of cores that starts sent at this time may use: four, the most that a
    /// worker has, if the owner sent them before the number last changed.
    pub(super) fn cores_for(&self, machine: usize, sent: Duration) -> u64 {
        let (cores, since) = self.cores(machine);
        if sent <= since { 4 } else { cores }
    }

    /// Returns whether a task crashes each worker that runs it: the first tasks of every fourth job
    /// do, in a simulation with crashes.
    fn crashes_worker(&self, task: TaskKey) -> bool {
        self.faults.is_some() && task.step.job.is_multiple_of(4) && task.index == 0
    }

    /// Crashes the worker if the task does that; returns the reply to the start in that case.
    pub(super) fn crash_on_start(
        &mut self,
        machine: usize,
        task: TaskKey,
        run: RunId,
    ) -> Option<StartReply> {
        if !self.crashes_worker(task) {
            return None;
        }
        if let Some(faults) = &mut self.faults {
            *faults.crasher_starts.entry(task).or_default() += 1;
        }
        self.crash(machine);
        self.check_crasher_starts(task);
        // In every fourth run, the worker crashes before it has replied to the start.
        let answered = !run.is_multiple_of(4);
        if answered {
            // The worker was running the task when it confirmed the start. Together with later
            // starts of the other members, this counts as the start of the gang.
            self.started.insert(task.step.job);
        }
        Some(if answered {
            StartReply::Started
        } else {
            StartReply::Unknown
        })
    }

    pub(super) fn crash(&mut self, machine: usize) {
        if self.workers[machine].down {
            return;
        }
        let (id, keeps_id) = (self.id(machine), self.keeps_id(machine));
        self.keep_late_renewal(machine);
        let worker = std::mem::take(&mut self.workers[machine]);
        self.workers[machine] = Worker {
            down: true,
            incarnation: worker.incarnation,
            ..Worker::default()
        };
        let Some(faults) = &mut self.faults else {
            return;
        };
        if !keeps_id {
            faults.undetected.push(id);
        }
        // The crash resets the worker's connections; the owner does not see some of the resets.
        if !self.now.as_millis().is_multiple_of(4) {
            self.planner.mark_unresponsive(self.keys[machine]);
        }
        let key = self.keys[machine];
        let reported = worker.reported.into_iter();
        faults
            .lost
            .extend(reported.map(|(task, run)| (key, task, run)));
        let lost = worker
            .running
            .into_keys()
            .chain(worker.stopping.into_keys());
        for task in lost {
            *faults.crashes.entry(task).or_default() += 1;
        }
    }

    pub(super) fn restart_worker(&mut self, machine: usize) {
        if !std::mem::take(&mut self.workers[machine].down) {
            return;
        }
        if self.keeps_id(machine) {
            self.restart(machine);
            return;
        }
        if let Some(faults) = &mut self.faults {
            faults.incarnations[machine] += 1;
        }
        let info = self.info(machine);
        self.planner.advance(self.now);
        self.keys[machine] = self
            .planner
            .register_worker(info)
            .expect("a new incarnation");
    }

    fn report_crashes(&mut self) {
        let Some(faults) = &mut self.faults else {
            return;
        };
        self.planner.advance(self.now);
        let undetected = std::mem::take(&mut faults.undetected);
        self.report_same_ids();
        for id in undetected {
            if let Some(key) = self.planner.worker_key(&id) {
                self.planner.worker_ended(key);
            }
        }
    }

    fn resize(&mut self, machine: usize, cores: u64) {
        if self.workers[machine].down {
            return;
        }
        if let Some(faults) = &mut self.faults {
            faults.cores.insert(machine, (cores, self.now));
        }
        self.registration_written(machine);
        let info = self.info(machine);
        self.planner.register_worker(info);
    }

    /// Adds the crashed workers that still have a row to the planner of a new owner.
    pub(super) fn restore_crashed(&mut self) {
        let Some(faults) = &mut self.faults else {
            return;
        };
        faults.takeovers += 1;
        for id in &faults.undetected {
            self.planner.restore_worker(support::worker(id));
        }
    }

    pub(super) fn record_failure(&mut self, task: TaskKey) {
        if let Some(faults) = &mut self.faults {
            *faults.failures.entry(task).or_default() += 1;
        }
    }

    /// Returns the runs that crashed workers had reported as active, each with the worker's key at
    /// that time.
    pub(super) fn lost_runs(&self) -> &[(WorkerKey, TaskKey, RunId)] {
        self.faults.as_ref().map_or(&[], |faults| &faults.lost)
    }

    /// Checks the number of starts of a task that crashes its workers. If an owner crashes before
    /// it has saved a first crash, its successor does not count that crash, which allows one more
    /// start; nothing else does.
    fn check_crasher_starts(&self, task: TaskKey) {
        let Some(faults) = &self.faults else { return };
        let starts = faults
            .crasher_starts
            .get(&task)
            .copied()
            .unwrap_or_default();
        let most = MAX_STARTS + faults.takeovers;
        assert!(
            starts <= most,
            "{task}: {starts} starts, {} takeovers",
            faults.takeovers
        );
    }

    /// Checks that a job fails only if a task failed too often or workers crashed during its runs.
    fn check_failed(&self) {
        let Some(faults) = &self.faults else { return };
        for (&id, spec) in &self.jobs {
            if self.planner.job_status(id) != Some(JobStatus::Failed) {
                continue;
            }
            let of = |found: &BTreeMap<TaskKey, usize>, min_count: usize| {
                let mut tasks = found.iter();
                tasks.any(|(task, count)| task.step.job == id && *count >= min_count)
            };
            let attempts = spec.queue.attempts as usize;
            let failed = of(&faults.failures, attempts) || self.gang_failures(id) >= attempts;
            let crashed = of(&faults.crashes, MIN_CRASHES);
            assert!(failed || crashed, "job {id} has failed");
        }
    }

    /// Returns the number of failed runs of a job's gangs; the failure of any member counts for the
    /// gang.
    fn gang_failures(&self, id: JobId) -> usize {
        let Some(faults) = &self.faults else { return 0 };
        let gang = |task: &TaskKey| self.jobs[&id].steps[task.step.step as usize].gang;
        let failures = faults.failures.iter();
        failures
            .filter(|(task, _)| task.step.job == id && gang(task))
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns the number of jobs that failed, and of starts of tasks that crash their workers.
    pub fn failed_jobs(&self) -> (usize, usize) {
        let Some(faults) = &self.faults else {
            return (0, 0);
        };
        let failed = self.stored.values();
        let failed = failed.filter(|progress| progress.outcome == Some(Outcome::Failed));
        (failed.count(), faults.crasher_starts.values().sum())
    }
}
