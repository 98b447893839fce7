//! State machine of one shard: all its rules, no I/O. The task that runs it
//! feeds it inputs and carries out its outputs, so tests can drive it with
//! messages that are lost, repeated or out of order.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use event::Event;
use model::Code;
use model::Config;
use model::Epoch;
use model::ShardId;
use model::VersionedConfig;
use model::WorkerId;
use sched::Core;
use sched::Decision;
use sched::JobKey;
use sched::Now;
use sched::Weighted;

use crate::Entry;
use crate::Input;
use crate::Ledger;
use crate::Output;
use crate::Record;
use crate::ShardReply;
use crate::Ticket;
use crate::Times;
use crate::WaiterKey;
use crate::WorkerHost;

/// Interval at which quarantined workers get a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Fixed facts of a shard's machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineFacts {
    /// Number of the shard.
    pub shard: ShardId,
    /// Number of shards of the cell.
    pub shards: u16,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// When this owner took the shard over, in milliseconds since 1970; 0 if
    /// there was no owner before. Of what earlier owners ran without a record
    /// it knows only what the workers still report.
    pub since_millis: u64,
    /// Longest time for which answers are remembered.
    pub retention: Duration,
    /// When the tasks of workers that could not be claimed count as missing.
    pub missing_at: Now,
}

/// What waits for a commit.
#[derive(Clone, Debug)]
pub(crate) enum Pending {
    /// Starts of an attempt.
    Intent(String, u32),
    /// The end of a request.
    End(String),
    /// The acceptance of a request.
    Accepted(String),
    /// The ends of a cancel call.
    Cancelled(Withdrawn),
}

/// Requests withdrawn by one cancel call.
#[derive(Clone, Debug)]
pub(crate) struct Withdrawn {
    /// Their keys.
    pub(crate) keys: Vec<String>,
    /// All that the call cancelled or asked to stop, and those that an
    /// earlier call had cancelled.
    pub(crate) count: u32,
    /// Who made the call.
    pub(crate) waiter: WaiterKey,
}

/// State machine of one shard.
#[derive(Debug)]
pub struct Machine {
    pub(crate) facts: MachineFacts,
    pub(crate) times: Times,
    pub(crate) core: Core<Weighted>,
    pub(crate) ledger: Ledger,
    pub(crate) config: Arc<VersionedConfig>,
    pub(crate) keys: HashMap<JobKey, String>,
    pub(crate) workers: HashMap<WorkerId, WorkerHost>,
    /// Workers that left the host list, but may still run tasks.
    pub(crate) retiring: Vec<WorkerId>,
    /// Workers that have refused a start, and until when they are left alone.
    pub(crate) held: Vec<(Now, WorkerId)>,
    /// New requests that may be lent, and those that nobody had room for.
    pub(crate) lendable: VecDeque<String>,
    pub(crate) unlent: VecDeque<String>,
    pub(crate) runs: HashMap<WorkerId, model::Incarnation>,
    pub(crate) pending: BTreeMap<Ticket, Vec<Pending>>,
    pub(crate) outputs: Vec<Output>,
    /// Records that go into the next commit.
    pub(crate) records: Vec<Record>,
    /// Ends since the last segment.
    pub(crate) ended: Vec<Record>,
    next_ticket: Ticket,
    next_probe: Now,
    /// Whether the table takes records for now.
    pub(crate) stalled: bool,
    /// Whether the shard moves away.
    pub(crate) released: bool,
}

impl Machine {
    /// A machine that goes on from what an earlier owner had recorded.
    #[must_use]
    pub fn new(
        facts: MachineFacts,
        ledger: Ledger,
        config: Arc<VersionedConfig>,
        times: Times,
    ) -> Machine {
        let mut machine = Machine {
            facts,
            times,
            core: Core::new(Weighted::default()),
            ledger,
            config,
            keys: HashMap::new(),
            workers: HashMap::new(),
            retiring: Vec::new(),
            held: Vec::new(),
            lendable: VecDeque::new(),
            unlent: VecDeque::new(),
            runs: HashMap::new(),
            pending: BTreeMap::new(),
            outputs: Vec::new(),
            records: Vec::new(),
            ended: Vec::new(),
            next_ticket: 1,
            next_probe: times.now + PROBE_INTERVAL,
            stalled: false,
            released: false,
        };
        machine.apply_config();
        machine.requeue_recovered();
        machine
    }

