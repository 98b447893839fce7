//! Task that runs one shard: feeds its state machine and carries out what the
//! machine wants done. It owns the journal, the links and the waiters.

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
use crate::JournalNews;
use crate::JournalOrder;
use crate::Lender;
use crate::Link;
use crate::LinkFacts;
use crate::LinkOrder;
use crate::Machine;
use crate::MachineFacts;
use crate::Output;
use crate::Recovered;
use crate::Router;
use crate::Segment;
use crate::SegmentList;
use crate::SegmentName;
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

/// Interval of ticks while nothing else happens.
const TICK: Duration = Duration::from_millis(100);

/// Inputs taken before the next look at the clock.
const INPUTS_AT_ONCE: usize = 64;

/// Messages to the task of a shard.
#[derive(Debug)]
pub enum OwnerMessage {
    /// A call, and where its reply goes.
    Ask(ShardAsk, oneshot::Sender<ShardReply>),
    /// A configuration document is in force.
    Config(Arc<VersionedConfig>),
    /// The workers of the shard.
    Workers(Vec<WorkerHost>),
    /// Another process owns the shard: turn everybody away, then end. It is
    /// said by a message, since callers that wait for a reply hold senders of
    /// the inbox, which so does not close by itself.
    Drop,
    /// Take nothing more, finish the journal, then end.
    Release(oneshot::Sender<()>),
}

/// Why the task of a shard has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerEnd {
    /// It was released.
    Released,
    /// Another process owns the shard.
    Fenced,
    /// The process closes.
    Closed,
}

/// Result of storing a segment.
type Stored = Result<(Segment, SegmentName), Segment>;

/// Task that runs one shard.
#[derive(Debug)]
pub struct Owner<T, O, H> {
    context: Arc<Context<T, O, H>>,
    shard: ShardId,
    epoch: Epoch,
    origin: Instant,
    machine: Machine,
    inbox: mpsc::UnboundedReceiver<OwnerMessage>,
    inputs: mpsc::UnboundedReceiver<Input>,
    input_sender: mpsc::UnboundedSender<Input>,
    news: mpsc::UnboundedReceiver<JournalNews>,
    journal: mpsc::UnboundedSender<JournalOrder>,
    links: HashMap<WorkerId, mpsc::UnboundedSender<LinkOrder>>,
    waiters: SlotMap<WaiterKey, oneshot::Sender<ShardReply>>,
    segments: SegmentList,
    stored: mpsc::UnboundedReceiver<Stored>,
    stored_sender: mpsc::UnboundedSender<Stored>,
    storing: bool,
    lender: Lender,
    written: Seq,
    /// Who waits for the release, and the last ticket before it.
    releasing: Option<oneshot::Sender<()>>,
}

impl<T: Table, O: ObjectStore, H: HostList> Owner<T, O, H> {
    /// A task that goes on from what was recovered.
    #[must_use]
    pub fn new(
        context: Arc<Context<T, O, H>>,
        recovered: Recovered,
        config: Arc<VersionedConfig>,
        view: watch::Receiver<Arc<View>>,
        inbox: mpsc::UnboundedReceiver<OwnerMessage>,
    ) -> Owner<T, O, H> {
        let start = recovered.start;
        let origin = Instant::now();
        let times = Times {
            now: Duration::ZERO,
            wall_millis: wall_millis(),
        };
        let lease = context.timing.task_lease;
        let facts = MachineFacts {
            shard: start.shard,
            shards: context.shards,
            epoch: start.epoch,
            since_millis: if start.epoch > 1 {
                times.wall_millis
            } else {
                0
            },
            retention: context.timing.retention,
            missing_at: lease * 2,
        };
        let machine = Machine::new(facts, recovered.ledger, config, times);
        let (input_sender, inputs) = mpsc::unbounded_channel();
        let (news_sender, news) = mpsc::unbounded_channel();
        let (journal, orders) = mpsc::unbounded_channel();
        let (stored_sender, stored) = mpsc::unbounded_channel();
        let router = Router::new(context.node.clone(), context.shards, view);
        let lender = Lender::new(router, start.shard);
        let owner = Owner {
            shard: start.shard,
            epoch: start.epoch,
            origin,
            machine,
            inbox,
            inputs,
            input_sender,
            news,
            journal,
            links: HashMap::new(),
            waiters: SlotMap::with_key(),
            segments: start.segments.clone(),
            stored,
            stored_sender,
            storing: false,
            written: start.next.saturating_sub(1),
            releasing: None,
            lender,
            context,
        };
        let table = owner.context.table.clone();
        let pacer = owner.context.pacer.clone();
        tokio::spawn(Journal::new(table, pacer, start, orders, news_sender).run());
        owner
    }

