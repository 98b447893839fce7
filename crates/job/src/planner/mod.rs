//! The planner decides which task starts on which worker, and processes worker reports.
//!
//! It takes state and events, and returns commands. Times are those of the caller's
//! monotonic clock. Three invariants are kept in every order of events:
//!
//! - a task has at most one run that may be active: another one starts only when the end of
//!   the former is in a worker report, when a report does not list it any more, when its
//!   worker's incarnation has ended, or when the worker's lease has expired by the slowest clock;
//! - a worker is never booked beyond its capacity: the resources of a run are released only
//!   when the run has ended;
//! - the end of a run counts as recorded only after the progress that contains it was saved.

mod crashes;
mod limits;
mod order;
mod placement;
mod policy;
mod recovery;
mod reports;
mod state;
mod times;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::Config;
use crate::Epoch;
use crate::JobId;
use crate::JobSpec;
use crate::JobStatus;
use crate::Organisation;
use crate::Outcome;
use crate::PredecessorAuthority;
use crate::Progress;
use crate::Queue;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;
use crate::WorkerId;

use limits::bands::Bands;
use limits::organisations::Organisations;
use limits::peak_pools::PeakPools;
use order::forecast::Forecaster;
use placement::advice::AdviceQueue;
use placement::headroom::Headrooms;
use placement::reservations::Reservations;
use recovery::incarnations::EndedIncarnations;
use recovery::inherited::InheritedRuns;
use recovery::learnt::RestoredSpeeds;
use reports::unmatched::UnmatchedEnds;
use state::job_state::JobState;
use state::roster::WorkerState;
use state::suspicion::Suspects;
use times::run_times::RunTimes;
use times::spread::Spread;

pub use limits::bands::OrganisationShare;
pub use limits::organisations::DelayedOrganisation;
pub(crate) use order::forecast::Estimates;
pub use placement::advice::AdviceRequest;
pub use placement::advice::FreeHelpers;
pub use policy::Policy;
pub use recovery::batch::Batch;
pub use recovery::incarnations::ReportOrigin;
pub use reports::report::StartReply;
pub use reports::report::StopReply;
pub use reports::unmatched::UnmatchedEnd;
pub use state::load::Load;
pub use state::load::QueueCount;
pub use state::load::Timing;
pub use state::loss::LossCause;
pub use state::loss::LostRun;
pub use state::pool_speeds::ClassLoad;
pub use state::pool_speeds::PoolSpeeds;
pub use state::roster::Capacity;
pub use state::stop_reason::StopReason;
pub use state::suspicion::Finding;
pub use state::suspicion::Suspect;
pub use state::suspicion::Verdict;

slotmap::new_key_type! {
    /// Key of one incarnation of a worker in the planner.
    pub struct WorkerKey;

    /// Key of an organisation in the planner.
    pub(crate) struct OrganisationKey;
}

/// Run numbers of a task that are reserved for each epoch. Those of a later epoch are higher
/// than all of an earlier one, so a successor assigns higher numbers even if the former owner
/// died before it saved its last start.
const RUNS_PER_EPOCH: RunId = 100_000;

/// An action for the owner to carry out. Start and stop commands are sent to the worker.
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
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// Ticket from the advice service that lets the worker run the step.
        ticket: Option<String>,
    },
    /// Stop a run, even if its start command may not have reached the worker.
    Stop {
        /// Worker to which the run was sent, or that reported it.
        worker: WorkerKey,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: RunId,
        /// Why the run is stopped.
        reason: StopReason,
    },
    /// Close the connection to this incarnation of a worker, which has ended, or is unregistered
    /// and its lease has expired.
    Disconnect {
        /// Key of the incarnation.
        worker: WorkerKey,
        /// Identifier of the worker.
        id: WorkerId,
    },
    /// Use a new incarnation of a worker, once its row is stored. This command comes after the
    /// `Disconnect` of the previous incarnation.
    NewIncarnation {
        /// Key of the new incarnation.
        worker: WorkerKey,
    },
}

