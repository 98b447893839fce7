//! State machine of one shard: it contains all scheduling rules and does no
//! I/O. The shard's task feeds it inputs and carries out its outputs, so tests
//! can drive it with messages that are lost, repeated or out of order.

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
use sched::Timestamp;
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

/// Fixed parameters of a shard's state machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineParams {
    /// Number of the shard.
    pub shard: ShardId,
    /// Number of shards in the cell.
    pub shards: u16,
    /// Epoch of this owner.
    pub epoch: Epoch,
    /// When this owner took the shard over, in milliseconds since 1970; 0 if
    /// the shard had no former owner. Of unrecorded requests that former owners
    /// ran, this owner learns only what the workers still report.
    pub takeover_millis: u64,
    /// How long final answers are kept.
    pub retention: Duration,
    /// Time from which tasks that former owners placed on workers that could
    /// not be claimed are settled as unreachable.
    pub claim_deadline: Timestamp,
}

/// Action that follows once its record has been committed.
#[derive(Clone, Debug)]
pub(crate) enum PendingRecord {
    /// Sending the starts of an attempt: request key and attempt number.
    Intent(String, u32),
    /// Answering a request: its key.
    End(String),
    /// Confirming the acceptance of a request: its key.
    Accepted(String),
    /// Answering the requests of a cancel call, and the call itself.
    Cancelled(CancelCall),
}

/// A cancel call whose record is being committed.
#[derive(Clone, Debug)]
pub(crate) struct CancelCall {
    /// Keys of the requests that this call cancelled.
    pub(crate) keys: Vec<String>,
    /// Number of requests that this call cancelled or asked to stop, or that an
    /// earlier call had already cancelled.
    pub(crate) count: u32,
    /// Waiter of the call's reply.
    pub(crate) waiter: WaiterKey,
}

/// State machine of one shard.
#[derive(Debug)]
pub struct Machine {
    pub(crate) params: MachineParams,
    pub(crate) times: Times,
    pub(crate) core: Core<Weighted>,
    pub(crate) ledger: Ledger,
    pub(crate) config: Arc<VersionedConfig>,
    /// Request keys of the jobs in the scheduling core.
    pub(crate) request_keys: HashMap<JobKey, String>,
    /// The shard's current workers.
    pub(crate) workers: HashMap<WorkerId, WorkerHost>,
    /// Workers that left the host list but may still run tasks.
    pub(crate) retiring: Vec<WorkerId>,
    /// Workers that have refused a start, and the time until which they get no
    /// further starts.
    pub(crate) paused_workers: Vec<(Timestamp, WorkerId)>,
    /// Keys of new requests that may be offloaded to another shard.
    pub(crate) offload_candidates: VecDeque<String>,
    /// Keys of waiting requests that are offered to other shards again on ticks.
    pub(crate) offload_retries: VecDeque<String>,
    /// Incarnations of the workers that this owner has claimed.
    pub(crate) incarnations: HashMap<WorkerId, model::Incarnation>,
    /// Actions that wait for the commit of their record, by ticket.
    pub(crate) pending: BTreeMap<Ticket, Vec<PendingRecord>>,
    pub(crate) outputs: Vec<Output>,
    /// Records of the current input, appended to the journal when it has been
    /// handled.
    pub(crate) records: Vec<Record>,
    /// Records of the requests that have ended since the last segment.
    pub(crate) ended: Vec<Record>,
    next_ticket: Ticket,
    next_probe: Timestamp,
    /// Whether the table has left a journal commit unconfirmed and has confirmed
    /// none since.
    pub(crate) journal_stalled: bool,
    /// Whether the shard is being handed over to another process.
    pub(crate) released: bool,
}

impl Machine {
    /// A machine that continues from the state recorded by former owners.
    #[must_use]
    pub fn new(
        params: MachineParams,
        ledger: Ledger,
        config: Arc<VersionedConfig>,
        times: Times,
    ) -> Machine {
        let mut machine = Machine {
            params,
            times,
            core: Core::new(Weighted::default()),
            ledger,
            config,
            request_keys: HashMap::new(),
            workers: HashMap::new(),
            retiring: Vec::new(),
            paused_workers: Vec::new(),
            offload_candidates: VecDeque::new(),
            offload_retries: VecDeque::new(),
            incarnations: HashMap::new(),
            pending: BTreeMap::new(),
            outputs: Vec::new(),
            records: Vec::new(),
            ended: Vec::new(),
            next_ticket: 1,
            next_probe: times.now + PROBE_INTERVAL,
            journal_stalled: false,
            released: false,
        };
        machine.apply_config();
        machine.requeue_recovered();
        machine
    }