    /// Takes in one input; the outputs stand in the order of their causes.
    pub fn handle(&mut self, times: Times, input: Input) -> Vec<Output> {
        self.times = times;
        self.release_held();
        match input {
            Input::Ask(ask, waiter) => self.on_ask(ask, waiter),
            Input::Config(config) => self.on_config(config),
            Input::Workers(workers) => self.on_workers(workers),
            Input::Claimed(worker, claimed) => self.on_claimed(&worker, claimed),
            Input::WorkerLost(worker) => self.on_worker_lost(&worker),
            Input::WorkerRefused(worker) => self.on_worker_refused(&worker, "to be claimed again"),
            Input::LeaseOver(worker) => self.on_lease_over(&worker),
            Input::WorkerTaken(worker) => self.on_worker_taken(&worker),
            Input::Started(attempt) => self.on_started(&attempt),
            Input::NotStarted(attempt, reason) => self.on_not_started(&attempt, reason),
            Input::Ended(worker, tasks) => self.on_ended(&worker, tasks),
            Input::Written(ticket) => self.on_written(ticket),
            Input::Stalled => self.on_stalled(),
            Input::Lent(key, loan) => self.on_lent(&key, loan),
            Input::Tick => self.on_tick(),
            Input::Release => self.on_release(),
        }
        self.decide();
        if !self.released {
            self.lend_new();
        }
        self.flush_records();
        std::mem::take(&mut self.outputs)
    }

    /// Configuration in force.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config.config
    }

    /// The decision core, for metrics and tests.
    #[must_use]
    pub fn core(&self) -> &Core<Weighted> {
        &self.core
    }

    /// The requests, for metrics and tests.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// When the next tick is due at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Now> {
        self.core.queues().next_deadline()
    }

    fn on_config(&mut self, config: Arc<VersionedConfig>) {
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        self.apply_config();
    }

    fn apply_config(&mut self) {
        let grants = crate::shard_grants(&self.config.config, self.facts.shard, self.facts.shards);
        self.core.grant(&grants);
        self.core.set_policy(Weighted {
            pack_percent: self.config.config.pack_percent,
        });
    }

    fn on_tick(&mut self) {
        self.ledger.forget(self.times.now, self.facts.retention);
        if self.times.now >= self.next_probe {
            self.next_probe = self.times.now + PROBE_INTERVAL;
            self.core.allow_probes();
        }
        self.give_up_recording();
        self.unlink_retired();
        if !self.released {
            self.lend_again();
        }
        if self.times.now >= self.facts.missing_at {
            self.settle_missing();
        }
    }

    /// Callers are sent to the next owner. What runs goes on running; its
    /// workers report to whoever claims them next.
    fn on_release(&mut self) {
        self.released = true;
        let mut waiters = Vec::new();
        for (_, entry) in self.ledger.iter_mut() {
            waiters.append(&mut entry.waiters);
        }
        for waiter in waiters {
            self.reply(waiter, ShardReply::Moved);
        }
    }

    fn decide(&mut self) {
        if self.released {
            return;
        }
        for decision in self.core.decide(self.times.now) {
            match decision {
                Decision::Start { job, workers } => self.start(job, &workers),
                Decision::Expire { job } => self.expire(job),
            }
        }
    }

    fn expire(&mut self, job: JobKey) {
        let Some(key) = self.keys.remove(&job) else {
            return;
        };
        self.finish_too_late(&key);
    }

    /// Ends a request that can't start any more. An earlier attempt counts
    /// wherever this is noticed; left out, the caller of work that ran in part
    /// is told "not run" and does it again.
    pub(crate) fn finish_too_late(&mut self, key: &str) {
        if self.ledger.get(key).is_some_and(Entry::touched) {
            let reason = "interrupted, and no room before its deadline";
            self.finish_bare(key, Code::HostLost, reason);
        } else {
            self.finish_bare(key, Code::DeadlinePassed, "its latest start has passed");
        }
    }

    pub(crate) fn append(&mut self, record: Record, pending: Pending) {
        self.records.push(record);
        self.pending
            .entry(self.next_ticket)
            .or_default()
            .push(pending);
    }

    /// One ticket for all records of one input.
    fn flush_records(&mut self) {
        if self.records.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.records);
        self.outputs.push(Output::Append(self.next_ticket, records));
        self.next_ticket += 1;
    }

    pub(crate) fn reply(&mut self, waiter: WaiterKey, reply: ShardReply) {
        self.outputs.push(Output::Reply(waiter, reply));
    }

    pub(crate) fn event(&mut self, event: Event) {
        let event = event.shard(self.facts.shard);
        self.outputs.push(Output::Event(event));
    }
}
