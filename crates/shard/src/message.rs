//! Messages between processes, and to the task that runs a shard.

use std::sync::Arc;

use model::Answer;
use model::Incarnation;
use model::Request;
use model::ShardId;
use model::TeamId;
use model::Version;
use model::VersionedConfig;
use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;
use worker::AttemptId;
use worker::ClaimReply;
use worker::Start;
use worker::Task;

use crate::Record;
use crate::WorkerHost;

new_key_type! {
    /// A caller that waits for the reply of a shard.
    pub struct WaiterKey;
}

/// Number of a set of records handed to the journal, growing.
pub type Ticket = u64;

/// Which requests a cancel call means.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelFilter {
    /// One request, by its key.
    One(String),
    /// All of a team with a label.
    Label {
        /// Team.
        team: TeamId,
        /// Label.
        label: String,
    },
}

/// A submission on its way to its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The request; its deadline counts from its first submission.
    pub request: Request,
    /// Milliseconds since that first submission.
    pub waited_millis: u64,
    /// Whether the reply waits for the final answer.
    pub wait: bool,
}

/// What may be asked of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardAsk {
    /// Takes a request, or attaches to it.
    Submit(Submission),
    /// Runs a request of another shard at once, or not at all.
    Run(Submission),
    /// Tells how a request stands.
    Status(String),
    /// Cancels requests.
    Cancel(CancelFilter),
}

/// What a shard replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardReply {
    /// Answer to a request.
    Answer(Answer),
    /// No such request.
    Unknown,
    /// There is no room for a request of another shard.
    Busy,
    /// Number of requests cancelled.
    Cancelled(u32),
    /// This process does not own the shard; nothing was done. Ask the owner.
    NotOwner,
    /// The lease of the owner timed out but nobody has taken the shard;
    /// nothing was done. Ask again soon: the state may be kept. This is told
    /// apart from `NotOwner` after KIP-588.
    TimedOut,
    /// The shard moves to another process while the request is under way.
    /// Ask the next owner with the same id.
    Moved,
}

/// A call from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// For a shard.
    Shard(ShardId, ShardAsk),
    /// Whether the table answers there.
    Ping(TableHealth),
    /// Something in the table has changed: read it at once.
    Hint(Version),
}

/// Reply to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Of a shard.
    Shard(ShardReply),
    /// Whether the table answers there.
    Pong(TableHealth),
    /// Done.
    Done,
}

/// What a process knows of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHealth {
    /// Process run that says so.
    pub process: Incarnation,
    /// Whether the table has answered it within the last second or so.
    pub reachable: bool,
}

/// Why a start was certainly not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// The worker has no room.
    Full,
    /// The worker belongs to a newer owner, or has to be claimed again.
    Fenced,
    /// It was not sent.
    Unsent,
}

/// What the state machine of a shard takes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call with the waiter of its reply.
    Ask(ShardAsk, WaiterKey),
    /// A configuration document is in force.
    Config(Arc<VersionedConfig>),
    /// The workers of the shard.
    Workers(Vec<WorkerHost>),
    /// A worker accepted the claim.
    Claimed(model::WorkerId, ClaimReply),
    /// A worker does not answer.
    WorkerLost(model::WorkerId),
    /// A worker refused the shard's poll; it has to be claimed again.
    WorkerRefused(model::WorkerId),
    /// The lease of all tasks of a worker is certainly over.
    LeaseOver(model::WorkerId),
    /// Another shard has claimed the worker, and renews the lease of whatever
    /// runs there.
    WorkerTaken(model::WorkerId),
    /// A start was carried out.
    Started(AttemptId),
    /// A start was certainly not carried out.
    NotStarted(AttemptId, NotStarted),
    /// Tasks of a worker have ended.
    Ended(model::WorkerId, Vec<Task>),
    /// All records up to a ticket are in the table.
    Written(Ticket),
    /// The table does not take records for now.
    Stalled,
    /// What became of a request that was lent.
    Lent(String, Loan),
    /// Time has passed.
    Tick,
    /// The shard moves: take nothing more.
    Release,
}

/// What the state machine of a shard wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Commit records; `Written` follows.
    Append(Ticket, Vec<Record>),
    /// Send a start; `Started` or `NotStarted` follows.
    Start(model::WorkerId, StartOrder),
    /// Stop a task.
    Stop(model::WorkerId, AttemptId, StopMode),
    /// Ended tasks that a worker may forget.
    Forget(model::WorkerId, Vec<AttemptId>),
    /// Reply to a waiter.
    Reply(WaiterKey, ShardReply),
    /// Have a request run by another shard; `Lent` follows.
    Lend(String, Submission),
    /// Record an event.
    Event(event::Event),
    /// Open a link to a worker.
    Link(WorkerHost),
    /// Close the link to a worker.
    Unlink(model::WorkerId),
}

/// What became of a request that was lent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Loan {
    /// It was run, or the other shard may have run it.
    Answer(Answer),
    /// No shard that was asked has room; nothing was done.
    Refused,
    /// The other shard may have run it.
    Lost,
}

/// How a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// At once.
    Kill,
    /// After its state was written out.
    Checkpoint,
}

/// A start without fence and turn, which the link adds. The run is the one
/// that the shard knew when it decided: if the worker has restarted since, it
/// refuses, and the shard does not take the start for one of the old run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Id of the start.
    pub attempt: AttemptId,
    /// Run of the worker.
    pub run: model::Incarnation,
    /// Key of the request.
    pub request: String,
    /// What it holds while it runs.
    pub needs: model::Resources,
    /// Handed to the task.
    pub payload: String,
    /// Declared run time, in milliseconds.
    pub run_millis: u64,
    /// Checkpoint to go on from.
    pub checkpoint: String,
}

impl StartOrder {
    /// The message to the worker.
    #[must_use]
    pub fn fenced(self, fence: worker::Fence, turn: worker::ReplyNumber) -> Start {
        Start {
            fence,
            run: self.run,
            turn,
            attempt: self.attempt,
            request: self.request,
            needs: self.needs,
            payload: self.payload,
            run_millis: self.run_millis,
            checkpoint: self.checkpoint,
        }
    }
}
