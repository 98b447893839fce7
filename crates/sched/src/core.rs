//! State and decisions of one shard.

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
use crate::Now;
use crate::Policy;
use crate::Pool;
use crate::Queues;
use crate::Refused;
use crate::TeamKey;
use crate::WorkerKey;
use crate::WorkerSlot;
use crate::WorkerState;
use crate::queue::QueuePlace;

/// Jobs at the head of a team's queue that are tried when the first does not
/// fit, so that one large job does not hold up the small ones behind it.
const BACKFILL_DEPTH: usize = 8;

/// Quarantined workers are at most one in this many; beyond that the cause is
/// taken to be common to all (a rack, a bad release of jobs).
const QUARANTINE_SHARE: usize = 4;

/// State and decisions of one shard.
#[derive(Debug)]
pub struct Core<P> {
    pool: Pool<P>,
    jobs: SlotMap<JobKey, Job>,
    pub(crate) budgets: Budgets,
    pub(crate) queues: Queues,
    /// Jobs lent to this core, whose quota is charged elsewhere.
    pub(crate) exempt: HashSet<JobKey>,
    sequence: u64,
    /// Whether the pool has all workers that there are.
    complete: bool,
}

impl<P: Policy> Core<P> {
    /// A core without workers, grants or jobs.
    #[must_use]
    pub fn new(policy: P) -> Core<P> {
        Core {
            pool: Pool::new(policy),
            jobs: SlotMap::with_key(),
            budgets: Budgets::default(),
            queues: Queues::default(),
            exempt: HashSet::new(),
            sequence: 0,
            complete: true,
        }
    }

    /// Replaces the policy; what runs stays where it is.
    pub fn set_policy(&mut self, policy: P) {
        self.pool.set_policy(policy);
        self.queues.unblock();
    }

    /// Puts new grants in force.
    pub fn grant(&mut self, grants: &Grants) {
        self.budgets.grant(grants);
        self.queues.unblock();
    }

    /// Adds a worker, or replaces its capacity; its tasks are adopted next.
    pub fn add_worker(&mut self, id: &str, rack: &str, capacity: Resources) -> WorkerKey {
        let rack = self.budgets.rack(rack);
        self.queues.unblock();
        self.pool.add(id, rack, capacity)
    }

    /// Tells whether all workers that there are were added. Until then no job
    /// is refused for being too large: right after a take-over the worker that
    /// has room for it may be the one that was not heard of yet. True when
    /// they are all known now and were not before.
    pub fn set_complete(&mut self, complete: bool) -> bool {
        let before = std::mem::replace(&mut self.complete, complete);
        complete && !before
    }

    /// Whether the workers could hold a job if nothing else ran, or are not
    /// all known.
    #[must_use]
    pub fn could_hold(&self, spec: &JobSpec) -> bool {
        !self.complete || self.pool.is_empty() || self.pool.could_hold(&spec.needs, spec.members)
    }

    /// Changes whether a worker takes tasks.
    pub fn set_state(&mut self, worker: WorkerKey, state: WorkerState) {
        self.pool.set_state(worker, state);
        self.queues.unblock();
    }

