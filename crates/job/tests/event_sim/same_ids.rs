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
use super::EventSim;
use super::SentCommand;
use super::WORKERS;

/// Start of the first incarnations.
const FIRST: u64 = 1_000_000;

/// State of the simulation for workers that keep their ids.
#[derive(Debug, Default)]
pub struct SameIds {
    /// Number of incarnations that have started.
    incarnations: u64,
    /// Whether the newest incarnation of each worker is still to write its registration.
    unregistered: [bool; WORKERS],
    /// Registrations of former incarnations, which may be read late.
    stale: Vec<WorkerInfo>,
    /// Renewals to which former incarnations did not reply.
    renewals: Vec<LateRenewal>,
    /// Highest stored end for each worker key, which a renewal under that key may acknowledge.
    recorded: HashMap<WorkerKey, u64>,
    /// Number of restarts.
    pub restarts: usize,
}

/// A renewal to which a former incarnation did not reply.
#[derive(Clone, Copy, Debug)]
struct LateRenewal {
    at: usize,
    token: Token,
    sent: Duration,
    acked: u64,
}

impl EventSim {
    /// Creates a simulation with crashes in which two of three workers come back under the same
    /// id.
    pub fn with_same_ids() -> EventSim {
        let mut sim = EventSim::with_crashes();
        if let Some(faults) = &mut sim.faults {
            faults.same_ids = Some(SameIds::default());
        }
        for at in 0..WORKERS {
            if sim.keeps_id(at) {
                sim.workers[at].incarnation = Some(FIRST);
            }
        }
        sim.take_over();
        sim
    }

    /// Carries out an event in such a simulation.
    pub fn same_ids_step(&mut self, event: Event) {
        let at = usize::from(event.pick) % WORKERS;
        match event.kind {
            // A restart that is too short for anyone to notice.
            232..236 => {
                self.crash(at);
                self.restart_worker(at);
            }
            236..238 => {
                for at in 0..WORKERS {
                    self.crash(at);
                    self.restart_worker(at);
                }
            }
            238..242 => self.write_registration(at),
            242..244 => self.read_stale(event.pick),
            244..248 => self.deliver_renewal(event.pick),
            _ => return self.crash_step(event),
        }
        self.check_statuses();
    }

    fn same_ids_mut(&mut self) -> Option<&mut SameIds> {
        self.faults.as_mut()?.same_ids.as_mut()
    }

    /// Whether a worker comes back under the same id.
    pub(super) fn keeps_id(&self, at: usize) -> bool {
        let same_ids = self
            .faults
            .as_ref()
            .is_some_and(|faults| faults.same_ids.is_some());
        same_ids && at != 0
    }