/// Scheduler of one pool, run by the process that owns the pool.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    /// Newest time of the caller's monotonic clock.
    now: Duration,
    /// Wall-clock time, since 1970, at which the monotonic clock was 0.
    wall_origin: Duration,
    /// Runs of former epochs have at most this number.
    run_base: RunId,
    config: Config,
    workers: SlotMap<WorkerKey, WorkerState>,
    /// Current incarnation of each worker.
    by_id: HashMap<WorkerId, WorkerKey>,
    /// Incarnations of workers that have ended.
    ended_incarnations: EndedIncarnations,
    /// All jobs, including ended ones whose rows were not deleted yet.
    jobs: HashMap<JobId, JobState>,
    /// Steps with tasks that wait to be started.
    pending_steps: BTreeSet<StepKey>,
    /// Jobs with unsaved ends, outcomes or crash records, and all jobs of a batch that failed.
    dirty_jobs: BTreeSet<JobId>,
    /// Jobs with runs that were started, or whose fate was learnt, since they were last saved.
    started_jobs: BTreeSet<JobId>,
    /// Resources that the last planning pass reserved for gangs.
    reservations: Reservations,
    /// Processors of all usable workers at the last pass, in thousandths of a core.
    pool_cpu: u64,
    /// Resources that gangs could get on each worker with preemption, at the last pass.
    headrooms: Headrooms,
    /// Processors expected to be available to gangs by the end of an advice call, at the last
    /// pass, in thousandths of a core.
    gang_cpu: u64,
    /// Learnt run times of tasks.
    run_times: RunTimes,
    /// When the expected run times of open jobs were last computed.
    refreshed_at: Duration,
    /// Speeds of the workers as a whole.
    speeds: Spread,
    /// When they were last computed.
    speeds_at: Duration,
    /// Steps that may need an advice call, in order of rank.
    advice_queue: AdviceQueue,
    /// Learnt mean work of a job, by queue.
    mean_work: HashMap<String, f64>,
    /// Of the gangs that can no longer meet their objective, the one whose job was accepted first.
    overdue_gang: Option<StepKey>,
    /// Number of starts that may still be sent.
    start_budget: usize,
    /// The workers' registrations are too old to rely on the capacities in them.
    stale_registrations: bool,
    /// Smallest share of its own largest capacity that any worker has had.
    smallest_share: limits::stale_capacity::Share,
    /// Learnt share of workers that may run a step, by queue.
    allowed_shares: HashMap<String, f64>,
    /// Commands issued since the last [`Planner::take_commands`].
    commands: Vec<Command>,
    /// Times from acceptance to the first start of jobs that have started since the last
    /// [`Planner::take_first_starts`].
    first_starts: Vec<Duration>,
    /// Tasks that had runs on workers that crashed.
    suspects: Suspects,
    /// Runs of the former owner whose fate is unknown.
    inherited: InheritedRuns,
    /// The pool is being released, so no start intent is recorded any more.
    releasing: bool,
    /// Runs lost since the last [`Planner::take_losses`].
    lost_runs: Vec<LostRun>,
    /// All jobs accepted before this time have been added.
    jobs_read: Duration,
    /// Reported ends of runs whose jobs have not been added yet.
    unmatched_ends: UnmatchedEnds,
    /// Ends dropped since the last [`Planner::take_unknown_ends`].
    unknown_ends: Vec<UnmatchedEnd>,
    /// After a take-over, not all workers have reported the former owner's runs yet, so tasks that
    /// it may have started are not started again.
    recovering: bool,
    /// State that determines until when the former owner may renew leases.
    predecessor: PredecessorAuthority,
    /// Number of workers that a former owner may have used and whose rows could not be read.
    unreadable_workers: usize,
    /// When this epoch began.
    started_at: Duration,
    /// Largest pool of each service seen by this owner.
    peak_pools: PeakPools,
    /// Organisations, and what each of them has running.
    organisations: Organisations,
    /// Speeds of workers that a former owner has learnt.
    restored_speeds: RestoredSpeeds,
    /// Order of the waiting steps by the shares of organisations.
    bands: Bands,
    /// Forecast for new jobs.
    forecaster: Forecaster,
}

/// Time after a take-over within which another process may still send a new job to the former
/// owner, which may then start it. Processes learn of a take-over from a feed that answers
/// every 0.5 s.
const LATE_SUBMIT_WINDOW: Duration = Duration::from_secs(2);

