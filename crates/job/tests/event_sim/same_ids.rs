//! Workers that start again under the same id: commands arrive after the restart, and
//! registrations are read late.

use std::collections::HashMap;
use std::time::Duration;

use job::Command;
use job::FencingToken;
use job::Policy;
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
    stored_ends: HashMap<WorkerKey, u64>,
    /// Number of restarts.
    pub restarts: usize,
}

/// A renewal to which a former incarnation did not reply.
#[derive(Clone, Copy, Debug)]
struct LateRenewal {
    place: usize,
    token: FencingToken,
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
        for place in 0..WORKERS {
            if sim.keeps_id(place) {
                sim.workers[place].incarnation = Some(FIRST);
            }
        }
        sim.take_over();
        sim
    }

    /// Carries out an event in such a simulation.
    pub fn same_ids_step(&mut self, event: Event) {
        let place = usize::from(event.pick) % WORKERS;
        match event.kind {
            // A restart that is too short for anyone to notice.
            232..236 => {
                self.crash(place);
                self.restart_worker(place);
            }
            236..238 => {
                for place in 0..WORKERS {
                    self.crash(place);
                    self.restart_worker(place);
                }
            }
            238..242 => self.write_registration(place),
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
    pub(super) fn keeps_id(&self, place: usize) -> bool {
        let same_ids = self
            .faults
            .as_ref()
            .is_some_and(|faults| faults.same_ids.is_some());
        same_ids && place != 0
    }

    /// Incarnation of each worker in the rows that the owner leaves in the store.
    pub(super) fn stored_incarnations(&self) -> HashMap<String, Option<u64>> {
        let known = self
            .keys
            .iter()
            .filter_map(|key| self.planner.worker_info(*key));
        known
            .map(|info| (info.id.clone(), info.incarnation))
            .collect()
    }

    /// Fencing token of commands to a worker.
    pub(super) fn token(&self, place: usize) -> FencingToken {
        job::fencing_token(self.epoch, self.raised[place])
    }

    /// Whether no start without a reply can still be carried out by a worker.
    fn starts_settled(&self, place: usize) -> bool {
        let pending = |sent: &SentCommand| {
            let start = matches!(sent.command, Command::Start { .. });
            start && sent.worker == place && self.in_flight(sent.sent_at)
        };
        !self.late.iter().any(pending)
    }

    /// Whether a command that was sent at this time may still be carried out.
    fn in_flight(&self, sent: Duration) -> bool {
        self.now <= sent + Policy::default().command_delay
    }

    /// Raises the token of commands to a worker, after a start without a reply.
    pub(super) fn raise_token(&mut self, place: usize) {
        self.raised[place] += u64::from(self.keeps_id(place));
    }

    /// Incarnation for which a command to a worker is meant.
    pub(super) fn known_incarnation(&self, place: usize) -> Option<u64> {
        self.planner
            .worker_info(self.keys[place])
            .and_then(|info| info.incarnation)
    }

    /// Records that the planner has found a new incarnation of a worker.
    pub(super) fn record_incarnation(&mut self, key: WorkerKey) {
        let id = self.planner.worker_info(key).map(|info| info.id.clone());
        let place = (0..WORKERS).find(|place| Some(self.id(*place)) == id);
        if let Some(place) = place {
            self.keys[place] = key;
            self.raised[place] += 1;
            self.workers[place].in_contact = false;
        }
    }

    /// Starts a worker again under the same id. Its clock may have gone back.
    pub(super) fn restart(&mut self, place: usize) {
        let former = self.info(place);
        let back = self.now.as_millis().is_multiple_of(3);
        let registers = !self.now.as_millis().is_multiple_of(5);
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        same_ids.incarnations += 1;
        same_ids.restarts += 1;
        same_ids.stale.push(former);
        same_ids.unregistered[place] = true;
        let incarnations = same_ids.incarnations;
        self.workers[place].incarnation = Some(if back {
            FIRST - incarnations
        } else {
            FIRST + incarnations
        });
        if registers {
            self.write_registration(place);
        }
    }

    fn write_registration(&mut self, place: usize) {
        if self.workers[place].down {
            return;
        }
        if self.registration_written(place) {
            let info = self.info(place);
            self.read_registration(place, info);
        }
    }

    /// Marks the registration of a worker as written; returns whether it was still to be written.
    pub(super) fn registration_written(&mut self, place: usize) -> bool {
        let same_ids = self.same_ids_mut();
        same_ids.is_some_and(|same_ids| std::mem::take(&mut same_ids.unregistered[place]))
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
        let place = (0..WORKERS).find(|place| self.id(*place) == info.id);
        let Some(place) = place else { return };
        self.read_registration(place, info);
        if !self.workers[place].down
            && !self
                .same_ids_mut()
                .is_some_and(|one| one.unregistered[place])
        {
            let info = self.info(place);
            self.read_registration(place, info);
        }
    }

    fn read_registration(&mut self, place: usize, info: WorkerInfo) {
        self.planner.advance(self.now);
        if let Some(key) = self.planner.register_worker(info) {
            self.record_incarnation(key);
            debug_assert_eq!(self.keys[place], key);
        }
    }

    /// Reads the list of machines, which lacks the ids of crashed workers.
    pub(super) fn report_same_ids(&mut self) {
        for place in 0..WORKERS {
            if self.keeps_id(place) && self.workers[place].down {
                self.planner.worker_ended(self.keys[place]);
            }
        }
    }

    /// Records that ends up to a number are stored. The next renewal acknowledges them if the
    /// worker has replied to the one before.
    pub(super) fn record_stored(&mut self, place: usize, number: u64) {
        let key = self.keys[place];
        match self.same_ids_mut() {
            Some(same_ids) => {
                same_ids.stored_ends.insert(key, number);
            }
            None => self.record_acked(place, number),
        }
    }

    /// Acknowledges the stored ends with a renewal.
    pub(super) fn acknowledge(&mut self, place: usize, key: WorkerKey) {
        let in_contact =
            self.workers[place].in_contact || self.workers[place].incarnation.is_none();
        let number = self
            .same_ids_mut()
            .and_then(|same_ids| same_ids.stored_ends.get(&key).copied());
        if let Some(number) = number.filter(|_| in_contact) {
            self.record_acked(place, number);
        }
    }

    /// Keeps a renewal that is on its way to a worker when it crashes. The renewal acknowledges
    /// the stored ends if no start without a reply can still be carried out.
    pub(super) fn keep_late_renewal(&mut self, place: usize) {
        if !self.keeps_id(place) || !self.workers[place].in_contact {
            return;
        }
        let (token, key, starts_settled) = (
            self.token(place),
            self.keys[place],
            self.starts_settled(place),
        );
        let sent = self.now;
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        let acked = same_ids
            .stored_ends
            .get(&key)
            .copied()
            .filter(|_| starts_settled);
        same_ids.renewals.push(LateRenewal {
            place,
            token,
            sent,
            acked: acked.unwrap_or(0),
        });
        self.raised[place] += u64::from(acked.is_some());
    }

    /// Delivers a renewal for a former incarnation to the present one.
    fn deliver_renewal(&mut self, pick: u8) {
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        if same_ids.renewals.is_empty() {
            return;
        }
        let place = usize::from(pick) % same_ids.renewals.len();
        let renewal = same_ids.renewals.swap_remove(place);
        let late = !self.in_flight(renewal.sent);
        let worker = &mut self.workers[renewal.place];
        if late || worker.cut_off || worker.down || renewal.token < worker.fence {
            return;
        }
        worker.lease = worker.lease.max(self.now + Policy::default().max_lease);
        self.record_acked(renewal.place, renewal.acked);
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
            Command::Start { task, run, .. } => {
                self.in_flight(sent.sent_at)
                    && self.planner.has_booked(self.keys[sent.worker], task, run)
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
