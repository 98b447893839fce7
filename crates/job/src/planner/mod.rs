//! The planner: which task starts where, and what each report means.
//!
//! State and events in, orders out. The time is that of the caller's monotonic
//! clock. Three invariants hold whatever the order of events:
//!
//! - a task has at most one run that may be alive: a run is given up only when
//!   its end was listed, its worker's life is over, or the worker's lease is
//!   over by the slowest clock;
//! - a worker is never booked over its capacity: room is given back only with
//!   the run;
//! - an end counts as recorded only after the progress that holds it was saved.

mod adopt;
mod advice;
mod ahead;
mod batch;
mod begin;
mod crash_count;
mod expected;
mod gang;
mod impossible;
mod job_state;
mod keep;
mod kinds;
mod late_end;
mod lives;
mod load;
mod loss;
mod naming;
mod place;
mod policy;
mod preempt;
mod rank;
mod reach;
mod report;
mod roster;
mod run_times;
mod speed;
mod stale_rooms;
mod stop_reason;
mod suspicion;
mod trial;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::Config;
use crate::EndedRun;
use crate::Epoch;
use crate::JobId;
use crate::JobSpec;
use crate::JobStatus;
use crate::Outcome;
use crate::PredecessorAuthority;
use crate::Progress;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;
use crate::WorkerId;

use advice::Asks;
use job_state::JobState;
use keep::Kept;
use kinds::Kinds;
use lives::PastLives;
use reach::Reaches;
use roster::WorkerState;
use run_times::RunTimes;
use suspicion::Suspects;

pub use advice::Ask;
pub use advice::FreeHelpers;
pub use batch::Batch;
pub use lives::LifeSeen;
pub use load::Load;
pub use load::QueueCount;
pub use load::Timing;
pub use loss::Loss;
pub use loss::LostRun;
pub use policy::Policy;
pub use report::StartReply;
pub use report::StopReply;
pub use roster::Capacity;
pub use stop_reason::StopReason;
pub use suspicion::Finding;
pub use suspicion::Suspect;

slotmap::new_key_type! {
    /// A life of a worker, known to the planner.
    pub struct WorkerKey;
}

/// Run numbers that one epoch may use for a task. Numbers of a later epoch are
/// higher than all of an earlier one, so a successor that has not seen its
/// predecessor's last start still numbers its own higher.
const RUNS_PER_EPOCH: RunId = 100_000;

/// Something to be sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a task.
    Start {
        /// Where.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// Text from the caller.
        payload: String,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Proof that the worker may run the step.
        ticket: Option<String>,
    },
    /// Stop a run, whether it has arrived or not.
    Stop {
        /// Where.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// Why.
        reason: StopReason,
    },
    /// This life of the worker is over, or its lease: close the connection to it.
    Drop {
        /// Which.
        worker: WorkerKey,
        /// The worker.
        id: WorkerId,
    },
    /// Another life of a worker was found: it may be used once its row says so. It comes
    /// after the former life was dropped.
    Begin {
        /// Which.
        worker: WorkerKey,
    },
}

/// Decides for the owner of a pool.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    now: Duration,
    /// Wall-clock time at `now` = 0.
    wall: Duration,
    run_base: RunId,
    config: Config,
    workers: SlotMap<WorkerKey, WorkerState>,
    /// The life of each worker that is known.
    by_id: HashMap<WorkerId, WorkerKey>,
    past: PastLives,
    jobs: HashMap<JobId, JobState>,
    /// Steps that have tasks to start.
    open: BTreeSet<StepKey>,
    /// Jobs with ends or outcomes to be saved.
    dirty: BTreeSet<JobId>,
    /// Jobs that have begun, with nothing else to be saved.
    begins: BTreeSet<JobId>,
    /// Room that the last pass kept free for gangs.
    kept: Kept,
    /// Processors of the usable workers as of the last pass, in thousandths of a core.
    pool_cpu: u64,
    /// Room that gangs could have by preemption, as of the last pass.
    reaches: Reaches,
    /// Processors that gangs could have within the time of a call for advice, as
    /// of the last pass.
    gang_room: u64,
    /// Run times of tasks, as learnt.
    run_times: RunTimes,
    /// When it was last looked at what jobs are expected to take.
    refreshed: Duration,
    /// Steps that may need a call for advice.
    asks: Asks,
    /// Mean work of the jobs of a queue, as learnt.
    mean_work: HashMap<String, f64>,
    /// The gang that has waited longest beyond its objective.
    elder: Option<StepKey>,
    /// Starts that may still be sent in this pass.
    start_room: usize,
    /// The registrations are too old to rely on the workers' rooms.
    stale: bool,
    /// Smallest share of its room that a worker was seen to have.
    smallest: stale_rooms::Share,
    /// Share of the workers that may run a step, by queue, as learnt.
    shares: HashMap<String, f64>,
    orders: Vec<Order>,
    /// Times from acceptance to the first start, of jobs that have just begun.
    first_starts: Vec<Duration>,
    /// Tasks under which workers crashed.
    suspects: Suspects,
    /// Runs that were lost without an end that counts.
    losses: Vec<LostRun>,
    /// Ends of runs of jobs that are not known yet.
    orphans: HashMap<JobId, Vec<(WorkerKey, EndedRun)>>,
    /// Tasks that a predecessor may have started stay put.
    recovering: bool,
    /// What is known of the predecessor's right to renew leases.
    succession: PredecessorAuthority,
    /// Workers that a predecessor may have used and of which we do not know.
    missing: usize,
    /// When this epoch began.
    began: Duration,
    /// The largest pools seen so far.
    kinds: Kinds,
}