    /// Forgets a worker that holds no tasks; another stays as lost.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        self.pool.remove(worker);
    }

    /// Key of a worker by its name.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<WorkerKey> {
        self.pool.find(id)
    }

    /// A worker's state.
    #[must_use]
    pub fn worker_slot(&self, worker: WorkerKey) -> Option<&WorkerSlot> {
        self.pool.get(worker)
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerSlot)> {
        self.pool.iter()
    }

    /// A job's state.
    #[must_use]
    pub fn job(&self, job: JobKey) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Jobs that wait.
    #[must_use]
    pub fn queues(&self) -> &Queues {
        &self.queues
    }

    /// Limits beside those of the workers.
    #[must_use]
    pub fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    /// Takes a job into the queue.
    ///
    /// # Errors
    /// The job can never run here, or its team's queue is full.
    pub fn submit(&mut self, now: Now, spec: JobSpec) -> Result<JobKey, Refused> {
        if !self.could_hold(&spec) {
            return Err(Refused::NeverFits);
        }
        let team = self.budgets.team(&spec.team);
        let slot = self.budgets.team_slot_mut(team);
        if slot.waiting >= slot.queue {
            return Err(Refused::QueueFull);
        }
        slot.waiting += 1;
        self.sequence += 1;
        let rank = self.rank(&spec);
        let (class, deadline) = (spec.class, spec.deadline);
        let job = self.jobs.insert(Job {
            spec,
            since: now,
            placed: Vec::new(),
            rank,
        });
        let place = QueuePlace {
            rank,
            deadline,
            job,
        };
        self.queues.push(class, team, place);
        self.queues.note_fresh(class, team, job, BACKFILL_DEPTH);
        Ok(job)
    }

    /// Batch goes by deadline, the other classes by arrival.
    fn rank(&self, spec: &JobSpec) -> u64 {
        match spec.class {
            Class::Batch => u64::try_from(spec.deadline.as_millis()).unwrap_or(u64::MAX),
            Class::Urgent | Class::Interactive | Class::Gang => self.sequence,
        }
    }

    /// Takes in a task that runs already (after a change of owner), whether
    /// or not the limits would admit it.
    pub fn adopt(&mut self, now: Now, spec: JobSpec, worker: WorkerKey) -> JobKey {
        let job = self.jobs.insert(Job {
            spec,
            since: now,
            placed: Vec::new(),
            rank: 0,
        });
        self.adopt_member(job, worker);
        job
    }

    /// Takes in one more running member of an adopted job.
    pub fn adopt_member(&mut self, job: JobKey, worker: WorkerKey) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        state.placed.push(worker);
        let (needs, team) = (state.spec.needs, state.spec.team.clone());
        let team = self.budgets.team(&team);
        self.take(worker, team, &needs);
    }

    fn take(&mut self, worker: WorkerKey, team: TeamKey, needs: &Resources) {
        let rack = self.pool.take(worker, needs);
        self.budgets.take(team, rack, needs);
    }

    /// A member of a job holds its worker no longer. Returns how many members
    /// still run; the job is forgotten with the last.
    pub fn release(&mut self, job: JobKey, worker: WorkerKey) -> usize {
        let Some(state) = self.jobs.get_mut(job) else {
            return 0;
        };
        let Some(index) = state.placed.iter().position(|w| *w == worker) else {
            return state.placed.len();
        };
        state.placed.swap_remove(index);
        let left = state.placed.len();
        let (needs, team) = (state.spec.needs, state.spec.team.clone());
        if left == 0 {
            self.jobs.remove(job);
        }
        let team = self.budgets.team(&team);
        if let Some(rack) = self.pool.put_back(worker, &needs) {
            if self.exempt.contains(&job) {
                self.budgets.take_quota(team, &needs);
            }
            self.budgets.put_back(team, rack, &needs);
        }
        if left == 0 {
            self.exempt.remove(&job);
        }
        self.queues.unblock();
        left
    }

    /// Takes in how a task ended on a worker.
    pub fn record_end(&mut self, worker: WorkerKey, succeeded: bool) -> HealthChange {
        let bad = |(_, slot): &(WorkerKey, &WorkerSlot)| slot.health.is_quarantined();
        let quarantined = self.pool.iter().filter(bad).count();
        let allowed = (quarantined + 1) * QUARANTINE_SHARE <= self.pool.len();
        let health = self.pool.health_mut(worker);
        health.map_or(HealthChange::None, |health| {
            health.record(succeeded, allowed)
        })
    }

    /// Allows each quarantined worker one task.
    pub fn allow_probes(&mut self) {
        let workers: Vec<WorkerKey> = self.pool.iter().map(|(key, _)| key).collect();
        for worker in workers {
            if let Some(health) = self.pool.health_mut(worker) {
                health.allow_probe();
            }
        }
        self.queues.unblock();
    }

    /// Takes a waiting job out of the queue; false if it does not wait.
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
        let place = QueuePlace {
            rank: state.rank,
            deadline: state.spec.deadline,
            job,
        };
        let class = state.spec.class;
        let team = self.budgets.team(&state.spec.team);
        self.queues.remove(class, team, &place);
        let slot = self.budgets.team_slot_mut(team);
        slot.waiting = slot.waiting.saturating_sub(1);
    }

    /// Everything that can be decided at `now`.
    pub fn decide(&mut self, now: Now) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for job in self.queues.overdue(now) {
            self.withdraw(job);
            decisions.push(Decision::Expire { job });
        }
        for job in self.queues.take_fresh() {
            self.decide_fresh(job, &mut decisions);
        }
        for class in self.queues.open_classes() {
            self.decide_class(class, &mut decisions);
        }
        decisions
    }

    /// A new job of a class whose heads do not fit may fit by itself.
    fn decide_fresh(&mut self, job: JobKey, decisions: &mut Vec<Decision>) {
        let Some(state) = self.jobs.get(job).filter(|state| state.placed.is_empty()) else {
            return;
        };
        let team = self.budgets.team(&state.spec.team);
        if let Some(workers) = self.place(job, team) {
            self.commit(job, workers, decisions);
        }
    }

    fn commit(&mut self, job: JobKey, workers: Vec<WorkerKey>, decisions: &mut Vec<Decision>) {
        self.dequeue(job);
        for worker in &workers {
            self.adopt_member(job, *worker);
        }
        decisions.push(Decision::Start { job, workers });
    }

    fn decide_class(&mut self, class: Class, decisions: &mut Vec<Decision>) {
        while let Some((job, workers)) = self.next_start(class) {
            self.commit(job, workers, decisions);
        }
        self.queues.block(class);
    }

    /// The next job of a class that has room, the team that holds the
    /// smallest part of its quota first.
    fn next_start(&mut self, class: Class) -> Option<(JobKey, Vec<WorkerKey>)> {
        let mut teams = self.queues.teams(class);
        if teams.len() > 1 {
            teams.sort_by_key(|team| self.budgets.team_slot(*team).share());
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

    /// Workers for all members of a job, or none.
    fn place(&self, job: JobKey, team: TeamKey) -> Option<Vec<WorkerKey>> {
        let spec = &self.jobs[job].spec;
        let whole = spec.needs.times(spec.members);
        if self.budgets.stopped_by(team, &whole).is_some() {
            return None;
        }
        if spec.members == 1 {
            return self.best_worker(spec).map(|worker| vec![worker]);
        }
        self.place_gang(spec)
    }

    pub(crate) fn best_worker(&self, spec: &JobSpec) -> Option<WorkerKey> {
        let usable = |(key, slot): &(WorkerKey, &WorkerSlot)| {
            slot.takes(&spec.needs)
                && self.budgets.rack_admits(slot.rack, &spec.needs)
                && !spec.avoid.contains(key)
        };
        self.pool.ranked().find(usable).map(|(key, _)| key)
    }

    /// Fills worker after worker in the policy's order.
    fn place_gang(&self, spec: &JobSpec) -> Option<Vec<WorkerKey>> {
        let wanted = usize::try_from(spec.members).unwrap_or(usize::MAX);
        let mut workers = Vec::with_capacity(wanted);
        let mut racks: HashMap<crate::RackKey, Resources> = HashMap::new();
        let usable = |(_, slot): &(WorkerKey, &WorkerSlot)| {
            slot.takes(&spec.needs) && !slot.health.is_quarantined()
        };
        for (key, slot) in self.pool.ranked().filter(usable) {
            let mut free = slot.free;
            let planned = racks.entry(slot.rack).or_default();
            while workers.len() < wanted && spec.needs.fits(&free) {
                let power = planned.plus(&spec.needs);
                if !self.budgets.rack_admits(slot.rack, &power) {
                    break;
                }
                *planned = power;
                free = free.minus(&spec.needs);
                workers.push(key);
            }
        }
        (workers.len() == wanted).then_some(workers)
    }

    /// What keeps a waiting job from starting.
    #[must_use]
    pub fn waits_for(&mut self, job: JobKey) -> Option<Limit> {
        let spec = &self.jobs.get(job)?.spec;
        let whole = spec.needs.times(spec.members);
        let team = spec.team.clone();
        let team = self.budgets.team(&team);
        let limit = self.budgets.stopped_by(team, &whole);
        Some(limit.unwrap_or(Limit::Workers))
    }
}
