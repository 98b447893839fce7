//! Scheduling core: state and scheduling decisions of one shard.

use std::collections::HashMap;
use std::collections::HashSet;

use model::Class;
use model::Resources;
use slotmap::SlotMap;

use crate::Budgets;
use crate::Decision;
use crate::Grants;
use crate::HealthChange;
use crate::Job;
use crate::JobKey;
use crate::JobSpec;
use crate::Limit;
use crate::Policy;
use crate::Pool;
use crate::Queues;
use crate::SubmitError;
use crate::TeamKey;
use crate::Timestamp;
use crate::WorkerEntry;
use crate::WorkerKey;
use crate::WorkerState;
use crate::queue::QueuePosition;

/// Number of jobs at the head of a team's queue for which a placement is tried,
/// so that a large job that does not fit does not block smaller ones behind it.
const BACKFILL_DEPTH: usize = 8;

/// At most one in this many workers is quarantined. If more of them fail, a
/// common cause is assumed (a rack, a faulty release of the jobs).
const QUARANTINE_SHARE: usize = 4;

/// Scheduling core of one shard.
#[derive(Debug)]
pub struct Core<P> {
    pool: Pool<P>,
    jobs: SlotMap<JobKey, Job>,
    pub(crate) budgets: Budgets,
    pub(crate) queues: Queues,
    /// Jobs that another shard offloaded to this one and whose quota is charged
    /// there.
    pub(crate) quota_exempt: HashSet<JobKey>,
    /// Number of jobs submitted so far, which ranks jobs by arrival.
    sequence: u64,
    /// Whether the pool contains all workers of the shard.
    all_known: bool,
}

impl<P: Policy> Core<P> {
    /// Creates a core without workers, grants or jobs.
    #[must_use]
    pub fn new(policy: P) -> Core<P> {
        Core {
            pool: Pool::new(policy),
            jobs: SlotMap::with_key(),
            budgets: Budgets::default(),
            queues: Queues::default(),
            quota_exempt: HashSet::new(),
            sequence: 0,
            all_known: true,
        }
    }

    /// Replaces the policy; running jobs stay where they are.
    pub fn set_policy(&mut self, policy: P) {
        self.pool.set_policy(policy);
        self.queues.unblock();
    }

    /// Applies new grants.
    pub fn grant(&mut self, grants: &Grants) {
        self.budgets.grant(grants);
        self.queues.unblock();
    }

    /// Adds a worker, or replaces its capacity. The caller adopts its tasks
    /// afterwards.
    pub fn add_worker(&mut self, id: &str, rack: &str, capacity: Resources) -> WorkerKey {
        let rack = self.budgets.rack(rack);
        self.queues.unblock();
        self.pool.add(id, rack, capacity)
    }

    /// Sets whether all workers of the shard were added. Until then no job is
    /// refused as too large: right after a take-over, the worker on which it
    /// fits may not have been claimed yet. Returns true if the value changes
    /// from false to true.
    pub fn set_all_known(&mut self, all_known: bool) -> bool {
        let was_known = std::mem::replace(&mut self.all_known, all_known);
        all_known && !was_known
    }

    /// Whether a job would fit if nothing else ran. Also true while there are no
    /// workers or not all of them were added.
    #[must_use]
    pub fn could_hold(&self, spec: &JobSpec) -> bool {
        !self.all_known || self.pool.is_empty() || self.pool.could_hold(&spec.needs, spec.members)
    }

    /// Sets whether new tasks may be placed on a worker.
    pub fn set_state(&mut self, worker: WorkerKey, state: WorkerState) {
        self.pool.set_state(worker, state);
        self.queues.unblock();
    }