/// Time after a take-over in which another process may still tell the former
/// owner of a job: until then a job that is new to us may have been started by
/// it. Processes learn of a take-over from a feed that answers every 0.5 s.
const HINT_LAG: Duration = Duration::from_secs(2);

/// Time after a take-over within which the job of an early end becomes known, if
/// it ever does: longer than most outages of the store.
const ORPHAN_TIME: Duration = Duration::from_secs(30);

impl Planner {
    /// A planner for the epoch `epoch`, taking over at `now`. `wall` is the
    /// wall-clock time, since 1970, at the origin of `now`.
    #[must_use]
    pub fn new(policy: Policy, epoch: Epoch, now: Duration, wall: Duration) -> Planner {
        Planner {
            recovering: true,
            succession: PredecessorAuthority::new(now),
            missing: 0,
            began: now,
            kinds: Kinds::default(),
            policy,
            now,
            wall,
            run_base: epoch.saturating_sub(1) * RUNS_PER_EPOCH,
            config: Config::default(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            past: PastLives::default(),
            jobs: HashMap::new(),
            open: BTreeSet::new(),
            dirty: BTreeSet::new(),
            begins: BTreeSet::new(),
            kept: Kept::default(),
            pool_cpu: 0,
            reaches: Reaches::default(),
            gang_room: 0,
            run_times: RunTimes::default(),
            refreshed: now,
            asks: Asks::default(),
            mean_work: HashMap::new(),
            elder: None,
            start_room: usize::MAX,
            stale: false,
            smallest: 1.0,
            shares: HashMap::new(),
            orders: Vec::new(),
            first_starts: Vec::new(),
            losses: Vec::new(),
            suspects: Suspects::default(),
            orphans: HashMap::new(),
        }
    }

    /// Advances the clock; it never goes back.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Takes a newer configuration; an older one is ignored.
    pub fn configure(&mut self, config: &Config) {
        if config.version > self.config.version {
            self.config = config.clone();
        }
    }

    /// Jobs whose end was recorded longer than `keep` ago, `most` of them.
    #[must_use]
    pub fn expired(&self, keep: Duration, most: usize) -> Vec<JobId> {
        let old = |job: &JobState| {
            let ended = job.saved.is_some().then_some(job.ended);
            ended.is_some_and(|ended| ended + keep <= self.now)
        };
        let old = self.jobs.iter().filter(|(_, job)| old(job));
        old.map(|(&id, _)| id).take(most).collect()
    }

    /// Drops jobs whose rows were removed.
    pub fn forget(&mut self, ids: &[JobId]) {
        for id in ids {
            self.jobs.remove(id);
        }
    }

    /// Takes a job that was accepted, or a change of it. `old` says that a
    /// predecessor may have started it.
    pub fn take_job(&mut self, id: JobId, spec: JobSpec, progress: Option<&Progress>, old: bool) {
        if self.jobs.contains_key(&id) {
            if spec.canceled {
                self.cancel(id);
            }
            return;
        }
        let age = if old {
            (self.wall + self.now).saturating_sub(spec.received)
        } else {
            Duration::ZERO
        };
        let early = self.recovering && self.now < self.began + HINT_LAG;
        let canceled = spec.canceled;
        let born = self.now.saturating_sub(age.min(self.policy.oldest));
        let mut job = JobState::new(spec, born, old || early, &self.run_times);
        self.learn_work(&job.spec.queue.name, job.expected.work);
        if let Some(progress) = progress {
            job.restore(progress);
            self.recall_suspects(id, progress);
        }
        job.ended = self.now;
        let ended = job.outcome.is_some();
        self.jobs.insert(id, job);
        self.count_strangers(id);
        match (ended, canceled) {
            (true, _) => {}
            (false, true) => self.finish(id, Outcome::Canceled),
            (false, false) => self.open_steps(id),
        }
        for (key, end) in self.orphans.remove(&id).unwrap_or_default() {
            self.task_ended(key, &end);
        }
    }

    /// Ends a known job whose row says that it is cancelled, unless it has ended.
    pub fn cancel(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.outcome.is_none()) {
            self.finish(id, Outcome::Canceled);
        }
    }

