//! Workers that crash and come back under another id, tasks that crash their workers, and
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

/// Maximum number of starts of a task that crashes each worker, if no owner crashes: after three
/// crashes, the platform tolerates two more.
const MOST_STARTS: usize = 5;

/// Minimum number of crashes under a task after which its job may fail.
const FEWEST_CRASHES: usize = 2;

/// State of a simulation with crashes.
#[derive(Debug, Default)]
pub struct Faults {
    /// Number of restarts of the worker at each place.
    incarnations: [usize; WORKERS],
    /// Ids of incarnations that have ended without the owner knowing it.
    unknown: Vec<String>,
    /// Cores of each worker, and when they last changed.
    cores: BTreeMap<usize, (u64, Duration)>,
    /// Number of starts of each task that crashes its workers.
    bad_starts: BTreeMap<TaskKey, usize>,
    /// Number of worker crashes under each task.
    crashes: BTreeMap<TaskKey, usize>,
    /// Number of failed runs of each task.
    failures: BTreeMap<TaskKey, usize>,
    /// Number of owners that crashed.
    owners: usize,
    /// Runs that crashed workers had reported as active.
    lost: Vec<(WorkerKey, TaskKey, RunId)>,
    /// State for workers that come back under the same id.
    pub(super) same_ids: Option<SameIds>,
}

impl EventSim {
    /// Creates a simulation in which workers and tasks crash.
    pub fn with_crashes() -> EventSim {
        let mut sim = EventSim::new();
        sim.faults = Some(Faults::default());
        sim
    }

    /// Carries out an event; most are events of any simulation.
    pub fn crash_step(&mut self, event: Event) {
        let place = usize::from(event.pick) % WORKERS;
        // Former owners are left out here, since whom they reach is covered by other tests.
        self.former_owner = None;
        match event.kind {
            0..200 => self.step(event),
            200..208 if event.pick.is_multiple_of(3) => self.crash(place),
            200..228 => self.restart_worker(place),
            228..244 => self.report_crashes(),
            _ => self.resize(place, u64::from(event.pick / 3 % 4) + 1),
        }
        self.check_failed();
    }

    pub(super) fn id(&self, place: usize) -> String {
        let incarnation = self
            .faults
            .as_ref()
            .map_or(0, |faults| faults.incarnations[place]);
        match incarnation {
            _ if self.keeps_id(place) => format!("w{place}"),
            0 => format!("w{place}"),
            incarnation => format!("w{place}-{incarnation}"),
        }
    }

    pub(super) fn info(&self, place: usize) -> WorkerInfo {
        let mut info = support::worker(&self.id(place));
        info.incarnation = self.workers[place].incarnation;
        info.capacity = support::resources(self.cores(place).0 * 1000, 64_000);
        info
    }

    /// Cores of a worker, and when they last changed.
    fn cores(&self, place: usize) -> (u64, Duration) {
        let changed = self
            .faults
            .as_ref()
            .and_then(|faults| faults.cores.get(&place));
        changed.copied().unwrap_or((4, Duration::ZERO))
    }

    /// Cores that a start which was sent at this time may use.
    pub(super) fn cores_for(&self, place: usize, sent: Duration) -> u64 {
        let (cores, since) = self.cores(place);
        if sent <= since { 4 } else { cores }
    }

    /// Whether a task crashes each worker that runs it.
    fn bad(&self, task: TaskKey) -> bool {
        self.faults.is_some() && task.step.job.is_multiple_of(4) && task.index == 0
    }

    /// Crashes the worker if the task is a bad one; returns its reply to the start in that case.
    pub(super) fn crash_on_start(
        &mut self,
        place: usize,
        task: TaskKey,
        run: RunId,
    ) -> Option<StartReply> {
        if !self.bad(task) {
            return None;
        }
        if let Some(faults) = &mut self.faults {
            *faults.bad_starts.entry(task).or_default() += 1;
        }
        self.crash(place);
        self.check_bad_starts(task);
        let answered = !run.is_multiple_of(4);
        if answered {
            // The worker was running the task when it confirmed the start. Together with later
            // starts of the other members, this counts as the start of a gang.
            self.started.insert(task.step.job);
        }
        Some(if answered {
            StartReply::Started
        } else {
            StartReply::Unknown
        })
    }

