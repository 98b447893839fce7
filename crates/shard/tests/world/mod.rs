//! A shard's surroundings in memory: table, workers, links and callers. Here
//! are the world's state and its dispatch; each part has a file of its own.

mod callers;
mod facts;
mod owner;
mod rules;
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

use self::facts::index_of;
use self::facts::machine;
use self::facts::run_number;
use self::starts::Flying;
use self::workers::FakeWorker;

pub use self::step::Step;

/// Workers of the shard.
const WORKERS: usize = 2;

/// Slots of each worker.
const SLOTS: u32 = 2;

/// A shard's surroundings.
#[derive(Debug)]
pub struct World {
    /// A guard taken out: workers accept starts of any epoch.
    pub unfenced: bool,
    machine: Machine,
    epoch: u64,
    times: Times,
    workers: Vec<FakeWorker>,
    flying: Vec<Flying>,
    queued: Vec<(Ticket, Vec<Record>)>,
    committed: Vec<Record>,
    waiters: SlotMap<WaiterKey, String>,
    starts: BTreeMap<String, u32>,
    not_run: BTreeSet<String>,
    first_sent: BTreeMap<u8, u64>,
    /// What happened, for the message of a failure.
    history: Vec<String>,
}

impl World {
    /// A shard with idle workers that it has claimed.
    pub fn new() -> World {
        let times = Times {
            now: Duration::ZERO,
            wall_millis: 1_000_000,
        };
        let mut world = World {
            unfenced: false,
            machine: machine(Ledger::default(), times, 1),
            epoch: 1,
            times,
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            flying: Vec::new(),
            queued: Vec::new(),
            committed: Vec::new(),
            waiters: SlotMap::with_key(),
            starts: BTreeMap::new(),
            not_run: BTreeSet::new(),
            first_sent: BTreeMap::new(),
            history: Vec::new(),
        };
        world.link_all();
        for worker in 0..WORKERS {
            world.claim(worker);
            world.hear(worker);
        }
        world
    }

    /// Lets one thing happen.
    pub fn apply(&mut self, step: &Step) {
        self.history.push(format!("{step:?}"));
        match step {
            Step::Submit(number) => self.submit(number % 6),
            Step::Write => self.write(),
            Step::Arrive(index) => self.arrive(usize::from(*index)),
            Step::Refuse(index) => self.refuse(usize::from(*index)),
            Step::End(index) => self.end(usize::from(*index)),
            Step::Repeat(index) => self.repeat(usize::from(*index) % WORKERS),
            Step::Restart(index) => self.restart(usize::from(*index) % WORKERS),
            Step::Claim(index) => self.claim(usize::from(*index) % WORKERS),
            Step::Hear(index) => self.hear(usize::from(*index) % WORKERS),
            Step::LeaseOver(index) => self.lease_over(usize::from(*index) % WORKERS),
            Step::Wait(tenths) => self.wait(u64::from(*tenths % 8) * 100),
            Step::Cancel(number) => self.cancel(number % 6),
            Step::Die => self.die(),
        }
    }

    /// Lets everything that is under way come to its end.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            self.write();
            while !self.flying.is_empty() {
                self.arrive(0);
            }
            for worker in 0..WORKERS {
                self.claim(worker);
                self.hear(worker);
                self.end(worker);
                self.end(worker + 1);
                self.repeat(worker);
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
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Append(ticket, records) => self.queued.push((ticket, records)),
            Output::Start(worker, order) => {
                let worker = index_of(&worker);
                self.flying.push(Flying {
                    worker,
                    epoch: self.epoch,
                    run: run_number(&order.incarnation),
                    order,
                });
            }
            Output::Stop(worker, attempt, _) => self.stop(index_of(&worker), &attempt),
            Output::Forget(worker, attempts) => {
                self.workers[index_of(&worker)].forget(attempts);
            }
            Output::Reply(waiter, reply) => self.replied(waiter, &reply),
            Output::Event(_) | Output::Link(_) | Output::Unlink(_) | Output::Lend(..) => {}
        }
    }
}