    /// Sends at most so many starts in the next passes, or the members of one gang more.
    pub fn set_start_room(&mut self, starts: usize) {
        self.start_room = starts;
    }

    /// Decides what starts now.
    pub fn plan(&mut self) {
        self.settle();
        self.place();
    }

    /// Takes note of what has come to its time. Without [`Planner::plan`], for
    /// an owner that may not renew leases and so may start nothing.
    pub fn settle(&mut self) {
        self.expire_workers();
        self.end_recovery();
        self.decide_suspects();
        if self.now > self.began + ORPHAN_TIME {
            self.orphans.clear();
        }
        self.open_rounds();
        self.refresh_expected();
        self.refuse_impossible();
    }

    /// Orders that have come up since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// What callers may be shown of a job; nothing if it is not known here.
    /// An end is shown only once it was saved: an unsaved one could be run
    /// again by a successor after a caller has seen it.
    #[must_use]
    pub fn shown(&self, id: JobId) -> Option<JobStatus> {
        let job = self.jobs.get(&id)?;
        let live = if job.begun {
            JobStatus::Active
        } else {
            JobStatus::Pending
        };
        Some(job.saved.map_or(live, JobStatus::from))
    }

    /// Whether a predecessor may have started a job, and the workers that can
    /// tell have not all answered. Shown as pending meanwhile, jobs went back
    /// from active.
    #[must_use]
    pub fn undecided(&self, id: JobId) -> bool {
        let open = |job: &JobState| job.old && !job.begun && job.saved.is_none();
        self.recovering && self.jobs.get(&id).is_none_or(open)
    }

    /// Time since a job was accepted, as far as known.
    #[must_use]
    pub fn age(&self, id: JobId) -> Option<Duration> {
        let job = self.jobs.get(&id)?;
        Some(self.now.saturating_sub(job.born))
    }

    /// A predecessor may have used a worker of which we do not know: no answer
    /// of the others ends the wait for its lease.
    pub fn miss_worker(&mut self) {
        self.missing += 1;
        self.succession.add_row();
    }

    /// Whether tasks of a predecessor are still unaccounted for.
    #[must_use]
    pub fn recovering(&self) -> bool {
        self.recovering
    }

    /// Workers that have not answered this epoch yet.
    #[must_use]
    pub fn unclaimed(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| !worker.claimed).count()
    }

    /// Time since this epoch began.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        self.now.saturating_sub(self.began)
    }

    /// Old tasks may start again when every worker has told what it runs, or
    /// when what the silent ones run is over by their leases.
    fn end_recovery(&mut self) {
        if !self.recovering {
            return;
        }
        let unclaimed = self.workers.values().filter(|worker| !worker.claimed);
        let inherited = unclaimed.clone().filter(|worker| worker.inherited);
        let doubtful = inherited.clone().count() + self.missing;
        self.succession.update(self.now, doubtful);
        let silent = unclaimed.count() > 0 || self.workers.is_empty() || self.missing > 0;
        // A call that was meant for a former life gives a new one a lease of its own.
        let renamed = inherited
            .clone()
            .all(|worker| worker.info.incarnation.is_none());
        let lapse = if renamed {
            self.policy.lapse()
        } else {
            self.policy.longest_lapse()
        };
        let over = self.succession.last_renewal() + lapse;
        if silent && self.now < over {
            return;
        }
        self.recovering = false;
        self.settle_ahead();
        for worker in self.workers.values_mut() {
            worker.trusted = worker.claimed;
            if std::mem::take(&mut worker.inherited) && !worker.claimed {
                worker.lapse = self.now;
            }
        }
    }

    /// Ends a job and stops what still runs of it.
    fn finish(&mut self, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.outcome = Some(outcome);
        job.ended = self.now;
        let alive = job.alive(id);
        job.shrink();
        self.dirty.insert(id);
        let first = StepKey {
            job: id,
            round: 0,
            step: 0,
        };
        let last = StepKey {
            job: id,
            round: u32::MAX,
            step: u32::MAX,
        };
        let gone: Vec<StepKey> = self.open.range(first..=last).copied().collect();
        for key in gone {
            self.open.remove(&key);
        }
        for (task, worker, run) in alive {
            self.stop(worker, task, run, StopReason::JobEnded);
        }
    }
}