    /// Removes a worker without tasks; one that still has tasks is marked as
    /// lost instead.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        self.pool.remove(worker);
    }

    /// Looks up the key of a worker by its id.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<WorkerKey> {
        self.pool.find(id)
    }

    /// State of a worker.
    #[must_use]
    pub fn worker_entry(&self, worker: WorkerKey) -> Option<&WorkerEntry> {
        self.pool.get(worker)
    }

    /// Iterates over all workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerEntry)> {
        self.pool.iter()
    }

    /// State of a job.
    #[must_use]
    pub fn job(&self, job: JobKey) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// The waiting jobs.
    #[must_use]
    pub fn queues(&self) -> &Queues {
        &self.queues
    }

    /// The limits other than the capacity of the workers.
    #[must_use]
    pub fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    /// Adds a job to the queue.
    ///
    /// # Errors
    /// The job can never fit on the workers, or its team's queue is full.
    pub fn submit(&mut self, now: Timestamp, spec: JobSpec) -> Result<JobKey, SubmitError> {
        if !self.could_hold(&spec) {
            return Err(SubmitError::NeverFits);
        }
        let team = self.budgets.team(&spec.team);
        let entry = self.budgets.team_entry_mut(team);
        if entry.waiting >= entry.queue {
            return Err(SubmitError::QueueFull);
        }
        entry.waiting += 1;
        self.sequence += 1;
        let rank = self.rank(&spec);
        let (class, deadline) = (spec.class, spec.deadline);
        let job = self.jobs.insert(Job {
            spec,
            submitted_at: now,
            placed: Vec::new(),
            rank,
        });
        let queue_position = QueuePosition {
            rank,
            deadline,
            job,
        };
        self.queues.push(class, team, queue_position);
        self.queues.note_untried(class, team, job, BACKFILL_DEPTH);
        Ok(job)
    }

    /// Batch jobs are ranked by deadline, jobs of the other classes by arrival.
    fn rank(&self, spec: &JobSpec) -> u64 {
        match spec.class {
            Class::Batch => u64::try_from(spec.deadline.as_millis()).unwrap_or(u64::MAX),
            Class::Urgent | Class::Interactive | Class::Gang => self.sequence,
        }
    }

    /// Adds a job that is already running (after a take-over), whether or not
    /// the limits admit it.
    pub fn adopt(&mut self, now: Timestamp, spec: JobSpec, worker: WorkerKey) -> JobKey {
        let job = self.jobs.insert(Job {
            spec,
            submitted_at: now,
            placed: Vec::new(),
            rank: 0,
        });
        self.adopt_member(job, worker);
        job
    }

    /// Adds one more running member to an adopted job.
    pub fn adopt_member(&mut self, job: JobKey, worker: WorkerKey) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        state.placed.push(worker);
        let (needs, team) = (state.spec.needs, state.spec.team.clone());
        let team = self.budgets.team(&team);
        self.book(worker, team, &needs);
    }

    fn book(&mut self, worker: WorkerKey, team: TeamKey, needs: &Resources) {
        let rack = self.pool.book(worker, needs);
        self.budgets.book(team, rack, needs);
    }

    /// Releases what a member of a job has booked on its worker. Returns the
    /// number of members that still run; the job is removed with the last one.
    pub fn release(&mut self, job: JobKey, worker: WorkerKey) -> usize {
        let Some(state) = self.jobs.get_mut(job) else {
            return 0;
        };
        let Some(index) = state.placed.iter().position(|w| *w == worker) else {
            return state.placed.len();
        };
        state.placed.swap_remove(index);
        let remaining = state.placed.len();
        let (needs, team) = (state.spec.needs, state.spec.team.clone());
        if remaining == 0 {
            self.jobs.remove(job);
        }
        let team = self.budgets.team(&team);
        if let Some(rack) = self.pool.unbook(worker, &needs) {
            // The quota of this job is charged in another shard: booking it here
            // cancels out its release below.
            if self.quota_exempt.contains(&job) {
                self.budgets.book_quota(team, &needs);
            }
            self.budgets.unbook(team, rack, &needs);
        }
        if remaining == 0 {
            self.quota_exempt.remove(&job);
        }
        self.queues.unblock();
        remaining
    }

    /// Records whether a task succeeded on a worker.
    pub fn record_end(&mut self, worker: WorkerKey, succeeded: bool) -> HealthChange {
        let is_quarantined_worker =
            |(_, entry): &(WorkerKey, &WorkerEntry)| entry.health.is_quarantined();
        let quarantined = self.pool.iter().filter(is_quarantined_worker).count();
        let may_quarantine = (quarantined + 1) * QUARANTINE_SHARE <= self.pool.len();
        let health = self.pool.health_mut(worker);
        health.map_or(HealthChange::None, |health| {
            health.record(succeeded, may_quarantine)
        })
    }

    /// Allows each quarantined worker to run one probe task.
    pub fn allow_probes(&mut self) {
        let workers: Vec<WorkerKey> = self.pool.iter().map(|(key, _)| key).collect();
        for worker in workers {
            if let Some(health) = self.pool.health_mut(worker) {
                health.allow_probe();
            }
        }
        self.queues.unblock();
    }

    /// Removes a waiting job; returns false if the job is not waiting.
    pub fn withdraw(&mut self, job: JobKey) -> bool {
        let Some(state) = self.jobs.get(job) else {
            return false;
        };
        if !state.placed.is_empty() {
            return false;
        }
        self.dequeue(job);
        self.jobs.remove(job);
        true
    }

    fn dequeue(&mut self, job: JobKey) {
        let state = &self.jobs[job];
        let queue_position = QueuePosition {
            rank: state.rank,
            deadline: state.spec.deadline,
            job,
        };
        let class = state.spec.class;
        let team = self.budgets.team(&state.spec.team);
        self.queues.remove(class, team, &queue_position);
        let entry = self.budgets.team_entry_mut(team);
        entry.waiting = entry.waiting.saturating_sub(1);
    }

    /// Makes all decisions that are possible at `now`.
    pub fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for job in self.queues.overdue(now) {
            self.withdraw(job);
            decisions.push(Decision::Expire { job });
        }
        for job in self.queues.take_untried() {
            self.decide_untried(job, &mut decisions);
        }
        for class in self.queues.unblocked_classes() {
            self.decide_class(class, &mut decisions);
        }
        decisions
    }

    /// Tries to place a new job of a blocked class: it may fit although the
    /// jobs at the heads of the queues do not.
    fn decide_untried(&mut self, job: JobKey, decisions: &mut Vec<Decision>) {
        let Some(state) = self.jobs.get(job).filter(|state| state.placed.is_empty()) else {
            return;
        };
        let team = self.budgets.team(&state.spec.team);
        if let Some(workers) = self.place(job, team) {
            self.start_job(job, workers, decisions);
        }
    }

    /// Moves a job from the queue to its workers, and adds the decision.
    fn start_job(&mut self, job: JobKey, workers: Vec<WorkerKey>, decisions: &mut Vec<Decision>) {
        self.dequeue(job);
        for worker in &workers {
            self.adopt_member(job, *worker);
        }
        decisions.push(Decision::Start { job, workers });
    }

    /// Starts jobs of a class until none can be placed, then blocks the class
    /// until that may have changed.
    fn decide_class(&mut self, class: Class, decisions: &mut Vec<Decision>) {
        while let Some((job, workers)) = self.next_start(class) {
            self.start_job(job, workers, decisions);
        }
        self.queues.block(class);
    }

    /// The next job of a class that can be placed. The team that has booked the
    /// smallest share of its quota goes first.
    fn next_start(&mut self, class: Class) -> Option<(JobKey, Vec<WorkerKey>)> {
        let mut teams = self.queues.teams(class);
        if teams.len() > 1 {
            teams.sort_by_key(|team| self.budgets.team_entry(*team).share());
        }
        for team in teams {
            for job in self.queues.heads(class, team, BACKFILL_DEPTH) {
                if let Some(workers) = self.place(job, team) {
                    return Some((job, workers));
                }
            }
        }
        None
    }

    /// Workers for all members of a job, or `None` if not all members fit.
    fn place(&self, job: JobKey, team: TeamKey) -> Option<Vec<WorkerKey>> {
        let spec = &self.jobs[job].spec;
        let total = spec.needs.times(spec.members);
        if self.budgets.exceeded_limit(team, &total).is_some() {
            return None;
        }
        if spec.members == 1 {
            return self.best_worker(spec).map(|worker| vec![worker]);
        }
        self.place_gang(spec)
    }

    pub(crate) fn best_worker(&self, spec: &JobSpec) -> Option<WorkerKey> {
        let usable = |(key, entry): &(WorkerKey, &WorkerEntry)| {
            entry.accepts(&spec.needs)
                && self.budgets.rack_admits(entry.rack, &spec.needs)
                && !spec.avoid.contains(key)
        };
        self.pool.ranked().find(usable).map(|(key, _)| key)
    }

    /// Places as many members as fit on each worker, in the policy's order.
    fn place_gang(&self, spec: &JobSpec) -> Option<Vec<WorkerKey>> {
        let member_count = usize::try_from(spec.members).unwrap_or(usize::MAX);
        let mut workers = Vec::with_capacity(member_count);
        let mut racks: HashMap<crate::RackKey, Resources> = HashMap::new();
        let usable = |(_, entry): &(WorkerKey, &WorkerEntry)| {
            entry.accepts(&spec.needs) && !entry.health.is_quarantined()
        };
        for (key, entry) in self.pool.ranked().filter(usable) {
            let mut free = entry.free;
            let planned = racks.entry(entry.rack).or_default();
            while workers.len() < member_count && spec.needs.fits(&free) {
                let power = planned.plus(&spec.needs);
                if !self.budgets.rack_admits(entry.rack, &power) {
                    break;
                }
                *planned = power;
                free = free.minus(&spec.needs);
                workers.push(key);
            }
        }
        (workers.len() == member_count).then_some(workers)
    }

    /// The limit that keeps a waiting job from starting; `None` if there is no
    /// such job.
    #[must_use]
    pub fn blocking_limit(&mut self, job: JobKey) -> Option<Limit> {
        let spec = &self.jobs.get(job)?.spec;
        let total = spec.needs.times(spec.members);
        let team = spec.team.clone();
        let team = self.budgets.team(&team);
        let limit = self.budgets.exceeded_limit(team, &total);
        Some(limit.unwrap_or(Limit::Workers))
    }
}
