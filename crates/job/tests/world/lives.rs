//! Workers that start again under their id: their orders cross the restart, and their
//! entries are read late.

use std::collections::HashMap;
use std::time::Duration;

use job::Order;
use job::Policy;
use job::Token;
use job::WorkerInfo;
use job::WorkerKey;

use super::Event;
use super::Sent;
use super::WORKERS;
use super::World;

/// Start of the first lives.
const FIRST: u64 = 1_000_000;

/// What a world knows of workers that keep their ids.
#[derive(Debug, Default)]
pub struct Lasting {
    /// Lives that have begun.
    lives: u64,
    /// Entries that the workers are still to write.
    unwritten: [bool; WORKERS],
    /// Entries of former lives, which may be read late.
    stale: Vec<WorkerInfo>,
    /// Holds that former lives have left unanswered.
    holds: Vec<LateHold>,
    /// Ends that are recorded, by the link that is to acknowledge them.
    recorded: HashMap<WorkerKey, u64>,
    /// Lives that began.
    pub restarts: usize,
}

/// A renewal that a former life did not answer.
#[derive(Clone, Copy, Debug)]
struct LateHold {
    at: usize,
    token: Token,
    sent: Duration,
    seen: u64,
}

impl World {
    /// A rough world in which two of three workers come back under their ids.
    pub fn lasting() -> World {
        let mut world = World::rough();
        if let Some(rough) = &mut world.rough {
            rough.lasting = Some(Lasting::default());
        }
        for at in 0..WORKERS {
            if world.lasts(at) {
                world.workers[at].life = Some(FIRST);
            }
        }
        world.take_over();
        world
    }

    /// A step of a world with such workers.
    pub fn lasting_step(&mut self, event: Event) {
        let at = usize::from(event.pick) % WORKERS;
        match event.kind {
            // So short that nobody misses it.
            232..236 => {
                self.crash(at);
                self.come_back(at);
            }
            236..238 => {
                for at in 0..WORKERS {
                    self.crash(at);
                    self.come_back(at);
                }
            }
            238..242 => self.write_entry(at),
            242..244 => self.read_stale(event.pick),
            244..248 => self.deliver_hold(event.pick),
            _ => return self.rough_step(event),
        }
        self.check_shown();
    }

    fn lasting_mut(&mut self) -> Option<&mut Lasting> {
        self.rough.as_mut()?.lasting.as_mut()
    }

    /// Whether a worker comes back under its id.
    pub(super) fn lasts(&self, at: usize) -> bool {
        let lasting = self
            .rough
            .as_ref()
            .is_some_and(|rough| rough.lasting.is_some());
        lasting && at != 0
    }

    /// Lives by worker, as the rows say that the owner leaves.
    pub(super) fn rows(&self) -> HashMap<String, Option<u64>> {
        let known = self
            .keys
            .iter()
            .filter_map(|key| self.planner.worker_info(*key));
        known.map(|info| (info.id.clone(), info.life)).collect()
    }

    /// What orders to a worker carry.
    pub(super) fn token(&self, at: usize) -> Token {
        job::token(self.epoch, self.raised[at])
    }

    /// Whether no start to a worker that got no answer may still be carried out.
    fn quiet(&self, at: usize) -> bool {
        let open = |sent: &Sent| {
            let start = matches!(sent.order, Order::Start { .. });
            start && sent.worker == at && self.on_its_way(sent.at)
        };
        !self.late.iter().any(open)
    }

    /// Whether an order that was sent then may still be carried out.
    fn on_its_way(&self, sent: Duration) -> bool {
        self.now <= sent + Policy::default().order_late
    }

    /// A start got no answer: orders after it carry a higher token.
    pub(super) fn raise(&mut self, at: usize) {
        self.raised[at] += u64::from(self.lasts(at));
    }

    /// The life that an order to a worker is meant for.
    pub(super) fn linked_life(&self, at: usize) -> Option<u64> {
        self.planner
            .worker_info(self.keys[at])
            .and_then(|info| info.life)
    }

    /// The planner has found a new life of a worker.
    pub(super) fn begin(&mut self, key: WorkerKey) {
        let id = self.planner.worker_info(key).map(|info| info.id.clone());
        let at = (0..WORKERS).find(|at| Some(self.id(*at)) == id);
        if let Some(at) = at {
            self.keys[at] = key;
            self.raised[at] += 1;
            self.workers[at].linked = false;
        }
    }

    /// A worker is there again under its id. Its clock may have gone back.
    pub(super) fn start_again(&mut self, at: usize) {
        let former = self.info(at);
        let back = self.now.as_millis().is_multiple_of(3);
        let entry = !self.now.as_millis().is_multiple_of(5);
        let Some(lasting) = self.lasting_mut() else {
            return;
        };
        lasting.lives += 1;
        lasting.restarts += 1;
        lasting.stale.push(former);
        lasting.unwritten[at] = true;
        let lives = lasting.lives;
        self.workers[at].life = Some(if back { FIRST - lives } else { FIRST + lives });
        if entry {
            self.write_entry(at);
        }
    }

