//! Messages between the owner of a shard and a worker, sent as JSON over HTTP.

use model::Epoch;
use model::Incarnation;
use model::RequestId;
use model::Resources;
use model::ShardId;
use serde::Deserialize;
use serde::Serialize;

/// Id of one start of a task, built from request key, attempt and member. A
/// worker starts each attempt at most once, even if the start message repeats.
pub type AttemptId = String;

/// Sequence number of a worker's reply to a claim or poll; the next poll
/// acknowledges it.
pub type ReplyNumber = u64;

/// Fencing token of a shard's owner. Fences are ordered by assignment, then by
/// epoch; a worker refuses messages with an older fence than the newest that it
/// has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Number of times the worker has been assigned to a shard.
    pub assigned: u64,
    /// Epoch of the shard that the worker is assigned to.
    pub epoch: Epoch,
}

/// Claims a worker for the owner of a shard. A claim does not renew the lease of
/// the running tasks; only the poll that acknowledges the reply does. Otherwise a
/// claim delayed in the network could keep a task running that its owner already
/// regards as lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// Fence of the claiming owner.
    pub fence: Fence,
    /// Shard of the claiming owner.
    pub shard: ShardId,
    /// Duration of the lease: how long tasks continue without an acknowledging
    /// poll, in milliseconds.
    pub lease_millis: u64,
}

/// Reply to an accepted claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Incarnation of the worker; changes with each restart, when the worker loses
    /// its tasks.
    pub incarnation: Incarnation,
    /// Sequence number of this reply.
    #[serde(rename = "turn")]
    pub reply_number: ReplyNumber,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Running tasks, and ended tasks that no poll has acknowledged yet.
    pub tasks: Vec<Task>,
}

/// State of a task, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Key of the request that the task belongs to.
    pub request: RequestId,
    /// Resources that the task holds while it runs.
    pub needs: Resources,
    /// How the task ended; none while it runs.
    pub end: Option<End>,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Result of the task.
    pub result: EndResult,
    /// Output of the task.
    pub output: String,
    /// Hexadecimal SHA-256 of `output`.
    pub digest: String,
}

/// Result of an ended task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndResult {
    /// The task ended by itself and succeeded.
    Succeeded,
    /// The task ended by itself and failed.
    Failed,
    /// The task was stopped on request of the owner.
    Stopped,
    /// The worker stopped the task because its lease expired.
    LeaseOver,
    /// The task wrote a checkpoint on request and was stopped; `output` names the
    /// checkpoint.
    Checkpointed,
}

/// Starts one task, at most once per attempt, even if the message is duplicated
/// or delayed. To ensure this, the worker remembers each ended or refused attempt
/// for the duration of one lease, and refuses a start if it sent the reply `reply_number`
/// longer ago than that; so no copy can arrive after the attempt was forgotten.
/// This does not compare the clocks of two hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Fence of the sending owner.
    pub fence: Fence,
    /// Incarnation of the worker that was claimed. Any other incarnation refuses
    /// the start, so a start delayed past a restart of the worker cannot run.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// Number of the newest reply that the owner had received from the worker
    /// when it decided to start the task.
    #[serde(rename = "turn")]
    pub reply_number: ReplyNumber,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Key of the request that the task belongs to.
    pub request: RequestId,
    /// Resources that the task holds while it runs.
    pub needs: Resources,
    /// Payload, passed to the task.
    pub payload: String,
    /// Run time declared by the caller, in milliseconds.
    pub run_millis: u64,
    /// Checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
}

/// Stops one task. If the start has not arrived yet, the worker refuses it when
/// it arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stop {
    /// Fence of the sending owner.
    pub fence: Fence,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Whether the task writes a checkpoint before it is stopped.
    pub checkpoint: bool,
}

/// Waits for tasks to end and renews the lease of all running tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Poll {
    /// Fence of the sending owner.
    pub fence: Fence,
    /// Number of the reply that this poll acknowledges. The worker counts the
    /// new lease from the time at which it sent that reply, so a poll delayed in
    /// the network cannot extend the lease beyond the expiry that the owner
    /// assumes.
    #[serde(rename = "turn")]
    pub reply_number: ReplyNumber,
    /// Ended attempts that the owner acknowledges and the worker may forget.
    pub ended: Vec<AttemptId>,
    /// Maximum time for which the worker may delay the reply, in milliseconds.
    pub wait_millis: u64,
}

/// Reply to a poll.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollReply {
    /// Sequence number of this reply.
    #[serde(rename = "turn")]
    pub reply_number: ReplyNumber,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Ended tasks that no poll has acknowledged yet.
    pub ended: Vec<Task>,
    /// Measured resource usage of all tasks; lags behind the current usage.
    pub usage: Resources,
}

/// Body of a reply that refuses a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Newest fence that the worker has received.
    pub fence: Fence,
}

/// Reason why a worker refuses a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The worker has received a newer fence.
    Fenced,
    /// The worker was not claimed with this fence, because it has restarted.
    Unclaimed,
    /// The lease of the worker's tasks has expired, or the start names a reply
    /// that was sent longer ago than the duration of the lease.
    LeaseOver,
    /// The task does not fit into the worker's free resources.
    Full,
}
