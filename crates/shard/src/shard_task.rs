//! Task that runs one shard: feeds its state machine and carries out the
//! outputs. It holds the journal's channels, the links to the workers and the
//! waiting callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event::Event;
use event::Kind;
use event::wall_millis;
use model::Epoch;
use model::ShardId;
use model::VersionedConfig;
use model::WorkerId;
use slotmap::SlotMap;
use store::HostList;
use store::ObjectStore;
use store::Table;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use worker::Fence;

use crate::Context;
use crate::Input;
use crate::JOURNAL_ROWS;
use crate::Journal;
use crate::JournalCommand;
use crate::JournalEvent;
use crate::Link;
use crate::LinkCommand;
use crate::LinkParams;
use crate::Machine;
use crate::MachineParams;
use crate::Offloader;
use crate::Output;
use crate::RecoveredShard;
use crate::Router;
use crate::Segment;
use crate::SegmentList;
use crate::SegmentRef;
use crate::Seq;
use crate::ShardAsk;
use crate::ShardReply;
use crate::Submission;
use crate::Times;
use crate::View;
use crate::WaiterKey;
use crate::WorkerHost;
use crate::encode_row;
use crate::segment_name;

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(100);

/// Maximum number of further inputs handled in a row before other events.
const INPUTS_AT_ONCE: usize = 64;

/// Messages to the task of a shard.
#[derive(Debug)]
pub enum ShardTaskMessage {
    /// A call, and the sender for its reply.
    Ask(ShardAsk, oneshot::Sender<ShardReply>),
    /// A new configuration version is in force.
    Config(Arc<VersionedConfig>),
    /// The shard's current workers.
    Workers(Vec<WorkerHost>),
    /// Another process owns the shard: redirect all callers, then end. This
    /// needs a message: callers that wait for a reply own senders of the
    /// inbox, so the inbox does not close when the shard manager drops its
    /// sender.
    Drop,
    /// Accept no more calls, finish the journal, then end.
    Release(oneshot::Sender<()>),
}

/// Why the task of a shard has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardTaskEnd {
    /// The shard was released for a hand-over.
    Released,
    /// Another process owns the shard.
    Fenced,
    /// All senders of the inbox are gone, as the process is stopping.
    Closed,
}

/// Result of storing a segment; a failed one is returned.
type StoredSegment = Result<(Segment, SegmentRef), Segment>;

/// Task that runs one shard.
#[derive(Debug)]
pub struct ShardTask<T, O, H> {
    context: Arc<Context<T, O, H>>,
    shard: ShardId,
    epoch: Epoch,
    started_at: Instant,
    machine: Machine,
    inbox: mpsc::UnboundedReceiver<ShardTaskMessage>,
    inputs: mpsc::UnboundedReceiver<Input>,
    input_sender: mpsc::UnboundedSender<Input>,
    journal_events: mpsc::UnboundedReceiver<JournalEvent>,
    journal: mpsc::UnboundedSender<JournalCommand>,
    links: HashMap<WorkerId, mpsc::UnboundedSender<LinkCommand>>,
    waiters: SlotMap<WaiterKey, oneshot::Sender<ShardReply>>,
    segments: SegmentList,
    stored: mpsc::UnboundedReceiver<StoredSegment>,
    stored_sender: mpsc::UnboundedSender<StoredSegment>,
    /// Whether a segment is being stored; at most one at a time.
    storing_segment: bool,
    offloader: Offloader,
    /// Number of the last batch that is in the table.
    written_seq: Seq,
    /// Notified when the journal is finished after a release.
    release_done: Option<oneshot::Sender<()>>,
}

impl<T: Table, O: ObjectStore, H: HostList> ShardTask<T, O, H> {
    /// Creates the task from the recovered state and starts its journal writer.
    #[must_use]
    pub fn new(
        context: Arc<Context<T, O, H>>,
        recovered: RecoveredShard,
        config: Arc<VersionedConfig>,
        view: watch::Receiver<Arc<View>>,
        inbox: mpsc::UnboundedReceiver<ShardTaskMessage>,
    ) -> ShardTask<T, O, H> {
        let position = recovered.position;
        let started_at = Instant::now();
        let times = Times {
            now: Duration::ZERO,
            wall_millis: wall_millis(),
        };
        let lease = context.timing.task_lease;
        let params = MachineParams {
            shard: position.shard,
            shards: context.shards,
            epoch: position.epoch,
            takeover_millis: if position.epoch > 1 {
                times.wall_millis
            } else {
                0
            },
            retention: context.timing.retention,
            claim_deadline: lease * 2,
        };
        let machine = Machine::new(params, recovered.ledger, config, times);
        let (input_sender, inputs) = mpsc::unbounded_channel();
        let (journal_event_sender, journal_events) = mpsc::unbounded_channel();
        let (journal, commands) = mpsc::unbounded_channel();
        let (stored_sender, stored) = mpsc::unbounded_channel();
        let router = Router::new(context.endpoint.clone(), context.shards, view);
        let offloader = Offloader::new(router, position.shard);
        let task = ShardTask {
            shard: position.shard,
            epoch: position.epoch,
            started_at,
            machine,
            inbox,
            inputs,
            input_sender,
            journal_events,
            journal,
            links: HashMap::new(),
            waiters: SlotMap::with_key(),
            segments: position.segments.clone(),
            stored,
            stored_sender,
            storing_segment: false,
            written_seq: position.next_seq.saturating_sub(1),
            release_done: None,
            offloader,
            context,
        };
        let table = task.context.table.clone();
        let pacer = task.context.pacer.clone();
        tokio::spawn(Journal::new(table, pacer, position, commands, journal_event_sender).run());
        task
    }