    fn write_entry(&mut self, at: usize) {
        if self.workers[at].down {
            return;
        }
        if self.entry_written(at) {
            let info = self.info(at);
            self.take_entry(at, info);
        }
    }

    /// The worker that is there has written its entry; whether it was still to do so.
    pub(super) fn entry_written(&mut self, at: usize) -> bool {
        let lasting = self.lasting_mut();
        lasting.is_some_and(|lasting| std::mem::take(&mut lasting.unwritten[at]))
    }

    /// The entry of a former life is read late, before the one that has replaced it.
    fn read_stale(&mut self, pick: u8) {
        let Some(lasting) = self.lasting_mut() else {
            return;
        };
        if lasting.stale.is_empty() {
            return;
        }
        let info = lasting.stale[usize::from(pick) % lasting.stale.len()].clone();
        let at = (0..WORKERS).find(|at| self.id(*at) == info.id);
        let Some(at) = at else { return };
        self.take_entry(at, info);
        if !self.workers[at].down && !self.lasting_mut().is_some_and(|one| one.unwritten[at]) {
            let info = self.info(at);
            self.take_entry(at, info);
        }
    }

    fn take_entry(&mut self, at: usize, info: WorkerInfo) {
        self.planner.advance(self.now);
        if let Some(key) = self.planner.register_worker(info) {
            self.begin(key);
            debug_assert_eq!(self.keys[at], key);
        }
    }

    /// The list of machines misses the ids of workers that are down.
    pub(super) fn learn_lasting(&mut self) {
        for at in 0..WORKERS {
            if self.lasts(at) && self.workers[at].down {
                self.planner.worker_ended(self.keys[at]);
            }
        }
    }

    /// Ends up to a number are recorded: the next renewal says so, if the worker has
    /// answered the one before.
    pub(super) fn recorded(&mut self, at: usize, number: u64) {
        let key = self.keys[at];
        match self.lasting_mut() {
            Some(lasting) => {
                lasting.recorded.insert(key, number);
            }
            None => self.note(at, number),
        }
    }

    /// A renewal acknowledges what is recorded.
    pub(super) fn acknowledge(&mut self, at: usize, key: WorkerKey) {
        let linked = self.workers[at].linked || self.workers[at].life.is_none();
        let number = self
            .lasting_mut()
            .and_then(|lasting| lasting.recorded.get(&key).copied());
        if let Some(number) = number.filter(|_| linked) {
            self.note(at, number);
        }
    }

    /// A renewal is on its way to a worker that goes down, and acknowledges what is recorded
    /// if it may.
    pub(super) fn keep_late_hold(&mut self, at: usize) {
        if !self.lasts(at) || !self.workers[at].linked {
            return;
        }
        let (token, key, quiet) = (self.token(at), self.keys[at], self.quiet(at));
        let sent = self.now;
        let Some(lasting) = self.lasting_mut() else {
            return;
        };
        let seen = lasting.recorded.get(&key).copied().filter(|_| quiet);
        lasting.holds.push(LateHold {
            at,
            token,
            sent,
            seen: seen.unwrap_or(0),
        });
        self.raised[at] += u64::from(seen.is_some());
    }

    /// A renewal that was meant for a former life reaches the one that is there.
    fn deliver_hold(&mut self, pick: u8) {
        let Some(lasting) = self.lasting_mut() else {
            return;
        };
        if lasting.holds.is_empty() {
            return;
        }
        let at = usize::from(pick) % lasting.holds.len();
        let hold = lasting.holds.swap_remove(at);
        let late = !self.on_its_way(hold.sent);
        let worker = &mut self.workers[hold.at];
        if late || worker.cut || worker.down || hold.token < worker.fence {
            return;
        }
        worker.lease = worker.lease.max(self.now + Policy::default().longest_lease);
        self.note(hold.at, hold.seen);
    }

    /// Whether a late order is played. One that was given up, or is later than orders are
    /// taken to be, and reaches a next life before that is claimed is left out: nothing could
    /// refuse it.
    pub(super) fn may_come_late(&self, sent: &Sent) -> bool {
        let worker = &self.workers[sent.worker];
        if sent.life == worker.life || worker.fence > 0 {
            return true;
        }
        match sent.order {
            Order::Start { task, run, .. } => {
                self.on_its_way(sent.at)
                    && self.planner.has_booked(self.keys[sent.worker], task, run)
            }
            _ => false,
        }
    }

    /// Restarts so far.
    pub fn restarts(&self) -> usize {
        let lasting = self.rough.as_ref().and_then(|rough| rough.lasting.as_ref());
        lasting.map_or(0, |lasting| lasting.restarts)
    }
}