    /// Runs until released, fenced or closed.
    pub async fn run(mut self) -> OwnerEnd {
        self.record(Event::new(Kind::ShardServing));
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                news = self.news.recv() => match news {
                    Some(JournalNews::Fenced) => return self.close(OwnerEnd::Fenced),
                    Some(news) => self.on_news(&news),
                    None if self.releasing.is_some() => return self.finish_release(),
                    None => return self.close(OwnerEnd::Fenced),
                },
                message = self.inbox.recv() => match message {
                    Some(OwnerMessage::Drop) => return self.close(OwnerEnd::Fenced),
                    Some(message) => self.on_message(message),
                    None => return self.close(OwnerEnd::Closed),
                },
                Some(input) = self.inputs.recv() => self.on_input(input),
                Some(stored) = self.stored.recv() => self.on_stored(stored),
                _ = tick.tick() => self.step(Input::Tick),
            }
        }
    }

    fn times(&self) -> Times {
        Times {
            now: self.origin.elapsed(),
            wall_millis: wall_millis(),
        }
    }

    fn on_input(&mut self, input: Input) {
        self.step(input);
        for _ in 0..INPUTS_AT_ONCE {
            let Ok(input) = self.inputs.try_recv() else {
                return;
            };
            self.step(input);
        }
    }

    /// Nothing is decided, and no answer leaves, while the gate is shut: the
    /// process may have been paused, and the shard may have another owner.
    fn step(&mut self, input: Input) {
        let tick = matches!(input, Input::Tick);
        if tick && !self.context.gate.is_open() {
            return;
        }
        let outputs = self.machine.handle(self.times(), input);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn on_message(&mut self, message: OwnerMessage) {
        match message {
            OwnerMessage::Ask(ask, reply) => {
                if self.context.gate.is_open() {
                    let waiter = self.waiters.insert(reply);
                    self.step(Input::Ask(ask, waiter));
                } else {
                    let _ = reply.send(ShardReply::TimedOut);
                }
            }
            OwnerMessage::Config(config) => self.step(Input::Config(config)),
            OwnerMessage::Workers(workers) => self.step(Input::Workers(workers)),
            OwnerMessage::Release(done) => self.on_release(done),
            OwnerMessage::Drop => {}
        }
    }

    fn on_release(&mut self, done: oneshot::Sender<()>) {
        self.step(Input::Release);
        self.links.clear();
        let _ = self.journal.send(JournalOrder::Close);
        self.releasing = Some(done);
    }

    fn finish_release(mut self) -> OwnerEnd {
        if let Some(done) = self.releasing.take() {
            let _ = done.send(());
        }
        self.close(OwnerEnd::Released)
    }

    /// Turns everybody away; links and journal end with their channels. Who
    /// has a waiter was taken here and has to ask the next owner; who is still
    /// in the inbox was not.
    fn close(mut self, end: OwnerEnd) -> OwnerEnd {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.send(ShardReply::Moved);
        }
        while let Ok(message) = self.inbox.try_recv() {
            if let OwnerMessage::Ask(_, waiter) = message {
                let _ = waiter.send(ShardReply::NotOwner);
            }
        }
        end
    }

    fn on_news(&mut self, news: &JournalNews) {
        match news {
            JournalNews::Written(ticket, seq) => {
                self.written = *seq;
                self.step(Input::Written(*ticket));
                self.store_segment();
            }
            JournalNews::Stalled => self.step(Input::Stalled),
            JournalNews::Fenced => {}
        }
    }

    /// Stores a segment whenever half of the journal's rows are in use.
    fn store_segment(&mut self) {
        let covered = self.segments.covered();
        if self.storing || self.written < covered + JOURNAL_ROWS / 2 {
            return;
        }
        self.storing = true;
        let segment = self.machine.make_segment(self.written);
        let name = SegmentName {
            name: segment_name(self.shard, segment.seq, &self.context.process),
            seq: segment.seq,
            at_millis: wall_millis(),
        };
        let objects = self.context.objects.clone();
        let sender = self.stored_sender.clone();
        tokio::spawn(async move {
            let body = encode_row(&segment).into_bytes();
            let result = match objects.put(&name.name, body).await {
                Ok(()) => Ok((segment, name)),
                Err(error) => {
                    log::debug!("segment {}: {error}", name.name);
                    tokio::time::sleep(TICK * 5).await;
                    Err(segment)
                }
            };
            let _ = sender.send(result);
        });
    }

    fn on_stored(&mut self, stored: Stored) {
        self.storing = false;
        match stored {
            Ok((_, name)) => {
                let retention = crate::intake::millis(self.context.timing.retention);
                let oldest = wall_millis().saturating_sub(retention);
                self.segments.format = crate::FORMAT;
                self.segments.segments.retain(|old| old.at_millis >= oldest);
                self.segments.segments.push(name);
                let list = JournalOrder::Segments(self.segments.clone());
                let _ = self.journal.send(list);
            }
            Err(segment) => {
                self.machine.return_segment(segment);
                self.store_segment();
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Append(ticket, records) => {
                let _ = self.journal.send(JournalOrder::Append(ticket, records));
            }
            Output::Start(worker, order) => {
                let attempt = order.attempt.clone();
                if !self.order(&worker, LinkOrder::Start(order)) {
                    let unsent = Input::NotStarted(attempt, crate::NotStarted::Unsent);
                    let _ = self.input_sender.send(unsent);
                }
            }
            Output::Stop(worker, attempt, mode) => {
                self.order(&worker, LinkOrder::Stop(attempt, mode));
            }
            Output::Forget(worker, attempts) => {
                self.order(&worker, LinkOrder::Forget(attempts));
            }
            Output::Reply(waiter, reply) => self.send_reply(waiter, reply),
            Output::Lend(key, submission) => self.lend(key, submission),
            Output::Event(event) => self.context.timeline.record(event),
            Output::Link(host) => self.open_link(host),
            Output::Unlink(worker) => {
                self.links.remove(&worker);
            }
        }
    }

    /// Answers leave only through an open gate: after a pause the shard may
    /// have another owner, whose answer to the same request differs.
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

    fn order(&self, worker: &str, order: LinkOrder) -> bool {
        let link = self.links.get(worker);
        link.is_some_and(|link| link.send(order).is_ok())
    }

    fn lend(&self, key: String, submission: Submission) {
        let lender = self.lender.clone();
        let inputs = self.input_sender.clone();
        tokio::spawn(async move {
            let loan = lender.lend(&submission).await;
            let _ = inputs.send(Input::Lent(key, loan));
        });
    }

    fn open_link(&mut self, host: WorkerHost) {
        let (orders, receiver) = mpsc::unbounded_channel();
        let fence = Fence {
            assigned: host.assigned,
            epoch: self.epoch,
        };
        self.links.insert(host.host.id.clone(), orders);
        let facts = LinkFacts {
            host,
            shard: self.shard,
            lease: self.context.timing.task_lease,
            client: self.context.workers.clone(),
            gate: self.context.gate.clone(),
        };
        let owner = self.input_sender.clone();
        tokio::spawn(Link::new(facts, fence, receiver, owner).run());
    }

    fn record(&self, event: Event) {
        self.context.timeline.record(event.shard(self.shard));
    }
}
