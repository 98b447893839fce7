//! Simulates the surroundings of a shard in memory: table, workers, links and
//! callers. This module holds the state and dispatches the steps; each part has
//! a module of its own.

mod callers;
mod fixtures;
mod invariants;
mod owner;
mod starts;
mod step;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use shard::Input;
use shard::Ledger;
use shard::Machine;
use shard::Output;
use shard::Record;
use shard::Ticket;
use shard::Times;
use shard::WaiterKey;
use slotmap::SlotMap;

use self::fixtures::incarnation_number;
use self::fixtures::machine;
use self::fixtures::worker_index;
use self::starts::StartInFlight;
use self::workers::FakeWorker;

pub use self::step::Step;

/// Number of workers of the shard.
const WORKERS: usize = 2;

/// Slots of each worker.
const SLOTS: u32 = 2;

/// A shard with its simulated surroundings.
#[derive(Debug)]
pub struct Simulation {
    /// Disables the workers' epoch check: they accept starts of any epoch.
    pub skip_fencing: bool,
    machine: Machine,
    epoch: u64,
    times: Times,
    workers: Vec<FakeWorker>,
    in_flight: Vec<StartInFlight>,
    /// Records that are not committed yet.
    queued: Vec<(Ticket, Vec<Record>)>,
    /// Committed records, from which a successor recovers.
    committed: Vec<Record>,
    /// Calls without a reply, with the key of the submitted request; empty for a
    /// cancel call.
    waiters: SlotMap<WaiterKey, String>,
    /// Number of accepted starts by request key.
    starts: BTreeMap<String, u32>,
    /// Keys of the requests that were answered "not run".
    not_run: BTreeSet<String>,
    /// Wall-clock time of the first submission in milliseconds, by request number.
    first_sent: BTreeMap<u8, u64>,
    /// Log of steps, inputs and outputs for the message of a failed check.
    history: Vec<String>,
}

impl Simulation {
    /// A shard that has claimed its workers, which are idle.
    pub fn new() -> Simulation {
        let times = Times {
            now: Duration::ZERO,
            wall_millis: 1_000_000,
        };
        let mut sim = Simulation {
            skip_fencing: false,
            machine: machine(Ledger::default(), times, 1),
            epoch: 1,
            times,
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            in_flight: Vec::new(),
            queued: Vec::new(),
            committed: Vec::new(),
            waiters: SlotMap::with_key(),
            starts: BTreeMap::new(),
            not_run: BTreeSet::new(),
            first_sent: BTreeMap::new(),
            history: Vec::new(),
        };
        sim.set_workers();
        for worker in 0..WORKERS {
            sim.claim(worker);
            sim.deliver_reports(worker);
        }
        sim
    }

    /// Applies one step. There are six requests, with the numbers 0 to 5.
    pub fn apply(&mut self, step: &Step) {
        self.history.push(format!("{step:?}"));
        match step {
            Step::Submit(number) => self.submit(number % 6),
            Step::Commit => self.commit_next(),
            Step::Arrive(index) => self.arrive(usize::from(*index)),
            Step::Refuse(index) => self.refuse(usize::from(*index)),
            Step::End(index) => self.end(usize::from(*index)),
            Step::RepeatEnds(index) => self.repeat_ends(usize::from(*index) % WORKERS),
            Step::Restart(index) => self.restart(usize::from(*index) % WORKERS),
            Step::Claim(index) => self.claim(usize::from(*index) % WORKERS),
            Step::DeliverReports(index) => self.deliver_reports(usize::from(*index) % WORKERS),
            Step::ExpireLease(index) => self.expire_lease(usize::from(*index) % WORKERS),
            Step::Wait(tenths) => self.wait(u64::from(*tenths % 8) * 100),
            Step::Cancel(number) => self.cancel(number % 6),
            Step::CrashOwner => self.crash_owner(),
        }
    }

    /// Delivers everything that is under way, and lets 60 s pass, within which all
    /// requests must be answered.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            self.commit_next();
            while !self.in_flight.is_empty() {
                self.arrive(0);
            }
            for worker in 0..WORKERS {
                self.claim(worker);
                self.deliver_reports(worker);
                self.end(worker);
                self.end(worker + 1);
                self.repeat_ends(worker);
            }
            self.wait(1000);
        }
        let open = self
            .machine
            .ledger()
            .iter()
            .filter(|(_, entry)| entry.answer().is_none());
        let open: Vec<String> = open
            .map(|(key, entry)| format!("{key}: {:?}", entry.stage))
            .collect();
        assert!(open.is_empty(), "never answered: {open:?}");
    }

    fn feed(&mut self, input: Input) {
        self.history.push(format!("  in {input:?}"));
        for output in self.machine.handle(self.times, input) {
            self.history.push(format!("  out {output:?}"));
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Append(ticket, records) => self.queued.push((ticket, records)),
            Output::Start(worker, message) => {
                let worker = worker_index(&worker);
                self.in_flight.push(StartInFlight {
                    worker,
                    epoch: self.epoch,
                    incarnation: incarnation_number(&message.incarnation),
                    message,
                });
            }
            Output::Stop(worker, attempt, _) => self.stop(worker_index(&worker), &attempt),
            Output::Forget(worker, attempts) => {
                self.workers[worker_index(&worker)].forget(attempts);
            }
            Output::Reply(waiter, reply) => self.on_reply(waiter, &reply),
            Output::Event(_) | Output::Link(_) | Output::Unlink(_) | Output::Offload(..) => {}
        }
    }
}
