//! The planner decides which task starts on which worker, and handles what workers report.
//!
//! It takes state and events, and returns commands. Times are those of the caller's
//! monotonic clock. Three invariants hold for every order of events:
//!
//! - a task has at most one run that may be alive: a run is written off only when its end
//!   is in a worker report, when its worker's incarnation has ended, or when the worker's
//!   lease has expired by the slowest clock;
//! - a worker is never booked beyond its capacity: resources are released only with the run
//!   that holds them;
//! - an end counts as recorded only after the progress that contains it was saved.

mod adopt;
mod advice;
mod advice_candidates;
mod batch;
mod begin;
mod crash_count;
mod expected;
mod gang;
mod headroom;
mod impossible;
mod incarnations;
mod job_state;
mod late_end;
mod load;
mod loss;
mod peak_pools;
mod place;
mod policy;
mod preempt;
mod rank;
mod report;
mod reservations;
mod roster;
mod run_times;
mod speed;
mod stale_capacity;
mod start_intent;
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

use advice::AdviceQueue;
use headroom::Headrooms;
use incarnations::EndedIncarnations;
use job_state::JobState;
use peak_pools::PeakPools;
use reservations::Reservations;
use roster::WorkerState;
use run_times::RunTimes;
use suspicion::Suspects;

pub use advice::AdviceRequest;
pub use advice::FreeHelpers;
pub use batch::Batch;
pub use incarnations::ReportOrigin;
pub use load::Load;
pub use load::QueueCount;
pub use load::Timing;
pub use loss::LossCause;
pub use loss::LostRun;
pub use policy::Policy;
pub use report::StartReply;
pub use report::StopReply;
pub use roster::Capacity;
pub use stop_reason::StopReason;
pub use suspicion::Finding;
pub use suspicion::Suspect;

slotmap::new_key_type! {
    /// Key of one incarnation of a worker in the planner.
    pub struct WorkerKey;
}

/// Number of runs that one epoch may number for a task. Run numbers of a later epoch are
/// higher than all of an earlier one, so a successor that has not seen the former owner's
/// last start still assigns higher numbers.
const RUNS_PER_EPOCH: RunId = 100_000;

/// An action for the owner to carry out at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start a run of a task.
    Start {
        /// Worker that is to run it.
        worker: WorkerKey,
        /// Task to run.
        task: TaskKey,
        /// Number of the new run.
        run: RunId,
        /// Payload that the caller submitted with the job.
        payload: String,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket from the advice service that lets the worker run the step.
        ticket: Option<String>,
    },
    /// Stop a run, whether or not its start command has reached the worker.
    Stop {
        /// Worker that runs it.
        worker: WorkerKey,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunId,
        /// Why the run is stopped.
        reason: StopReason,
    },
    /// Close the connection to this incarnation of a worker: it has ended, or its lease has
    /// expired.
    Disconnect {
        /// Key of the incarnation.
        worker: WorkerKey,
        /// Id of the worker.
        id: WorkerId,
    },
    /// A new incarnation of a worker was found; it may be used once its registration is
    /// stored. This command comes after the `Disconnect` of the previous incarnation.
    NewIncarnation {
        /// Key of the new incarnation.
        worker: WorkerKey,
    },
}

/// Scheduler of one pool, run by the process that owns the pool.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    now: Duration,
    /// Wall-clock time, since 1970, at which `now` is 0.
    wall_origin: Duration,
    run_base: RunId,
    config: Config,
    workers: SlotMap<WorkerKey, WorkerState>,
    /// Current incarnation of each known worker.
    by_id: HashMap<WorkerId, WorkerKey>,
    past_incarnations: EndedIncarnations,
    jobs: HashMap<JobId, JobState>,
    /// Steps with tasks that wait to be started.
    pending_steps: BTreeSet<StepKey>,
    /// Jobs with task ends or outcomes that are not saved yet.
    dirty_jobs: BTreeSet<JobId>,
    /// Jobs whose begin is not saved yet.
    begun_jobs: BTreeSet<JobId>,
    /// Resources that the last planning pass reserved for gangs.
    reservations: Reservations,
    /// Processors of all usable workers at the last pass, in thousandths of a core.
    pool_cpu: u64,
    /// Resources that gangs could get on each worker with preemption, at the last pass.
    headrooms: Headrooms,
    /// Processors that should be available to gangs by the end of a call for advice, at the
    /// last pass, in thousandths of a core.
    gang_cpu: u64,
    /// Learnt run times of tasks.
    run_times: RunTimes,
    /// When the expected run times of open jobs were last computed.
    refreshed_at: Duration,
    /// Steps that may need a call for advice, in order of rank.
    advice_queue: AdviceQueue,
    /// Learnt mean work of a job, by queue.
    mean_work: HashMap<String, f64>,
    /// Gang past its objective whose job was accepted first; it keeps its rank.
    overdue_gang: Option<StepKey>,
    /// Number of starts that may still be sent.
    start_budget: usize,
    /// The workers' registrations are too old to rely on the capacities in them.
    stale_registrations: bool,
    /// Smallest share of its largest capacity that any worker has had.
    smallest_share: stale_capacity::Share,
    /// Learnt share of workers that may run a step, by queue.
    allowed_shares: HashMap<String, f64>,
    commands: Vec<Command>,
    /// Times from acceptance to the first start of jobs that have begun since the last
    /// [`Planner::take_first_starts`].
    first_starts: Vec<Duration>,
    /// Tasks during whose runs workers crashed.
    suspects: Suspects,
    /// Runs that were written off without a valid end.
    lost_runs: Vec<LostRun>,
    /// Reported ends of runs whose jobs have not been added yet.
    orphan_ends: HashMap<JobId, Vec<(WorkerKey, EndedRun)>>,
    /// Tasks that a former owner may have started are not started again yet.
    recovering: bool,
    /// Until when the former owner may have renewed leases.
    succession: PredecessorAuthority,
    /// Number of workers that a former owner may have used and whose rows could not be
    /// read.
    missing_workers: usize,
    /// When this epoch began.
    started_at: Duration,
    /// Largest pool of each service seen by this owner.
    peak_pools: PeakPools,
}