impl Planner {
    /// Creates the planner of an owner that takes the pool over at `now`. `wall_origin` is the
    /// wall-clock time, since 1970, at which the monotonic clock was 0.
    #[must_use]
    pub fn new(policy: Policy, epoch: Epoch, now: Duration, wall_origin: Duration) -> Planner {
        Planner {
            recovering: true,
            predecessor: PredecessorAuthority::new(now),
            unreadable_workers: 0,
            started_at: now,
            peak_pools: PeakPools::default(),
            organisations: Organisations::default(),
            restored_speeds: RestoredSpeeds::default(),
            bands: Bands::default(),
            forecaster: Forecaster::default(),
            policy,
            now,
            wall_origin,
            run_base: epoch.saturating_sub(1) * RUNS_PER_EPOCH,
            config: Config::default(),
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            ended_incarnations: EndedIncarnations::default(),
            jobs: HashMap::new(),
            pending_steps: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            started_jobs: BTreeSet::new(),
            reservations: Reservations::default(),
            pool_cpu: 0,
            headrooms: Headrooms::default(),
            gang_cpu: 0,
            run_times: RunTimes::default(),
            refreshed_at: now,
            speeds: Spread::default(),
            speeds_at: now,
            advice_queue: AdviceQueue::default(),
            mean_work: HashMap::new(),
            overdue_gang: None,
            start_budget: usize::MAX,
            stale_registrations: false,
            smallest_share: 1.0,
            allowed_shares: HashMap::new(),
            commands: Vec::new(),
            first_starts: Vec::new(),
            inherited: InheritedRuns::default(),
            releasing: false,
            lost_runs: Vec::new(),
            suspects: Suspects::default(),
            jobs_read: now,
            unmatched_ends: UnmatchedEnds::default(),
            unknown_ends: Vec::new(),
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
            self.config.queues.iter_mut().for_each(Queue::bound);
            let organisations = self.config.organisations.iter_mut();
            organisations.for_each(Organisation::bound);
            self.organisations.configure(&self.config.organisations);
        }
    }

    /// Returns up to `limit` jobs that ended at least `retention` ago and whose outcome is saved.
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

    /// Adds an accepted job, or cancels one that was added before if its row is marked as
    /// cancelled. `old` is set if a former owner may have started the job.
    pub fn add_job(
        &mut self,
        id: JobId,
        mut spec: JobSpec,
        progress: Option<&Progress>,
        old: bool,
    ) {
        spec.bound();
        if let Some(job) = self.jobs.get(&id) {
            // A row of another organisation with the same id, in another place, is ignored. An earlier
            // version that cancels a job leaves out its organisation.
            let name = spec.organisation_name();
            let same = name.is_none() || name == job.spec.organisation_name();
            if spec.canceled && same {
                self.cancel(id);
            }
            return;
        }
        let age = if old {
            (self.wall_origin + self.now).saturating_sub(spec.received)
        } else {
            Duration::ZERO
        };
        // The job may have been accepted within the window however late it is read.
        let early = self.recovering && self.jobs_read < self.started_at + LATE_SUBMIT_WINDOW;
        let canceled = spec.canceled;
        let accepted_at = self.now.saturating_sub(age.min(self.policy.max_age));
        let organisation = spec.organisation.as_ref();
        let organisation = organisation.map(|stored| self.organisations.key_of(stored));
        let excess = organisation.is_some_and(|key| self.exceeds_share(key, spec.received));
        let mut job = JobState::new(spec, accepted_at, old || early, &self.run_times);
        job.organisation = organisation;
        job.excess = excess;
        self.learn_mean_work(&job.spec.queue.name, job.expected.work);
        if let Some(progress) = progress {
            job.restore(progress);
        }
        job.ended_at = self.now;
        let ended = job.outcome.is_some();
        self.jobs.insert(id, job);
        if !old {
            self.record_arrival(id);
        }
        if let Some(progress) = progress {
            self.restore_suspects(id, progress);
            self.restore_placements(id, progress);
        }
        self.bind_unknown_runs(id);
        match (ended, canceled) {
            (true, _) => {}
            (false, true) => self.finish_job(id, Outcome::Canceled),
            (false, false) => self.open_steps(id),
        }
        for unmatched in self.unmatched_ends.take(id) {
            self.run_ended(unmatched.worker, &unmatched.end);
        }
    }

