//! Simulation around the planner, with workers that follow the protocol, commands that are lost or
//! late, owners that crash and writes that fail. The invariants are checked at every start that a
//! worker carries out.

mod checks;
mod crashes;
mod delivery;
mod former_owner;
mod organisations;
mod repeated;
mod same_ids;
mod status;
mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use job::ActiveRun;
use job::Batch;
use job::Command;
use job::FencingToken;
use job::JobId;
use job::JobSpec;
use job::Planner;
use job::Policy;
use job::Progress;
use job::RenewalAuthority;
use job::RunEnd;
use job::RunId;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;
use job::WorkerReport;

use crate::support;

use crashes::Faults;
use former_owner::FormerOwner;
use organisations::Organisations;
use repeated::Repeated;
use status::StartedJobs;
use worker::Worker;

/// Number of workers, of four cores each.
const WORKERS: usize = 3;

/// Time from a stop command to the end of the run.
const STOP_TIME: Duration = Duration::from_millis(150);

/// An event of the simulation, decoded from two arbitrary bytes.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Selects what happens, as decoded by [`EventSim::step`], [`EventSim::crash_step`] or
    /// [`EventSim::same_ids_step`].
    pub kind: u8,
    /// Selects the machine and the details.
    pub pick: u8,
}

/// A command that was sent to a worker.
#[derive(Clone, Debug)]
struct SentCommand {
    /// Machine of the worker.
    worker: usize,
    /// Id of the worker when the command was sent.
    id: String,
    /// Incarnation for which the command is meant; `None` if the worker does not report it.
    incarnation: Option<u64>,
    token: FencingToken,
    sent_at: Duration,
    /// Expiry of the lease that the command carries.
    lease: Duration,
    command: Command,
}

/// The simulated owner, its workers and the store.
pub struct EventSim {
    now: Duration,
    epoch: u64,
    planner: Planner,
    /// Planner key of the worker on each machine.
    keys: Vec<WorkerKey>,
    /// Number of times that this owner has raised the fencing token of each worker.
    raised: Vec<u64>,
    workers: Vec<Worker>,
    jobs: BTreeMap<JobId, JobSpec>,
    /// Saved progress of each job.
    stored: BTreeMap<JobId, Progress>,
    /// Commands that got no reply and may still be carried out.
    late: Vec<SentCommand>,
    /// Start and content of the write to the store that is in progress.
    saving: Option<(Duration, Batch)>,
    /// Determines until when this owner may renew leases.
    authority: RenewalAuthority,
    /// Former owner that is cut off from the store and still renews leases.
    former_owner: Option<FormerOwner>,
    /// Runs whose successful end is stored and acknowledged, by task.
    acked_done: HashMap<TaskKey, RunId>,
    /// Runs whose failed end is stored and acknowledged, by task.
    acked_failures: HashMap<TaskKey, BTreeSet<RunId>>,
    /// Jobs of which a worker has started a task.
    started: StartedJobs,
    /// Tasks that have ended successfully on any worker, even if the worker has crashed since.
    done: HashSet<TaskKey>,
    /// Organisations of the jobs; `None` if no job belongs to one.
    organisations: Option<Organisations>,
    /// Jobs that were not read yet; `None` if no job is repeated.
    repeated: Option<Repeated>,
    /// State of crashes and restarts; `None` if there are none.
    faults: Option<Faults>,
    /// Parameters of the planners.
    policy: Policy,
    /// Number of starts carried out by workers.
    pub starts: usize,
}

/// Names of the workers before any restart.
fn names() -> impl Iterator<Item = String> {
    (0..WORKERS).map(|machine| format!("w{machine}"))
}