    /// Incarnation of each worker in the rows that the owner leaves in the store.
    pub(super) fn stored_incarnations(&self) -> HashMap<String, Option<u64>> {
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
    fn starts_settled(&self, at: usize) -> bool {
        let pending = |sent: &SentCommand| {
            let start = matches!(sent.command, Order::Start { .. });
            start && sent.worker == at && self.in_flight(sent.at)
        };
        !self.late.iter().any(pending)
    }

    /// Whether a command that was sent at this time may still be carried out.
    fn in_flight(&self, sent: Duration) -> bool {
        self.now <= sent + Policy::default().order_late
    }

    /// Raises the token of commands to a worker, after a start without a reply.
    pub(super) fn raise_token(&mut self, at: usize) {
        self.raised[at] += u64::from(self.keeps_id(at));
    }

    /// Incarnation for which a command to a worker is meant.
    pub(super) fn known_incarnation(&self, at: usize) -> Option<u64> {
        self.planner
            .worker(self.keys[at])
            .and_then(|info| info.incarnation)
    }

    /// Records that the planner has found a new incarnation of a worker.
    pub(super) fn record_incarnation(&mut self, key: WorkerKey) {
        let id = self.planner.worker(key).map(|info| info.id.clone());
        let at = (0..WORKERS).find(|at| Some(self.id(*at)) == id);
        if let Some(at) = at {
            self.keys[at] = key;
            self.raised[at] += 1;
            self.workers[at].in_contact = false;
        }
    }

    /// Starts a worker again under the same id. Its clock may have gone back.
    pub(super) fn restart(&mut self, at: usize) {
        let former_owner = self.info(at);
        let back = self.now.as_millis().is_multiple_of(3);
        let registers = !self.now.as_millis().is_multiple_of(5);
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        same_ids.incarnations += 1;
        same_ids.restarts += 1;
        same_ids.stale.push(former_owner);
        same_ids.unregistered[at] = true;
        let incarnations = same_ids.incarnations;
        self.workers[at].incarnation = Some(if back {
            FIRST - incarnations
        } else {
            FIRST + incarnations
        });
        if registers {
            self.write_registration(at);
        }
    }

    fn write_registration(&mut self, at: usize) {
        if self.workers[at].down {
            return;
        }
        if self.registration_written(at) {
            let info = self.info(at);
            self.read_registration(at, info);
        }
    }

    /// Marks the registration of a worker as written; returns whether it was still to be written.
    pub(super) fn registration_written(&mut self, at: usize) -> bool {
        let same_ids = self.same_ids_mut();
        same_ids.is_some_and(|same_ids| std::mem::take(&mut same_ids.unregistered[at]))
    }

    /// Reads the registration of a former incarnation late, and then the one that has replaced
    /// it.
    fn read_stale(&mut self, pick: u8) {
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        if same_ids.stale.is_empty() {
            return;
        }
        let info = same_ids.stale[usize::from(pick) % same_ids.stale.len()].clone();
        let at = (0..WORKERS).find(|at| self.id(*at) == info.id);
        let Some(at) = at else { return };
        self.read_registration(at, info);
        if !self.workers[at].down && !self.same_ids_mut().is_some_and(|one| one.unregistered[at]) {
            let info = self.info(at);
            self.read_registration(at, info);
        }
    }

    fn read_registration(&mut self, at: usize, info: WorkerInfo) {
        self.planner.advance(self.now);
        if let Some(key) = self.planner.take_worker(info) {
            self.record_incarnation(key);
            debug_assert_eq!(self.keys[at], key);
        }
    }

    /// Reads the list of machines, which lacks the ids of crashed workers.
    pub(super) fn learn_same_ids(&mut self) {
        for at in 0..WORKERS {
            if self.keeps_id(at) && self.workers[at].down {
                self.planner.worker_over(self.keys[at]);
            }
        }
    }

    /// Records that ends up to a number are stored. The next renewal acknowledges them if the
    /// worker has replied to the one before.
    pub(super) fn recorded(&mut self, at: usize, number: u64) {
        let key = self.keys[at];
        match self.same_ids_mut() {
            Some(same_ids) => {
                same_ids.recorded.insert(key, number);
            }
            None => self.record_acked(at, number),
        }
    }

    /// Acknowledges the stored ends with a renewal.
    pub(super) fn acknowledge(&mut self, at: usize, key: WorkerKey) {
        let in_contact = self.workers[at].in_contact || self.workers[at].incarnation.is_none();
        let number = self
            .same_ids_mut()
            .and_then(|same_ids| same_ids.recorded.get(&key).copied());
        if let Some(number) = number.filter(|_| in_contact) {
            self.record_acked(at, number);
        }
    }

    /// Keeps a renewal that is on its way to a worker when it crashes. The renewal acknowledges
    /// the stored ends if no start without a reply can still be carried out.
    pub(super) fn keep_late_renewal(&mut self, at: usize) {
        if !self.keeps_id(at) || !self.workers[at].in_contact {
            return;
        }
        let (token, key, starts_settled) = (self.token(at), self.keys[at], self.starts_settled(at));
        let sent = self.now;
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        let acked = same_ids
            .recorded
            .get(&key)
            .copied()
            .filter(|_| starts_settled);
        same_ids.renewals.push(LateRenewal {
            at,
            token,
            sent,
            acked: acked.unwrap_or(0),
        });
        self.raised[at] += u64::from(acked.is_some());
    }

    /// Delivers a renewal for a former incarnation to the present one.
    fn deliver_renewal(&mut self, pick: u8) {
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        if same_ids.renewals.is_empty() {
            return;
        }
        let at = usize::from(pick) % same_ids.renewals.len();
        let renewal = same_ids.renewals.swap_remove(at);
        let late = !self.in_flight(renewal.sent);
        let worker = &mut self.workers[renewal.at];
        if late || worker.cut_off || worker.down || renewal.token < worker.fence {
            return;
        }
        worker.lease = worker.lease.max(self.now + Policy::default().longest_lease);
        self.record_acked(renewal.at, renewal.acked);
    }

    /// Whether a late command is delivered. Left out are commands that nothing could refuse:
    /// those that the planner no longer tracks, or that are later than its limit, if they reach a
    /// new incarnation before that is claimed.
    pub(super) fn may_arrive_late(&self, sent: &SentCommand) -> bool {
        let worker = &self.workers[sent.worker];
        if sent.incarnation == worker.incarnation || worker.fence > 0 {
            return true;
        }
        match sent.command {
            Order::Start { task, run, .. } => {
                self.in_flight(sent.at) && self.planner.holds(self.keys[sent.worker], task, run)
            }
            _ => false,
        }
    }

    /// Number of restarts so far.
    pub fn restarts(&self) -> usize {
        let same_ids = self
            .faults
            .as_ref()
            .and_then(|faults| faults.same_ids.as_ref());
        same_ids.map_or(0, |same_ids| same_ids.restarts)
    }
}
