//! The workers of one scheduling core. They are kept sorted by the policy's
//! rank, so that a placement examines a few of the best workers, not all.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;

use model::Resources;
use model::WorkerId;
use slotmap::SlotMap;

use crate::Health;
use crate::Policy;
use crate::RackKey;
use crate::WorkerEntry;
use crate::WorkerKey;
use crate::WorkerState;

/// Sort key of a worker: the highest rank first, and among workers of equal
/// rank the least recently used one.
type RankKey = (Reverse<i64>, u64, WorkerKey);

/// The workers of one scheduling core.
#[derive(Debug)]
pub struct Pool<P> {
    policy: P,
    workers: SlotMap<WorkerKey, WorkerEntry>,
    by_id: HashMap<WorkerId, WorkerKey>,
    /// Workers that are ready and have a free slot.
    ranking: BTreeSet<RankKey>,
    /// Sort key of each worker in the ranking.
    rank_keys: HashMap<WorkerKey, RankKey>,
    /// Number of workers of each capacity; there are few different capacities.
    capacities: Vec<(Resources, u32)>,
    /// Number of placements so far.
    placements: u64,
}

impl<P: Policy> Pool<P> {
    pub(crate) fn new(policy: P) -> Pool<P> {
        Pool {
            policy,
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            ranking: BTreeSet::new(),
            rank_keys: HashMap::new(),
            capacities: Vec::new(),
            placements: 0,
        }
    }

    pub(crate) fn set_policy(&mut self, policy: P) {
        self.policy = policy;
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.update_ranking(key);
        }
    }

    /// Looks up the key of a worker by its id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// State of a worker.
    #[must_use]
    pub fn get(&self, worker: WorkerKey) -> Option<&WorkerEntry> {
        self.workers.get(worker)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there are no workers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Ready workers with a free slot, the best-ranked first.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = (WorkerKey, &WorkerEntry)> {
        self.ranking
            .iter()
            .map(|(_, _, key)| (*key, &self.workers[*key]))
    }

    pub(crate) fn health_mut(&mut self, worker: WorkerKey) -> Option<&mut Health> {
        self.workers.get_mut(worker).map(|entry| &mut entry.health)
    }

    pub(crate) fn add(&mut self, id: &str, rack: RackKey, capacity: Resources) -> WorkerKey {
        let key = match self.find(id) {
            Some(key) => key,
            None => self.insert(id, rack),
        };
        let entry = &mut self.workers[key];
        let booked = entry.capacity.minus(&entry.free);
        let former = std::mem::replace(&mut entry.capacity, capacity);
        entry.free = capacity.minus(&booked);
        entry.state = WorkerState::Ready;
        self.count_capacity(former, false);
        self.count_capacity(capacity, true);
        self.update_ranking(key);
        key
    }

    fn insert(&mut self, id: &str, rack: RackKey) -> WorkerKey {
        let index = self.by_id.len();
        let key = self.workers.insert(WorkerEntry {
            id: id.to_owned(),
            index: u32::try_from(index).unwrap_or(u32::MAX),
            rack,
            capacity: Resources::default(),
            free: Resources::default(),
            tasks: 0,
            last_placement: 0,
            state: WorkerState::Ready,
            health: Health::default(),
        });
        self.by_id.insert(id.to_owned(), key);
        key
    }

    fn count_capacity(&mut self, capacity: Resources, added: bool) {
        if capacity == Resources::default() {
            return;
        }
        let known = self
            .capacities
            .iter_mut()
            .find(|(known, _)| *known == capacity);
        match (known, added) {
            (Some((_, count)), true) => *count += 1,
            (Some((_, count)), false) => *count = count.saturating_sub(1),
            (None, true) => self.capacities.push((capacity, 1)),
            (None, false) => {}
        }
        self.capacities.retain(|(_, count)| *count > 0);
    }

    pub(crate) fn set_state(&mut self, worker: WorkerKey, state: WorkerState) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.state = state;
            self.update_ranking(worker);
        }
    }

    /// Removes a worker without tasks; one that still has tasks is marked as
    /// lost instead.
    pub(crate) fn remove(&mut self, worker: WorkerKey) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        if entry.tasks > 0 {
            self.set_state(worker, WorkerState::Lost);
            return;
        }
        let capacity = entry.capacity;
        self.by_id.remove(&entry.id);
        self.workers.remove(worker);
        self.count_capacity(capacity, false);
        self.update_ranking(worker);
    }

    /// Whether `members` tasks with these `needs` would fit if nothing else
    /// ran. Lost workers count, since they may come back.
    #[must_use]
    pub fn could_hold(&self, needs: &Resources, members: u32) -> bool {
        let fitting_tasks =
            |(known, count): &(Resources, u32)| needs.fit_times(known).saturating_mul(*count);
        self.capacities
            .iter()
            .map(fitting_tasks)
            .fold(0, u32::saturating_add)
            >= members
    }

    pub(crate) fn book(&mut self, worker: WorkerKey, needs: &Resources) -> RackKey {
        self.placements += 1;
        let entry = &mut self.workers[worker];
        entry.free = entry.free.minus(needs);
        entry.tasks += 1;
        entry.last_placement = self.placements;
        let rack = entry.rack;
        self.update_ranking(worker);
        rack
    }

    pub(crate) fn unbook(&mut self, worker: WorkerKey, needs: &Resources) -> Option<RackKey> {
        let entry = self.workers.get_mut(worker)?;
        entry.free = entry.free.plus(needs);
        entry.tasks = entry.tasks.saturating_sub(1);
        let rack = entry.rack;
        self.update_ranking(worker);
        Some(rack)
    }

    fn update_ranking(&mut self, worker: WorkerKey) {
        if let Some(rank_key) = self.rank_keys.remove(&worker) {
            self.ranking.remove(&rank_key);
        }
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        if entry.state != WorkerState::Ready || entry.free.slots == 0 {
            return;
        }
        let rank_key = (
            Reverse(self.policy.rank(entry)),
            entry.last_placement,
            worker,
        );
        self.rank_keys.insert(worker, rank_key);
        self.ranking.insert(rank_key);
    }
}
