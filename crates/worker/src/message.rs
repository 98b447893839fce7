//! Messages between the owner of a shard and a worker, as JSON over HTTP.

use model::Epoch;
use model::Incarnation;
use model::RequestId;
use model::Resources;
use model::ShardId;
use serde::Deserialize;
use serde::Serialize;

/// Id of one start: request key, attempt and member. A worker starts each
/// attempt at most once, however often it is asked.
pub type AttemptId = String;

/// Number of a poll's reply; the next poll acknowledges it.
pub type ReplyNumber = u64;

/// Who may use a worker. Fences are ordered by assignment, then epoch; a
/// worker refuses whatever carries an older fence than the newest it saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// How often the worker was assigned to a shard.
    pub assigned: u64,
    /// Epoch of the shard that it is assigned to.
    pub epoch: Epoch,
}

/// Takes the worker over for one owner. A claim renews no lease, so that one
/// that was delayed on its way cannot let a task run on that its owner has
/// given up; the poll that acknowledges the reply does.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// Fence of the claimant.
    pub fence: Fence,
    /// Shard that it owns.
    pub shard: ShardId,
    /// How long tasks run on without a poll, in milliseconds.
    pub lease_millis: u64,
}

/// What a worker answers to a claim that it accepts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Run of the worker; it changes when the worker forgets its tasks.
    pub incarnation: Incarnation,
    /// Number of this reply.
    pub turn: ReplyNumber,
    /// All that the worker has.
    pub capacity: Resources,
    /// Tasks that run, and ended ones that nobody has acknowledged.
    pub tasks: Vec<Task>,
}

/// A task as its worker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Id of the start.
    pub attempt: AttemptId,
    /// Key of its request.
    pub request: RequestId,
    /// What it holds while it runs.
    pub needs: Resources,
    /// How it ended; none while it runs.
    pub end: Option<End>,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// What became of it.
    pub result: EndResult,
    /// What it wrote.
    pub output: String,
    /// Hex SHA-256 of `output`.
    pub digest: String,
}

/// What became of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndResult {
    /// Ended by itself, with success.
    Succeeded,
    /// Ended by itself, with failure.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Stopped because nobody renewed its lease.
    LeaseOver,
    /// Written out on request; `output` names the checkpoint.
    Checkpointed,
}

/// Starts one task, at most once for each attempt, however many copies of the
/// message arrive and however late. For that the worker remembers an attempt,
/// carried out or refused, for one lease after it is over; and it refuses a
/// start whose `turn` it sent longer ago than one lease, so that no copy can
/// arrive after it was forgotten. No clocks of two hosts are compared.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Fence of the owner.
    pub fence: Fence,
    /// Run of the worker that was claimed; another run refuses, so a start
    /// that was delayed past a restart cannot run.
    pub run: Incarnation,
    /// Newest reply of the worker that the owner had when it decided.
    pub turn: ReplyNumber,
    /// Id of the start.
    pub attempt: AttemptId,
    /// Key of its request.
    pub request: RequestId,
    /// What it holds while it runs.
    pub needs: Resources,
    /// Handed to the task.
    pub payload: String,
    /// Declared run time, in milliseconds.
    pub run_millis: u64,
    /// Checkpoint to go on from; empty to begin anew.
    pub checkpoint: String,
}

/// Stops one task. If its start has not arrived, it is refused when it does.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stop {
    /// Fence of the owner.
    pub fence: Fence,
    /// Id of the start.
    pub attempt: AttemptId,
    /// Whether its state is written out first.
    pub checkpoint: bool,
}

/// Waits for tasks that end, and renews the leases of all that run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Poll {
    /// Fence of the owner.
    pub fence: Fence,
    /// Reply that this poll acknowledges; the worker counts the new lease
    /// from the moment it sent that reply. A poll that was delayed on its way
    /// can so never extend a lease beyond what its sender allows for.
    pub turn: ReplyNumber,
    /// Ended attempts that the worker may forget.
    pub ended: Vec<AttemptId>,
    /// How long the worker may hold the reply back, in milliseconds.
    pub wait_millis: u64,
}

/// Reply to a poll.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollReply {
    /// Number of this reply.
    pub turn: ReplyNumber,
    /// Run of the worker.
    pub incarnation: Incarnation,
    /// Ended tasks that are not acknowledged.
    pub ended: Vec<Task>,
    /// What all tasks together really use, which lags.
    pub usage: Resources,
}

/// Body of every refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Newest fence that the worker saw.
    pub fence: Fence,
}

/// Why a worker refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// A newer fence holds the worker.
    Fenced,
    /// The fence was not claimed (the worker has restarted).
    Unclaimed,
    /// The lease of all tasks is over, or the start names a reply that was
    /// sent longer ago than a lease.
    LeaseOver,
    /// The task does not fit beside those that run.
    Full,
}
