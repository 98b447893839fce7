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

/// Start time of the first incarnation of each worker.
const FIRST_START: u64 = 1_000_000;

/// State of the simulation for workers that keep their ids.
#[derive(Debug, Default)]
pub struct SameIds {
    /// Number of incarnations that have started.
    incarnations: u64,
    /// Whether the newest incarnation on each machine has not written its registration yet.
    unregistered: [bool; WORKERS],
    /// Registrations of former incarnations, which may be read late.
    stale: Vec<WorkerInfo>,
    /// Renewals to which former incarnations did not reply.
    renewals: Vec<LateRenewal>,
    /// Number of the newest stored end for each worker key, which a renewal may acknowledge.
    stored_ends: HashMap<WorkerKey, u64>,
    /// Number of restarts.
    pub restarts: usize,
}

/// A renewal to which a former incarnation did not reply.
#[derive(Clone, Copy, Debug)]
struct LateRenewal {
    machine: usize,
    token: FencingToken,
    sent: Duration,
    acked: u64,
}

impl EventSim {
    /// Creates a simulation with crashes in which two of three workers start again under the same
    /// id.
    pub fn with_same_ids() -> EventSim {
        let mut sim = EventSim::with_crashes();
        if let Some(faults) = &mut sim.faults {
            faults.same_ids = Some(SameIds::default());
        }
        for machine in 0..WORKERS {
            if sim.keeps_id(machine) {
                sim.workers[machine].incarnation = Some(FIRST_START);
            }
        }
        sim.take_over();
        sim
    }

    /// Carries out an event; kinds below 232 and from 248 on are those of [`EventSim::crash_step`].
    pub fn same_ids_step(&mut self, event: Event) {
        let machine = usize::from(event.pick) % WORKERS;
        match event.kind {
            // The worker restarts too quickly for the crash to be detected.
            232..236 => {
                self.crash(machine);
                self.restart_worker(machine);
            }
            236..238 => {
                for machine in 0..WORKERS {
                    self.crash(machine);
                    self.restart_worker(machine);
                }
            }
            238..242 => self.write_registration(machine),
            242..244 => self.read_stale(event.pick),
            244..248 => self.deliver_renewal(event.pick),
            _ => return self.crash_step(event),
        }
        self.check_statuses();
    }

    fn same_ids_mut(&mut self) -> Option<&mut SameIds> {
        self.faults.as_mut()?.same_ids.as_mut()
    }

    /// Returns whether a worker starts again under the same id.
    pub(super) fn keeps_id(&self, machine: usize) -> bool {
        let same_ids = self
            .faults
            .as_ref()
            .is_some_and(|faults| faults.same_ids.is_some());
        same_ids && machine != 0
    }

    /// Returns the incarnation in each worker's row. Rows of workers, unlike the progress of jobs,
    /// count as saved at once, so they contain what the planner has.
    pub(super) fn stored_incarnations(&self) -> HashMap<String, Option<u64>> {
        let infos = self
            .keys
            .iter()
            .filter_map(|key| self.planner.worker_info(*key));
        infos
            .map(|info| (info.id.clone(), info.incarnation))
            .collect()
    }

    /// Returns the fencing token of commands to a worker.
    pub(super) fn token(&self, machine: usize) -> FencingToken {
        job::fencing_token(self.epoch, self.raised[machine])
    }

    /// Returns whether a worker can no longer carry out any start that got no reply.
    fn starts_settled(&self, machine: usize) -> bool {
        let pending = |sent: &SentCommand| {
            let start = matches!(sent.command, Command::Start { .. });
            start && sent.worker == machine && self.in_flight(sent.sent_at)
        };
        !self.late.iter().any(pending)
    }

    /// Returns whether a command that was sent at this time may still be carried out.
    fn in_flight(&self, sent: Duration) -> bool {
        self.now <= sent + Policy::default().command_delay
    }

    /// Raises the token of commands to a worker, after a start that got no reply.
    pub(super) fn raise_token(&mut self, machine: usize) {
        self.raised[machine] += u64::from(self.keeps_id(machine));
    }

    /// Returns the incarnation for which a command to a worker is meant.
    pub(super) fn target_incarnation(&self, machine: usize) -> Option<u64> {
        self.planner
            .worker_info(self.keys[machine])
            .and_then(|info| info.incarnation)
    }

    /// Records that the planner has found a new incarnation of a worker.
    pub(super) fn record_incarnation(&mut self, key: WorkerKey) {
        let id = self.planner.worker_info(key).map(|info| info.id.clone());
        let machine = (0..WORKERS).find(|machine| Some(self.id(*machine)) == id);
        if let Some(machine) = machine {
            self.keys[machine] = key;
            self.raised[machine] += 1;
            self.workers[machine].in_contact = false;
        }
    }