impl EventSim {
    /// Creates an owner of epoch 1 and its workers, without jobs and without crashes.
    pub fn new() -> EventSim {
        let mut sim = EventSim {
            now: Duration::ZERO,
            epoch: 0,
            planner: support::planner(1),
            keys: Vec::new(),
            raised: vec![0; WORKERS],
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            jobs: BTreeMap::new(),
            stored: BTreeMap::new(),
            late: Vec::new(),
            saving: None,
            authority: RenewalAuthority::new(Duration::ZERO, names()),
            former_owner: None,
            acked_done: HashMap::new(),
            acked_failures: HashMap::new(),
            started: StartedJobs::new(),
            done: HashSet::new(),
            organisations: None,
            repeated: None,
            faults: None,
            policy: Policy::default(),
            starts: 0,
        };
        sim.take_over();
        sim
    }

    /// Replaces the owner by a successor that has only what was stored.
    fn take_over(&mut self) {
        let former_epoch = self.epoch;
        let stored_incarnations = self.stored_incarnations();
        self.epoch = job::next_epoch(self.epoch);
        self.raised = vec![0; WORKERS];
        self.saving = None;
        for worker in &mut self.workers {
            worker.in_contact = false;
        }
        self.planner = Planner::new(self.policy, self.epoch, self.now, self.owner_origin());
        self.configure();
        for (id, spec) in self.jobs.clone() {
            if !self.reads_late(id) {
                let progress = self.stored.get(&id);
                self.planner.add_job(id, spec, progress, true);
            }
        }
        let authority = RenewalAuthority::new(self.now, names());
        let authority = std::mem::replace(&mut self.authority, authority);
        self.former_owner = Some(FormerOwner::new(former_epoch, authority));
        self.keys = (0..WORKERS)
            .map(|machine| self.restore(machine, &stored_incarnations))
            .collect();
        self.restore_crashed();
    }

    /// Adds a worker to the new planner from its row, and then from its registration.
    fn restore(
        &mut self,
        machine: usize,
        stored_incarnations: &HashMap<String, Option<u64>>,
    ) -> WorkerKey {
        let info: WorkerInfo = self.info(machine);
        // The row holds the largest capacity that the worker has had, and the incarnation that
        // the former owner stored.
        let row = WorkerInfo {
            incarnation: stored_incarnations
                .get(&info.id)
                .copied()
                .unwrap_or(info.incarnation),
            ..support::worker(&info.id)
        };
        let key = self.planner.restore_worker(row);
        if !self.workers[machine].down {
            self.planner.register_worker(info);
        }
        key.expect("a new worker")
    }

    /// Sends a renewal from the former owner to a worker, which the successor may be unable to
    /// reach.
    fn renew_by_former(&mut self, pick: u8) {
        let machine = usize::from(pick) % WORKERS;
        let Some(former_owner) = &mut self.former_owner else {
            return;
        };
        if !FormerOwner::reaches(machine, pick) {
            return;
        }
        let worker = &mut self.workers[machine];
        if worker.fence > former_owner.epoch {
            self.former_owner = None;
            return;
        }
        let lease = former_owner.renew(machine, self.now);
        worker.lease = lease.map_or(worker.lease, |lease| worker.lease.max(lease));
    }

    /// Carries out an event, and checks the job statuses. Panics if an invariant is violated.
    pub fn step(&mut self, event: Event) {
        let machine = usize::from(event.pick) % WORKERS;
        match event.kind % 16 {
            0 if event.pick >= 240 && self.organisations.is_some() => {
                self.change_limit(event.pick);
            }
            0 => self.submit(event.pick),
            1..=3 => self.renew_lease(machine),
            5 if event.pick >= 200 && self.repeated.is_some() => self.read_jobs(),
            4 | 5 => self.plan(event.pick),
            6 => self.end_run(machine, event.pick, RunEnd::Done),
            7 => self.end_run(machine, event.pick, RunEnd::Failed),
            8 => self.begin_save(),
            9 => self.end_save(event.pick.is_multiple_of(3)),
            10 => self.advance(Duration::from_millis(u64::from(event.pick) * 20)),
            11 => self.deliver_late(event.pick),
            12 if event.pick.is_multiple_of(4) => {
                self.take_over();
                // The former owner may still reach workers that the successor cannot reach.
                for worker in &mut self.workers[1..] {
                    worker.cut_off = event.pick.is_multiple_of(8);
                }
            }
            12 => self.cancel(event.pick),
            13 | 14 => self.renew_by_former(event.pick),
            _ => self.workers[machine].cut_off = event.pick.is_multiple_of(2),
        }
        self.check_statuses();
    }