    pub(super) fn crash(&mut self, place: usize) {
        if self.workers[place].down {
            return;
        }
        let (id, keeps_id) = (self.id(place), self.keeps_id(place));
        self.keep_late_renewal(place);
        let worker = std::mem::take(&mut self.workers[place]);
        self.workers[place] = Worker {
            down: true,
            incarnation: worker.incarnation,
            ..Worker::default()
        };
        let Some(faults) = &mut self.faults else {
            return;
        };
        if !keeps_id {
            faults.unknown.push(id);
        }
        // The crash resets the worker's connections; some of these resets get lost.
        if !self.now.as_millis().is_multiple_of(4) {
            self.planner.mark_unresponsive(self.keys[place]);
        }
        let key = self.keys[place];
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

    pub(super) fn restart_worker(&mut self, place: usize) {
        if !std::mem::take(&mut self.workers[place].down) {
            return;
        }
        if self.keeps_id(place) {
            self.restart(place);
            return;
        }
        if let Some(faults) = &mut self.faults {
            faults.incarnations[place] += 1;
        }
        let info = self.info(place);
        self.planner.advance(self.now);
        self.keys[place] = self
            .planner
            .register_worker(info)
            .expect("a new incarnation");
    }

    fn report_crashes(&mut self) {
        let Some(faults) = &mut self.faults else {
            return;
        };
        self.planner.advance(self.now);
        let unknown = std::mem::take(&mut faults.unknown);
        self.report_same_ids();
        for id in unknown {
            if let Some(key) = self.planner.worker_key(&id) {
                self.planner.worker_ended(key);
            }
        }
    }

    fn resize(&mut self, place: usize, cores: u64) {
        if self.workers[place].down {
            return;
        }
        if let Some(faults) = &mut self.faults {
            faults.cores.insert(place, (cores, self.now));
        }
        self.registration_written(place);
        let info = self.info(place);
        self.planner.register_worker(info);
    }

    /// Adds the crashed workers that still have a row to the planner of a new owner.
    pub(super) fn recall_crashed(&mut self) {
        let Some(faults) = &mut self.faults else {
            return;
        };
        faults.owners += 1;
        for id in &faults.unknown {
            self.planner.restore_worker(support::worker(id));
        }
    }

    pub(super) fn record_failure(&mut self, task: TaskKey) {
        if let Some(faults) = &mut self.faults {
            *faults.failures.entry(task).or_default() += 1;
        }
    }

    /// Runs that crashed workers had reported as active, by the worker key of the owner at that
    /// time.
    pub(super) fn lost_runs(&self) -> &[(WorkerKey, TaskKey, RunId)] {
        self.faults.as_ref().map_or(&[], |faults| &faults.lost)
    }

    /// Checks the number of starts of a bad task. An owner that crashes before it has stored a
    /// first crash forgets it, which allows one more start; nothing else does.
    fn check_bad_starts(&self, task: TaskKey) {
        let Some(faults) = &self.faults else { return };
        let starts = faults.bad_starts.get(&task).copied().unwrap_or_default();
        let most = MOST_STARTS + faults.owners;
        assert!(
            starts <= most,
            "{task}: {starts} starts, {} owners",
            faults.owners
        );
    }

    /// Checks that a job fails only if a task failed too often or workers crashed under it.
    fn check_failed(&self) {
        let Some(faults) = &self.faults else { return };
        for (&id, spec) in &self.jobs {
            if self.planner.job_status(id) != Some(JobStatus::Failed) {
                continue;
            }
            let of = |found: &BTreeMap<TaskKey, usize>, least: usize| {
                let mut tasks = found.iter();
                tasks.any(|(task, count)| task.step.job == id && *count >= least)
            };
            let attempts = spec.queue.attempts as usize;
            let failed = of(&faults.failures, attempts) || self.gang_failures(id) >= attempts;
            let crashed = of(&faults.crashes, FEWEST_CRASHES);
            assert!(failed || crashed, "job {id} has failed");
        }
    }

    /// Failed runs of a job's gangs; the failure of any member counts for the gang.
    fn gang_failures(&self, id: JobId) -> usize {
        let Some(faults) = &self.faults else { return 0 };
        let gang = |task: &TaskKey| self.jobs[&id].steps[task.step.step as usize].gang;
        let failures = faults.failures.iter();
        failures
            .filter(|(task, _)| task.step.job == id && gang(task))
            .map(|(_, count)| count)
            .sum()
    }

    /// Number of jobs that failed, and of starts of bad tasks.
    pub fn failed_jobs(&self) -> (usize, usize) {
        let Some(faults) = &self.faults else {
            return (0, 0);
        };
        let failed = self.stored.values();
        let failed = failed.filter(|progress| progress.outcome == Some(Outcome::Failed));
        (failed.count(), faults.bad_starts.values().sum())
    }
}