    /// Returns whether the job was added.
    #[must_use]
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Cancels a job, unless it has ended or was not added.
    pub fn cancel(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.outcome.is_none()) {
            self.finish_job(id, Outcome::Canceled);
        }
    }

    /// Limits the starts of the following passes to `starts` in total. A gang of which the first
    /// member is within the limit is started whole.
    pub fn set_start_budget(&mut self, starts: usize) {
        self.start_budget = starts;
    }

    /// Runs one planning pass: processes timeouts, then starts what fits.
    pub fn plan(&mut self) {
        self.process_timeouts();
        self.place();
    }

    /// Processes timeouts: of leases, recovery, suspects, rounds and impossible jobs. An owner that
    /// may not renew leases, and so may start nothing, calls this instead of [`Planner::plan`].
    pub fn process_timeouts(&mut self) {
        self.expire_workers();
        self.end_recovery();
        self.decide_suspects();
        self.end_long_trials();
        self.open_rounds();
        self.refresh_speeds();
        self.refresh_estimates();
        self.fail_impossible_jobs();
    }

    /// Takes the commands issued since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Returns the status of a job to show to callers, or `None` if the job was not added. An
    /// outcome is shown only once it is saved: before that, a successor could run the job again
    /// after a caller has seen the outcome.
    #[must_use]
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        let job = self.jobs.get(&id)?;
        let unsaved = if job.started {
            JobStatus::Active
        } else {
            JobStatus::Pending
        };
        Some(job.saved_outcome.map_or(unsaved, JobStatus::from))
    }

    /// Returns whether a job's status is undecided: a former owner may have started it, and not
    /// all workers that may run it have sent a report. When such jobs were shown as pending,
    /// their status went back from active to pending.
    #[must_use]
    pub fn status_undecided(&self, id: JobId) -> bool {
        let undecided =
            |job: &JobState| job.maybe_started && !job.started && job.saved_outcome.is_none();
        self.recovering && self.jobs.get(&id).is_none_or(undecided)
    }

    /// Returns the time since a job was accepted; limited for a job of a former owner.
    #[must_use]
    pub fn job_age(&self, id: JobId) -> Option<Duration> {
        let job = self.jobs.get(&id)?;
        Some(self.now.saturating_sub(job.accepted_at))
    }

    /// Counts a worker that a former owner may have used and whose row could not be read. Recovery
    /// then waits for the expiry of that worker's lease, whatever the other workers report.
    pub fn add_unreadable_worker(&mut self) {
        self.unreadable_workers += 1;
        self.predecessor.add_row();
    }

    /// Returns whether runs of a former owner may be active that no worker has reported.
    #[must_use]
    pub fn recovering(&self) -> bool {
        self.recovering
    }

    /// Returns the number of workers that have not accepted this epoch yet.
    #[must_use]
    pub fn unclaimed_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| !worker.claimed).count()
    }

    /// Returns the time since this epoch began.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        self.now.saturating_sub(self.started_at)
    }

    /// Ends recovery once every worker has sent a report, or the leases of the others have
    /// expired. After it, tasks of jobs of the former owner may start again.
    fn end_recovery(&mut self) {
        if !self.recovering {
            return;
        }
        let unclaimed = self.workers.values().filter(|worker| !worker.claimed);
        let inherited = unclaimed.clone().filter(|worker| worker.inherited);
        let uncertain = inherited.clone().count() + self.unreadable_workers;
        self.predecessor.update(self.now, uncertain);
        let unreported =
            unclaimed.count() > 0 || self.workers.is_empty() || self.unreadable_workers > 0;
        // A renewal meant for an earlier incarnation gives a new one a lease by the clock of the
        // new one, which may be of any length up to the maximum.
        let without_incarnation = inherited
            .clone()
            .all(|worker| worker.info.incarnation.is_none());
        let expiry = if without_incarnation {
            self.policy.lease_expiry()
        } else {
            self.policy.max_lease_expiry()
        };
        let expires_at = self.predecessor.last_renewal() + expiry;
        if unreported && self.now < expires_at {
            return;
        }
        self.recovering = false;
        self.assume_crashes();
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
        let active = job.active_runs(id);
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
        for (task, worker, run) in active {
            self.stop_run(worker, task, run, StopReason::JobEnded);
        }
    }
}