    /// Advances the time, ends stopping runs, and ends all runs on workers whose lease has expired.
    fn advance(&mut self, by: Duration) {
        self.now += by;
        self.read_due_jobs();
        for worker in &mut self.workers {
            let stopped = worker.stopping.iter();
            let stopped = stopped.filter(|(_, (_, since))| *since + STOP_TIME <= self.now);
            let stopped: Vec<TaskKey> = stopped.map(|(task, _)| *task).collect();
            for task in stopped {
                worker.end(task, RunEnd::Stopped);
            }
            if worker.lease <= self.now {
                worker.expired_ends = worker.end_count;
                let active = worker.running.keys().chain(worker.stopping.keys());
                let tasks: Vec<TaskKey> = active.copied().collect();
                for task in tasks {
                    worker.end(task, RunEnd::Expired);
                }
            }
        }
    }

    fn submit(&mut self, pick: u8) {
        self.follow_jobs();
        let id = self.jobs.len() as JobId + 1;
        let mut first = support::step(u32::from(pick % 5) + 1);
        first.gang = pick.is_multiple_of(7);
        first.checkpointed = pick.is_multiple_of(3);
        let mut second = support::step(2);
        second.after = vec![0];
        let steps = if pick.is_multiple_of(2) {
            vec![first]
        } else {
            vec![first, second]
        };
        let mut spec = support::spec(steps);
        // Different priorities and deadlines let gangs preempt less urgent jobs.
        spec.queue.priority = u32::from(pick % 3);
        spec.queue.slack = Duration::from_secs(u64::from(pick % 16));
        self.schedule(&mut spec, pick);
        self.assign_organisation(id, &mut spec);
        self.jobs.insert(id, spec.clone());
        self.planner.add_job(id, spec, None, false);
    }

    fn cancel(&mut self, pick: u8) {
        let id = u64::from(pick) % (self.jobs.len() as u64 + 1);
        let Some(spec) = self.jobs.get_mut(&id) else {
            return;
        };
        spec.canceled = true;
        self.planner.add_job(id, spec.clone(), None, false);
    }

    /// Sends a renewal, which claims the worker and extends its lease, and passes in the worker
    /// report.
    fn renew_lease(&mut self, machine: usize) {
        self.planner.advance(self.now);
        let key = self.keys[machine];
        if self.planner.worker_info(key).is_none() {
            return;
        }
        if self.workers[machine].cut_off || self.workers[machine].down {
            self.planner.mark_unresponsive(key);
            self.workers[machine].in_contact = false;
            return;
        }
        let token = self.token(machine);
        // A worker that reports its incarnation gets a lease only after it has replied, since the
        // owner does not have the clock of a new incarnation before.
        if self.workers[machine].in_contact || self.workers[machine].incarnation.is_none() {
            self.planner.extend_lease(key);
            let worker = &mut self.workers[machine];
            worker.lease = worker.lease.max(self.now + Policy::default().lease);
        }
        self.acknowledge(machine, key);
        let worker = &mut self.workers[machine];
        worker.fence = worker.fence.max(token);
        worker.in_contact = self
            .planner
            .worker_info(key)
            .is_some_and(|info| info.incarnation == worker.incarnation);
        let worker_report = WorkerReport {
            incarnation: worker.incarnation,
            clock: self.now,
            running: worker
                .running
                .iter()
                .chain(&worker.stopping)
                .map(|(&task, &(run, _))| ActiveRun {
                    task,
                    run,
                    checkpoint: String::new(),
                    percent: 0,
                })
                .collect(),
            ended: worker
                .ended
                .iter()
                .filter(|end| end.number > worker.acked)
                .cloned()
                .collect(),
            more_ends: false,
        };
        self.planner.apply_report(key, self.now, &worker_report);
        // The planner requests another report if this one came from an incarnation that it does
        // not have yet.
        if self.workers[machine].in_contact {
            let worker = &mut self.workers[machine];
            let running = worker.running.iter();
            worker
                .reported
                .extend(running.map(|(&task, &(run, _))| (task, run)));
            self.check_reported(machine);
        }
    }