    /// Runs until released, fenced or closed.
    pub async fn run(mut self) -> ShardTaskEnd {
        self.record_event(Event::new(Kind::ShardServing));
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                event = self.journal_events.recv() => match event {
                    Some(JournalEvent::Fenced) => return self.close(ShardTaskEnd::Fenced),
                    Some(event) => self.on_journal_event(&event),
                    None if self.release_done.is_some() => return self.finish_release(),
                    None => return self.close(ShardTaskEnd::Fenced),
                },
                message = self.inbox.recv() => match message {
                    Some(ShardTaskMessage::Drop) => return self.close(ShardTaskEnd::Fenced),
                    Some(message) => self.on_message(message),
                    None => return self.close(ShardTaskEnd::Closed),
                },
                Some(input) = self.inputs.recv() => self.on_input(input),
                Some(stored) = self.stored.recv() => self.on_stored(stored),
                _ = tick.tick() => self.handle_input(Input::Tick),
            }
        }
    }

    fn times(&self) -> Times {
        Times {
            now: self.started_at.elapsed(),
            wall_millis: wall_millis(),
        }
    }

    /// Handles an input and up to [`INPUTS_AT_ONCE`] queued ones.
    fn on_input(&mut self, input: Input) {
        self.handle_input(input);
        for _ in 0..INPUTS_AT_ONCE {
            let Ok(input) = self.inputs.try_recv() else {
                return;
            };
            self.handle_input(input);
        }
    }

    /// Skips ticks while the gate is closed: the process may have been paused,
    /// and the shard may have another owner. Other inputs are handled, but
    /// replies and starts check the gate again before they leave.
    fn handle_input(&mut self, input: Input) {
        let is_tick = matches!(input, Input::Tick);
        if is_tick && !self.context.gate.is_open() {
            return;
        }
        let outputs = self.machine.handle(self.times(), input);
        for output in outputs {
            self.execute(output);
        }
    }

    /// Processes a message from another task of the process. While the gate is
    /// closed, calls are answered as timed out, since the shard may have another
    /// owner.
    fn on_message(&mut self, message: ShardTaskMessage) {
        match message {
            ShardTaskMessage::Ask(ask, reply) => {
                if self.context.gate.is_open() {
                    let waiter = self.waiters.insert(reply);
                    self.handle_input(Input::Ask(ask, waiter));
                } else {
                    let _ = reply.send(ShardReply::TimedOut);
                }
            }
            ShardTaskMessage::Config(config) => self.handle_input(Input::Config(config)),
            ShardTaskMessage::Workers(workers) => self.handle_input(Input::Workers(workers)),
            ShardTaskMessage::Release(done) => self.on_release(done),
            ShardTaskMessage::Drop => {}
        }
    }

    /// Starts the release of the shard: redirects the waiting callers, closes the
    /// links and closes the journal. `done` is notified when the journal has
    /// written its records.
    fn on_release(&mut self, done: oneshot::Sender<()>) {
        self.handle_input(Input::Release);
        self.links.clear();
        let _ = self.journal.send(JournalCommand::Close);
        self.release_done = Some(done);
    }

    fn finish_release(mut self) -> ShardTaskEnd {
        if let Some(done) = self.release_done.take() {
            let _ = done.send(());
        }
        self.close(ShardTaskEnd::Released)
    }

    /// Redirects all callers; links and journal end when their channels close.
    /// Callers with a waiter were accepted here and must ask the next owner
    /// (`Moved`); calls still in the inbox were never accepted (`NotOwner`).
    fn close(mut self, end: ShardTaskEnd) -> ShardTaskEnd {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.send(ShardReply::Moved);
        }
        while let Ok(message) = self.inbox.try_recv() {
            if let ShardTaskMessage::Ask(_, waiter) = message {
                let _ = waiter.send(ShardReply::NotOwner);
            }
        }
        end
    }

    /// Passes an event of the journal's writer to the machine, and stores a
    /// segment if enough batches were written.
    fn on_journal_event(&mut self, event: &JournalEvent) {
        match event {
            JournalEvent::Written(ticket, seq) => {
                self.written_seq = *seq;
                self.handle_input(Input::Written(*ticket));
                self.store_segment();
            }
            JournalEvent::Stalled => self.handle_input(Input::JournalStalled),
            JournalEvent::Fenced => {}
        }
    }

    /// Stores a segment once half of the journal's rows hold batches that no
    /// segment covers.
    fn store_segment(&mut self) {
        let covered = self.segments.covered();
        if self.storing_segment || self.written_seq < covered + JOURNAL_ROWS / 2 {
            return;
        }
        self.storing_segment = true;
        let segment = self.machine.build_segment(self.written_seq);
        let segment_ref = SegmentRef {
            name: segment_name(self.shard, segment.seq, &self.context.process),
            seq: segment.seq,
            at_millis: wall_millis(),
        };
        let objects = self.context.objects.clone();
        let sender = self.stored_sender.clone();
        tokio::spawn(async move {
            let body = encode_row(&segment).into_bytes();
            let result = match objects.put(&segment_ref.name, body).await {
                Ok(()) => Ok((segment, segment_ref)),
                Err(error) => {
                    log::debug!("segment {} not stored: {error}", segment_ref.name);
                    tokio::time::sleep(TICK * 5).await;
                    Err(segment)
                }
            };
            let _ = sender.send(result);
        });
    }

    /// A segment was stored or could not be stored: adds it to the segment list,
    /// or builds and stores a new one.
    fn on_stored(&mut self, stored: StoredSegment) {
        self.storing_segment = false;
        match stored {
            Ok((_, segment_ref)) => {
                let retention = crate::intake::millis(self.context.timing.retention);
                let oldest = wall_millis().saturating_sub(retention);
                self.segments.format = crate::FORMAT;
                self.segments.segments.retain(|old| old.at_millis >= oldest);
                self.segments.segments.push(segment_ref);
                let list = JournalCommand::Segments(self.segments.clone());
                let _ = self.journal.send(list);
            }
            Err(segment) => {
                self.machine.restore_ended(segment);
                self.store_segment();
            }
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Append(ticket, records) => {
                let _ = self.journal.send(JournalCommand::Append(ticket, records));
            }
            Output::Start(worker, start) => {
                let attempt = start.attempt.clone();
                if !self.send_command(&worker, LinkCommand::Start(start)) {
                    let unsent = Input::NotStarted(attempt, crate::NotStarted::Unsent);
                    let _ = self.input_sender.send(unsent);
                }
            }
            Output::Stop(worker, attempt, mode) => {
                self.send_command(&worker, LinkCommand::Stop(attempt, mode));
            }
            Output::Forget(worker, attempts) => {
                self.send_command(&worker, LinkCommand::Forget(attempts));
            }
            Output::Reply(waiter, reply) => self.send_reply(waiter, reply),
            Output::Offload(key, submission) => self.offload(key, submission),
            Output::Event(event) => self.context.timeline.record(event),
            Output::Link(host) => self.open_link(host),
            Output::Unlink(worker) => {
                self.links.remove(&worker);
            }
        }
    }

    /// Sends an answer only while the gate is open: after a pause the shard may
    /// have another owner, whose answer to the same request may differ.
    fn send_reply(&mut self, waiter: WaiterKey, reply: ShardReply) {
        let Some(sender) = self.waiters.remove(waiter) else {
            return;
        };
        let reply = if self.context.gate.is_open() {
            reply
        } else {
            ShardReply::Moved
        };
        let _ = sender.send(reply);
    }

    fn send_command(&self, worker: &str, command: LinkCommand) -> bool {
        let link = self.links.get(worker);
        link.is_some_and(|link| link.send(command).is_ok())
    }

    fn offload(&self, key: String, submission: Submission) {
        let offloader = self.offloader.clone();
        let inputs = self.input_sender.clone();
        tokio::spawn(async move {
            let result = offloader.offload(&submission).await;
            let _ = inputs.send(Input::OffloadDone(key, result));
        });
    }

    fn open_link(&mut self, host: WorkerHost) {
        let (command_sender, receiver) = mpsc::unbounded_channel();
        let fence = Fence {
            assigned: host.assigned,
            epoch: self.epoch,
        };
        self.links.insert(host.host.id.clone(), command_sender);
        let params = LinkParams {
            host,
            shard: self.shard,
            lease: self.context.timing.task_lease,
            client: self.context.workers.clone(),
            gate: self.context.gate.clone(),
        };
        let inputs = self.input_sender.clone();
        tokio::spawn(Link::new(params, fence, receiver, inputs).run());
    }

    fn record_event(&self, event: Event) {
        self.context.timeline.record(event.shard(self.shard));
    }
}
