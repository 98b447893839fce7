//! Workers that start again under the same id: commands arrive after the restart, and
//! registrations are read late.

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

/// Start of the first incarnations.
const FIRST: u64 = 1_000_000;

/// State of the simulation for workers that keep their ids.
#[derive(Debug, Default)]
pub struct Lasting {
    /// Number of incarnations that have started.
    lives: u64,
    /// Whether the newest incarnation of each worker is still to write its registration.
    unwritten: [bool; WORKERS],
    /// Registrations of former incarnations, which may be read late.
    stale: Vec<WorkerInfo>,
    /// Renewals to which former incarnations did not reply.
    holds: Vec<LateHold>,
    /// Highest stored end for each worker key, which a renewal under that key may acknowledge.
    recorded: HashMap<WorkerKey, u64>,
    /// Number of restarts.
    pub restarts: usize,
}

/// A renewal to which a former incarnation did not reply.
#[derive(Clone, Copy, Debug)]
struct LateHold {
    at: usize,
    token: Token,
    sent: Duration,
    seen: u64,
}

impl World {
    /// Creates a simulation with crashes in which two of three workers come back under the same
    /// id.
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

    /// Carries out an event in such a simulation.
    pub fn lasting_step(&mut self, event: Event) {
        let at = usize::from(event.pick) % WORKERS;
        match event.kind {
            // A restart that is too short for anyone to notice.
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

    /// Whether a worker comes back under the same id.
    pub(super) fn lasts(&self, at: usize) -> bool {
        let lasting = self
            .rough
            .as_ref()
            .is_some_and(|rough| rough.lasting.is_some());
        lasting && at != 0
    }

    /// Incarnation of each worker in the rows that the owner leaves in the store.
    pub(super) fn rows(&self) -> HashMap<String, Option<u64>> {
        let known = self.keys.iter().filter_map(|key| self.planner.worker(*key));
        known
            .map(|info| (info.id.clone(), info.incarnation))
            .collect()
    }

    /// Fencing token of commands to a worker.
    pub(super) fn token(&self, at: usize) -> Token {
        job::token(self.epoch, self.raised[at])
    }

    /// Whether no start without a reply can still be carried out by a worker.
    fn quiet(&self, at: usize) -> bool {
        let open = |sent: &Sent| {
            let start = matches!(sent.order, Order::Start { .. });
            start && sent.worker == at && self.on_its_way(sent.at)
        };
        !self.late.iter().any(open)
    }

    /// Whether a command that was sent at this time may still be carried out.
    fn on_its_way(&self, sent: Duration) -> bool {
        self.now <= sent + Policy::default().order_late
    }

    /// Raises the token of commands to a worker, after a start without a reply.
    pub(super) fn raise(&mut self, at: usize) {
        self.raised[at] += u64::from(self.lasts(at));
    }

    /// Incarnation for which a command to a worker is meant.
    pub(super) fn linked_life(&self, at: usize) -> Option<u64> {
        self.planner
            .worker(self.keys[at])
            .and_then(|info| info.incarnation)
    }

    /// Records that the planner has found a new incarnation of a worker.
    pub(super) fn begin(&mut self, key: WorkerKey) {
        let id = self.planner.worker(key).map(|info| info.id.clone());
        let at = (0..WORKERS).find(|at| Some(self.id(*at)) == id);
        if let Some(at) = at {
            self.keys[at] = key;
            self.raised[at] += 1;
            self.workers[at].linked = false;
        }
    }

    /// Starts a worker again under the same id. Its clock may have gone back.
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

    /// Marks the registration of a worker as written; returns whether it was still to be written.
    pub(super) fn entry_written(&mut self, at: usize) -> bool {
        let lasting = self.lasting_mut();
        lasting.is_some_and(|lasting| std::mem::take(&mut lasting.unwritten[at]))
    }

    /// Reads the registration of a former incarnation late, and then the one that has replaced
    /// it.
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
        if let Some(key) = self.planner.take_worker(info) {
            self.begin(key);
            debug_assert_eq!(self.keys[at], key);
        }
    }

    /// Reads the list of machines, which lacks the ids of crashed workers.
    pub(super) fn learn_lasting(&mut self) {
        for at in 0..WORKERS {
            if self.lasts(at) && self.workers[at].down {
                self.planner.worker_over(self.keys[at]);
            }
        }
    }

    /// Records that ends up to a number are stored. The next renewal acknowledges them if the
    /// worker has replied to the one before.
    pub(super) fn recorded(&mut self, at: usize, number: u64) {
        let key = self.keys[at];
        match self.lasting_mut() {
            Some(lasting) => {
                lasting.recorded.insert(key, number);
            }
            None => self.note(at, number),
        }
    }

    /// Acknowledges the stored ends with a renewal.
    pub(super) fn acknowledge(&mut self, at: usize, key: WorkerKey) {
        let linked = self.workers[at].linked || self.workers[at].life.is_none();
        let number = self
            .lasting_mut()
            .and_then(|lasting| lasting.recorded.get(&key).copied());
        if let Some(number) = number.filter(|_| linked) {
            self.note(at, number);
        }
    }

    /// Keeps a renewal that is on its way to a worker when it crashes. The renewal acknowledges
    /// the stored ends if no start without a reply can still be carried out.
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

    /// Delivers a renewal for a former incarnation to the present one.
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

    /// Whether a late command is delivered. Left out are commands that nothing could refuse:
    /// those that the planner no longer tracks, or that are later than its limit, if they reach a
    /// new incarnation before that is claimed.
    pub(super) fn may_come_late(&self, sent: &Sent) -> bool {
        let worker = &self.workers[sent.worker];
        if sent.life == worker.life || worker.fence > 0 {
            return true;
        }
        match sent.order {
            Order::Start { task, run, .. } => {
                self.on_its_way(sent.at) && self.planner.holds(self.keys[sent.worker], task, run)
            }
            _ => false,
        }
    }

    /// Number of restarts so far.
    pub fn restarts(&self) -> usize {
        let lasting = self.rough.as_ref().and_then(|rough| rough.lasting.as_ref());
        lasting.map_or(0, |lasting| lasting.restarts)
    }
}