    fn plan(&mut self, pick: u8) {
        self.planner.advance(self.now);
        self.planner.plan();
        for (nth, command) in self.planner.take_commands().into_iter().enumerate() {
            let worker = match &command {
                Command::Start { worker, .. } | Command::Stop { worker, .. } => *worker,
                Command::NewIncarnation { worker } => {
                    self.record_incarnation(*worker);
                    continue;
                }
                Command::Disconnect { .. } => continue,
            };
            let Some(machine) = self.keys.iter().position(|key| *key == worker) else {
                continue;
            };
            let sent = SentCommand {
                worker: machine,
                id: self.id(machine),
                incarnation: self.target_incarnation(machine),
                token: self.token(machine),
                sent_at: self.now,
                lease: self.now + Policy::default().lease,
                command,
            };
            // Some commands get no reply, and some of those are carried out late.
            if (nth + usize::from(pick)).is_multiple_of(5)
                || self.workers[machine].cut_off
                || self.workers[machine].down
            {
                self.lose_reply(&sent);
                self.late.push(sent);
            } else {
                self.carry_out(&sent, true);
            }
        }
        self.now += Duration::from_millis(1);
    }

    /// Ends a run on a machine, and with it the other members of a gang.
    fn end_run(&mut self, machine: usize, pick: u8, how: RunEnd) {
        let worker = &mut self.workers[machine];
        let tasks: Vec<TaskKey> = worker.running.keys().copied().collect();
        if tasks.is_empty() {
            return;
        }
        let task = tasks[usize::from(pick) % tasks.len()];
        worker.end(task, how);
        match how {
            RunEnd::Done => {
                self.done.insert(task);
            }
            RunEnd::Failed => self.record_failure(task),
            _ => {}
        }
        self.started.insert(task.step.job);
        let gang = self.jobs[&task.step.job].steps[task.step.step as usize].gang;
        if gang {
            let other_end = if how == RunEnd::Done {
                RunEnd::Done
            } else {
                RunEnd::GangBroken
            };
            for worker in &mut self.workers {
                let members: Vec<TaskKey> = worker
                    .running
                    .keys()
                    .filter(|other| other.step == task.step)
                    .copied()
                    .collect();
                for member in members {
                    worker.end(member, other_end);
                }
            }
        }
    }

    fn begin_save(&mut self) {
        if self.saving.is_none() {
            self.saving = Some((self.now, self.planner.take_batch(3)));
        }
    }

    fn end_save(&mut self, fails: bool) {
        let Some((save_start, batch)) = self.saving.take() else {
            return;
        };
        if fails {
            self.planner.batch_failed(&batch);
            return;
        }
        self.authority.record_write(save_start);
        for (id, progress) in &batch.jobs {
            self.stored.insert(*id, progress.clone());
        }
        self.planner.batch_saved(&batch);
        for (key, number) in &batch.ends {
            if let Some(machine) = self.keys.iter().position(|one| one == key) {
                self.record_stored(machine, *number);
            }
        }
    }

    /// Records the stored ends up to `number` as acknowledged, if the worker can be reached.
    fn record_acked(&mut self, machine: usize, number: u64) {
        let worker = &mut self.workers[machine];
        if worker.cut_off {
            return;
        }
        for end in &worker.ended {
            let counts = end.number > worker.acked.max(worker.expired_ends) && end.number <= number;
            match end.how {
                RunEnd::Done if counts => {
                    self.acked_done.insert(end.task, end.run);
                }
                RunEnd::Failed if counts => {
                    let failures = self.acked_failures.entry(end.task).or_default();
                    failures.insert(end.run);
                }
                _ => {}
            }
        }
        worker.acked = worker.acked.max(number);
    }
}
