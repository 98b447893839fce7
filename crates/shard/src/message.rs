//! Messages between processes, and the inputs and outputs of a shard.

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
    /// Key of a caller that waits for the reply of a shard.
    pub struct WaiterKey;
}

/// Sequence number of a set of records that was sent to the journal.
pub type Ticket = u64;

/// Selects the requests of a cancel call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelFilter {
    /// The request with this key.
    One(String),
    /// All requests of a team with a label.
    Label {
        /// Team of the requests.
        team: TeamId,
        /// Label of the requests.
        label: String,
    },
}

/// A submission on its way to its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The request, whose deadline counts from its first submission.
    pub request: Request,
    /// Milliseconds since the first submission.
    pub waited_millis: u64,
    /// Whether the reply waits for the final answer.
    pub wait: bool,
}

/// Call to a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardAsk {
    /// Submits a request; a repeated submission is attached to the first one.
    Submit(Submission),
    /// Runs a request offloaded by another shard at once, or not at all.
    Run(Submission),
    /// Asks for the status of the request with this key.
    Status(String),
    /// Cancels the selected requests.
    Cancel(CancelFilter),
}

/// Reply of a shard to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardReply {
    /// Answer to the request, which may be pending.
    Answer(Answer),
    /// The shard has no record of the request.
    Unknown,
    /// No worker is free for a request offloaded by another shard.
    Busy,
    /// Number of requests that the call cancelled.
    Cancelled(u32),
    /// This process does not own the shard and did nothing. The caller has to
    /// ask the owner.
    NotOwner,
    /// The owner's lease timed out, but no process has taken over the shard.
    /// Nothing was done. The caller should ask again soon, since the owner may
    /// keep the shard and its state. The distinction from `NotOwner` follows
    /// KIP-588.
    TimedOut,
    /// The shard is moving to another process while the request is in progress.
    /// The caller has to ask the next owner with the same id.
    Moved,
}

/// Call from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Call to a shard that the receiver owns.
    Shard(ShardId, ShardAsk),
    /// Exchanges the view of the table's health.
    Ping(TableHealth),
    /// The table has changed and should be read at once. The number is the
    /// sender's configuration version, which receivers do not use.
    Hint(Version),
}

/// Reply to a call of another process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Reply of the shard.
    Shard(ShardReply),
    /// The receiver's view of the table's health.
    Pong(TableHealth),
    /// The hint was received.
    Done,
}

/// A process's view of the table's health.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHealth {
    /// Incarnation of the process that reports it.
    pub process: Incarnation,
    /// Whether the table has answered that process within about the last
    /// second.
    pub reachable: bool,
}

/// Reason why a start was certainly not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// The worker had too few free resources.
    Full,
    /// The worker was claimed by a newer owner, or has to be claimed again.
    Fenced,
    /// The start was not sent.
    Unsent,
}

/// Input of the state machine of a shard.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call, and the waiter that gets its reply.
    Ask(ShardAsk, WaiterKey),
    /// A new configuration document takes effect.
    Config(Arc<VersionedConfig>),
    /// The complete list of the shard's workers.
    Workers(Vec<WorkerHost>),
    /// A worker has accepted the claim.
    Claimed(model::WorkerId, ClaimReply),
    /// A worker has not answered its polls for too long.
    WorkerLost(model::WorkerId),
    /// A worker refused a poll and has to be claimed again.
    WorkerRefused(model::WorkerId),
    /// The lease of all tasks of a worker has certainly expired.
    LeaseExpired(model::WorkerId),
    /// Another shard has claimed the worker, and renews the lease of the tasks
    /// that run there.
    WorkerReassigned(model::WorkerId),
    /// A worker has confirmed a start.
    Started(AttemptId),
    /// A start was certainly not carried out, for this reason.
    NotStarted(AttemptId, NotStarted),
    /// A worker has reported ended tasks.
    Ended(model::WorkerId, Vec<Task>),
    /// All records up to this ticket are in the table.
    Written(Ticket),
    /// The table currently accepts no records.
    JournalStalled,
    /// Result of offloading the request with this key.
    OffloadDone(String, OffloadResult),
    /// The tick interval has elapsed: check deadlines, expiries and retries.
    Tick,
    /// The shard moves to another process and must accept no more calls.
    Release,
}

/// Action that the state machine of a shard asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Commit records to the journal; `Input::Written` follows.
    Append(Ticket, Vec<Record>),
    /// Send a start; `Input::Started` or `Input::NotStarted` follows.
    Start(model::WorkerId, UnfencedStart),
    /// Send a stop to the worker of this attempt.
    Stop(model::WorkerId, AttemptId, StopMode),
    /// Let a worker forget these ended tasks.
    Forget(model::WorkerId, Vec<AttemptId>),
    /// Send a reply to a waiter.
    Reply(WaiterKey, ShardReply),
    /// Offload a request to another shard; `Input::OffloadDone` follows.
    Offload(String, Submission),
    /// Record an event in the timeline.
    Event(event::Event),
    /// Open a link to a worker.
    Link(WorkerHost),
    /// Close the link to a worker.
    Unlink(model::WorkerId),
}

/// Result of offloading a request to another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OffloadResult {
    /// The other shard has answered the request.
    Answer(Answer),
    /// None of the shards that were asked has a free worker; nothing was done.
    Refused,
    /// No reply came; the other shard may have run the request.
    Lost,
}

/// Manner in which a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// The task is killed at once.
    Kill,
    /// The task writes a checkpoint before it stops.
    Checkpoint,
}

/// A start message without the fence and the number of the newest poll reply,
/// which the link adds. The incarnation is the one that the worker had reported
/// when the task was placed. If the worker has restarted since, it refuses the
/// start, so that a task never starts in another incarnation than the recorded
/// one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnfencedStart {
    /// Attempt id of the member.
    pub attempt: AttemptId,
    /// Incarnation of the worker for which the start is meant.
    pub incarnation: model::Incarnation,
    /// Key of the request that the task belongs to.
    pub request: String,
    /// Resources that the task uses while it runs.
    pub needs: model::Resources,
    /// Payload that is passed to the task.
    pub payload: String,
    /// Declared run time, in milliseconds.
    pub run_millis: u64,
    /// Checkpoint from which the task continues; empty if there is none.
    pub checkpoint: String,
}

impl UnfencedStart {
    /// Completes the start message with the fence and the number of the
    /// newest poll reply.
    #[must_use]
    pub fn fenced(self, fence: worker::Fence, reply_number: worker::ReplyNumber) -> Start {
        Start {
            fence,
            incarnation: self.incarnation,
            reply_number,
            attempt: self.attempt,
            request: self.request,
            needs: self.needs,
            payload: self.payload,
            run_millis: self.run_millis,
            checkpoint: self.checkpoint,
        }
    }
}