/// Time after a take-over in which another process may still announce a new job to the
/// former owner, which may then start it. Processes learn of a take-over from a feed that
/// answers every 0.5 s.
const HINT_DELAY: Duration = Duration::from_secs(2);

/// Time after a take-over for which ends of unknown jobs are kept. If such a job exists, it
/// is read within this time, which is longer than most outages of the store.
const ORPHAN_RETENTION: Duration = Duration::from_secs(30);

impl Planner {
    /// Creates the planner of epoch `epoch`, which takes the pool over at `now`. `wall` is
    /// the wall-clock time, since 1970, at which `now` is 0.
    #[must_use]
    pub fn new(policy: Policy, epoch: Epoch, now: Duration, wall_origin: Duration) -> Planner {
        Planner {
            recovering: true,
            succession: PredecessorAuthority::new(now),
            missing_workers: 0,
            started_at: now,
            peak_pools: PeakPools::default(),
            policy,
            now,
            wall_origin,
            run_base: epoch.saturating_sub(1) * RUNS_PER_EPOCH,
            config: Config::default(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            past_incarnations: EndedIncarnations::default(),
            jobs: HashMap::new(),
            pending_steps: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            begun_jobs: BTreeSet::new(),
            reservations: Reservations::default(),
            pool_cpu: 0,
            headrooms: Headrooms::default(),
            gang_cpu: 0,
            run_times: RunTimes::default(),
            refreshed_at: now,
            advice_queue: AdviceQueue::default(),
            mean_work: HashMap::new(),
            overdue_gang: None,
            start_budget: usize::MAX,
            stale_registrations: false,
            smallest_share: 1.0,
            allowed_shares: HashMap::new(),
            commands: Vec::new(),
            first_starts: Vec::new(),
            lost_runs: Vec::new(),
            suspects: Suspects::default(),
            orphan_ends: HashMap::new(),
        }
    }

    /// Advances the clock; an earlier time is ignored.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Applies a configuration if it is newer than the current one.
    pub fn configure(&mut self, config: &Config) {
        if config.version > self.config.version {
            self.config = config.clone();
        }
    }

    /// Returns up to `limit` jobs whose end was recorded at least `retention` ago.
    #[must_use]
    pub fn expired_jobs(&self, retention: Duration, limit: usize) -> Vec<JobId> {
        let old = |job: &JobState| {
            let ended = job.saved_outcome.is_some().then_some(job.ended_at);
            ended.is_some_and(|ended| ended + retention <= self.now)
        };
        let old = self.jobs.iter().filter(|(_, job)| old(job));
        old.map(|(&id, _)| id).take(limit).collect()
    }

    /// Removes jobs whose rows were deleted from the store.
    pub fn remove_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.jobs.remove(id);
        }
    }

    /// Adds an accepted job, or cancels a known one if its row says so. `old` tells that a
    /// former owner may have started it.
    pub fn add_job(&mut self, id: JobId, spec: JobSpec, progress: Option<&Progress>, old: bool) {
        if self.jobs.contains_key(&id) {
            if spec.canceled {
                self.cancel(id);
            }
            return;
        }
        let age = if old {
            (self.wall_origin + self.now).saturating_sub(spec.received)
        } else {
            Duration::ZERO
        };
        let early = self.recovering && self.now < self.started_at + HINT_DELAY;
        let canceled = spec.canceled;
        let born = self.now.saturating_sub(age.min(self.policy.max_age));
        let mut job = JobState::new(spec, born, old || early, &self.run_times);
        self.learn_mean_work(&job.spec.queue.name, job.expected.work);
        if let Some(progress) = progress {
            job.restore(progress);
            self.restore_suspects(id, progress);
        }
        job.ended_at = self.now;
        let ended = job.outcome.is_some();
        self.jobs.insert(id, job);
        self.bind_unknown_runs(id);
        match (ended, canceled) {
            (true, _) => {}
            (false, true) => self.finish_job(id, Outcome::Canceled),
            (false, false) => self.open_steps(id),
        }
        for (key, end) in self.orphan_ends.remove(&id).unwrap_or_default() {
            self.task_ended(key, &end);
        }
    }

    /// Cancels a known job that has not ended.
    pub fn cancel(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.outcome.is_none()) {
            self.finish_job(id, Outcome::Canceled);
        }
    }

    /// Limits the starts of the next passes to `starts` in all. A gang that begins within
    /// the limit is started whole.
    pub fn set_start_budget(&mut self, starts: usize) {
        self.start_budget = starts;
    }

    /// Runs one planning pass: processes timeouts, then starts what fits.
    pub fn plan(&mut self) {
        self.process_timeouts();
        self.place();
    }

    /// Processes everything that depends on time: leases, recovery, suspects, rounds and
    /// jobs that can never run. An owner that may not renew leases, and so may start
    /// nothing, calls this instead of [`Planner::plan`].
    pub fn process_timeouts(&mut self) {
        self.expire_workers();
        self.end_recovery();
        self.judge_suspects();
        if self.now > self.started_at + ORPHAN_RETENTION {
            self.orphan_ends.clear();
        }
        self.open_rounds();
        self.refresh_estimates();
        self.fail_impossible_jobs();
    }

    /// Takes the commands issued since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Returns the status of a job that callers may be shown, or nothing if the job is not
    /// known here. An outcome is shown only once it is saved: if it is not, a successor
    /// could run the job again after a caller has seen the outcome.
    #[must_use]
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        let job = self.jobs.get(&id)?;
        let unsaved = if job.begun {
            JobStatus::Active
        } else {
            JobStatus::Pending
        };
        Some(job.saved_outcome.map_or(unsaved, JobStatus::from))
    }

    /// Whether a job's status is undecided: a former owner may have started it, and not all
    /// workers that could tell have reported yet. When such jobs were shown as pending,
    /// their status went back from active to pending.
    #[must_use]
    pub fn status_undecided(&self, id: JobId) -> bool {
        let undecided =
            |job: &JobState| job.maybe_started && !job.begun && job.saved_outcome.is_none();
        self.recovering && self.jobs.get(&id).is_none_or(undecided)
    }

    /// Time since a job was accepted, as far as known.
    #[must_use]
    pub fn job_age(&self, id: JobId) -> Option<Duration> {
        let job = self.jobs.get(&id)?;
        Some(self.now.saturating_sub(job.accepted_at))
    }

    /// Notes that a former owner may have used a worker whose row could not be read.
    /// Recovery then waits for the expiry of that worker's lease, whatever the other
    /// workers report.
    pub fn add_missing_worker(&mut self) {
        self.missing_workers += 1;
        self.succession.add_row();
    }

    /// Whether tasks of a former owner may still be running unreported.
    #[must_use]
    pub fn recovering(&self) -> bool {
        self.recovering
    }

    /// Number of workers that have not accepted this epoch yet.
    #[must_use]
    pub fn unclaimed_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| !worker.claimed).count()
    }

    /// Time since this epoch began.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        self.now.saturating_sub(self.started_at)
    }

    /// Ends recovery, after which inherited tasks may start again: when every worker has
    /// reported its runs, or when the leases of those that have not have expired.
    fn end_recovery(&mut self) {
        if !self.recovering {
            return;
        }
        let unclaimed = self.workers.values().filter(|worker| !worker.claimed);
        let inherited = unclaimed.clone().filter(|worker| worker.inherited);
        let uncertain = inherited.clone().count() + self.missing_workers;
        self.succession.update(self.now, uncertain);
        let unreported =
            unclaimed.count() > 0 || self.workers.is_empty() || self.missing_workers > 0;
        // A renewal meant for an earlier incarnation gives a new one a lease by its own
        // clock.
        let without_incarnation = inherited
            .clone()
            .all(|worker| worker.info.incarnation.is_none());
        let lapse = if without_incarnation {
            self.policy.lease_expiry()
        } else {
            self.policy.max_lease_expiry()
        };
        let expires_at = self.succession.last_renewal() + lapse;
        if unreported && self.now < expires_at {
            return;
        }
        self.recovering = false;
        self.resolve_intents();
        for worker in self.workers.values_mut() {
            worker.ends_trusted = worker.claimed;
            if std::mem::take(&mut worker.inherited) && !worker.claimed {
                worker.lease_expiry = self.now;
            }
        }
    }

    /// Ends a job and stops its remaining runs.
    fn finish_job(&mut self, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.outcome = Some(outcome);
        job.ended_at = self.now;
        let alive = job.live_runs(id);
        job.drop_details();
        self.dirty_jobs.insert(id);
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
        let pending: Vec<StepKey> = self.pending_steps.range(first..=last).copied().collect();
        for key in pending {
            self.pending_steps.remove(&key);
        }
        for (task, worker, run) in alive {
            self.stop_run(worker, task, run, StopReason::JobEnded);
        }
    }
}