    /// Starts a worker again under the same id. Its clock may have gone back, and it may register
    /// only later.
    pub(super) fn restart(&mut self, machine: usize) {
        let former = self.info(machine);
        let back = self.now.as_millis().is_multiple_of(3);
        let registers = !self.now.as_millis().is_multiple_of(5);
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        same_ids.incarnations += 1;
        same_ids.restarts += 1;
        same_ids.stale.push(former);
        same_ids.unregistered[machine] = true;
        let incarnations = same_ids.incarnations;
        self.workers[machine].incarnation = Some(if back {
            FIRST_START - incarnations
        } else {
            FIRST_START + incarnations
        });
        if registers {
            self.write_registration(machine);
        }
    }

    fn write_registration(&mut self, machine: usize) {
        if self.workers[machine].down {
            return;
        }
        if self.registration_written(machine) {
            let info = self.info(machine);
            self.read_registration(machine, info);
        }
    }

    /// Marks the registration of a worker as written; returns whether it was not written before.
    pub(super) fn registration_written(&mut self, machine: usize) -> bool {
        let same_ids = self.same_ids_mut();
        same_ids.is_some_and(|same_ids| std::mem::take(&mut same_ids.unregistered[machine]))
    }

    /// Reads the registration of a former incarnation late, and then the one that has replaced it.
    fn read_stale(&mut self, pick: u8) {
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        if same_ids.stale.is_empty() {
            return;
        }
        let info = same_ids.stale[usize::from(pick) % same_ids.stale.len()].clone();
        let machine = (0..WORKERS).find(|machine| self.id(*machine) == info.id);
        let Some(machine) = machine else { return };
        self.read_registration(machine, info);
        if !self.workers[machine].down
            && !self
                .same_ids_mut()
                .is_some_and(|one| one.unregistered[machine])
        {
            let info = self.info(machine);
            self.read_registration(machine, info);
        }
    }

    fn read_registration(&mut self, machine: usize, info: WorkerInfo) {
        self.planner.advance(self.now);
        if let Some(key) = self.planner.register_worker(info) {
            self.record_incarnation(key);
            debug_assert_eq!(self.keys[machine], key);
        }
    }

    /// Reads the list of machines, which lacks the ids of crashed workers.
    pub(super) fn report_same_ids(&mut self) {
        for machine in 0..WORKERS {
            if self.keeps_id(machine) && self.workers[machine].down {
                self.planner.worker_ended(self.keys[machine]);
            }
        }
    }

    /// Records that ends up to a number are stored. The next renewal acknowledges them if the
    /// worker has replied to the one before.
    pub(super) fn record_stored(&mut self, machine: usize, number: u64) {
        let key = self.keys[machine];
        match self.same_ids_mut() {
            Some(same_ids) => {
                same_ids.stored_ends.insert(key, number);
            }
            None => self.record_acked(machine, number),
        }
    }

    /// Acknowledges the stored ends with a renewal.
    pub(super) fn acknowledge(&mut self, machine: usize, key: WorkerKey) {
        let in_contact =
            self.workers[machine].in_contact || self.workers[machine].incarnation.is_none();
        let number = self
            .same_ids_mut()
            .and_then(|same_ids| same_ids.stored_ends.get(&key).copied());
        if let Some(number) = number.filter(|_| in_contact) {
            self.record_acked(machine, number);
        }
    }

    /// Stores a renewal that is in transit to a worker when it crashes. The renewal acknowledges
    /// the stored ends if no start without a reply can still be carried out.
    pub(super) fn keep_late_renewal(&mut self, machine: usize) {
        if !self.keeps_id(machine) || !self.workers[machine].in_contact {
            return;
        }
        let (token, key, starts_settled) = (
            self.token(machine),
            self.keys[machine],
            self.starts_settled(machine),
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
            machine,
            token,
            sent,
            acked: acked.unwrap_or(0),
        });
        self.raised[machine] += u64::from(acked.is_some());
    }

    /// Delivers a renewal for a former incarnation to the current one.
    fn deliver_renewal(&mut self, pick: u8) {
        let Some(same_ids) = self.same_ids_mut() else {
            return;
        };
        if same_ids.renewals.is_empty() {
            return;
        }
        let index = usize::from(pick) % same_ids.renewals.len();
        let renewal = same_ids.renewals.swap_remove(index);
        let late = !self.in_flight(renewal.sent);
        let worker = &mut self.workers[renewal.machine];
        if late || worker.cut_off || worker.down || renewal.token < worker.fence {
            return;
        }
        worker.lease = worker.lease.max(self.now + Policy::default().max_lease);
        self.record_acked(renewal.machine, renewal.acked);
    }

    /// Returns whether a late command may be delivered. Excluded are commands that a new
    /// incarnation could not refuse because it is not claimed yet: those whose run the planner no
    /// longer tracks, or that are later than the planner allows for.
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

    /// Returns the number of restarts so far.
    pub fn restarts(&self) -> usize {
        let same_ids = self
            .faults
            .as_ref()
            .and_then(|faults| faults.same_ids.as_ref());
        same_ids.map_or(0, |same_ids| same_ids.restarts)
    }
}