    /// Handles one input and returns the outputs in the order in which they
    /// arose.
    pub fn handle(&mut self, times: Times, input: Input) -> Vec<Output> {
        self.times = times;
        self.resume_paused();
        match input {
            Input::Ask(ask, waiter) => self.on_ask(ask, waiter),
            Input::Config(config) => self.on_config(config),
            Input::Workers(workers) => self.on_workers(workers),
            Input::Claimed(worker, claimed) => self.on_claimed(&worker, claimed),
            Input::WorkerLost(worker) => self.on_worker_lost(&worker),
            Input::WorkerRefused(worker) => self.on_worker_refused(&worker, "to be claimed again"),
            Input::LeaseExpired(worker) => self.on_lease_expired(&worker),
            Input::WorkerReassigned(worker) => self.on_worker_reassigned(&worker),
            Input::Started(attempt) => self.on_started(&attempt),
            Input::NotStarted(attempt, reason) => self.on_not_started(&attempt, reason),
            Input::Ended(worker, tasks) => self.on_ended(&worker, tasks),
            Input::Written(ticket) => self.on_written(ticket),
            Input::JournalStalled => self.on_journal_stalled(),
            Input::OffloadDone(key, result) => self.on_offload_done(&key, result),
            Input::Tick => self.on_tick(),
            Input::Release => self.on_release(),
        }
        self.decide();
        if !self.released {
            self.offload_new();
        }
        self.flush_records();
        std::mem::take(&mut self.outputs)
    }

    /// Configuration in force.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config.config
    }

    /// The scheduling core, for metrics and tests.
    #[must_use]
    pub fn core(&self) -> &Core<Weighted> {
        &self.core
    }

    /// The requests, for metrics and tests.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Earliest deadline of the queued requests, by which the machine needs an
    /// input; `None` if no request is queued.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        self.core.queues().next_deadline()
    }

    /// Applies a configuration, unless it is older than the current one.
    fn on_config(&mut self, config: Arc<VersionedConfig>) {
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        self.apply_config();
    }

    /// Passes the shard's grants and the policy of the current configuration to
    /// the core.
    fn apply_config(&mut self) {
        let grants =
            crate::shard_grants(&self.config.config, self.params.shard, self.params.shards);
        self.core.grant(&grants);
        self.core.set_policy(Weighted {
            pack_percent: self.config.config.pack_percent,
        });
    }

    /// Checks what depends on time: answers whose retention has ended, probes of
    /// quarantined workers, intents past their deadline, retired workers, retries
    /// of offloads, and workers that could not be claimed in time.
    fn on_tick(&mut self) {
        self.ledger
            .remove_expired(self.times.now, self.params.retention);
        if self.times.now >= self.next_probe {
            self.next_probe = self.times.now + PROBE_INTERVAL;
            self.core.allow_probes();
        }
        self.fail_overdue_intents();
        self.unlink_retired();
        if !self.released {
            self.retry_offloads();
        }
        if self.times.now >= self.params.claim_deadline {
            self.settle_unclaimed();
        }
    }

    /// Redirects the waiting callers to the next owner. Running tasks continue;
    /// their workers report to the next owner once it has claimed them.
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

    /// Carries out the core's decisions, unless the shard is being handed over.
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

    /// Answers the request of a job whose latest start has passed.
    fn expire(&mut self, job: JobKey) {
        let Some(key) = self.request_keys.remove(&job) else {
            return;
        };
        self.finish_past_deadline(&key);
    }

    /// Ends a request that can no longer start before its deadline. If an
    /// earlier attempt may have started, the answer must say so: with "not
    /// run", the caller would repeat work that had partly run.
    pub(crate) fn finish_past_deadline(&mut self, key: &str) {
        if self.ledger.get(key).is_some_and(Entry::may_have_run) {
            let reason = "interrupted, and no room before its deadline";
            self.finish_without_output(key, Code::HostLost, reason);
        } else {
            self.finish_without_output(key, Code::DeadlinePassed, "its latest start has passed");
        }
    }

    /// Adds a record to the next commit; `pending` follows once it is in the
    /// table.
    pub(crate) fn append(&mut self, record: Record, pending: PendingRecord) {
        self.records.push(record);
        self.pending
            .entry(self.next_ticket)
            .or_default()
            .push(pending);
    }

    /// Appends all records of one input under one ticket.
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
        let event = event.shard(self.params.shard);
        self.outputs.push(Output::Event(event));
    }
}
