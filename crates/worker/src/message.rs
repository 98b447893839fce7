//! Messages between the owner of a shard and a worker, sent as JSON over HTTP.

use model::Epoch;
use model::Incarnation;
use model::RequestId;
use model::Resources;
use model::ShardId;
use serde::Deserialize;
use serde::Serialize;

/// Id of one attempt to run a task: `KEY#EPOCH.ATTEMPT.MEMBER`, with the key of
/// the request, the epoch of the owner, the number of the attempt and the index of
/// the task in a gang. A worker starts each attempt at most once, even if it
/// receives the start message several times.
pub type AttemptId = String;

/// Sequence number of a worker's reply to a claim or poll. The next poll
/// acknowledges the reply by sending its number.
pub type ReplyNumber = u64;

/// Fencing token of a shard's owner. Fences are ordered by the assignment of the
/// worker to a shard, then by the epoch of that shard; a worker refuses messages
/// with an older fence than the newest with which it was claimed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Number of the worker's assignment to a shard. A later assignment has a
    /// higher number: the time of the assignment in milliseconds since 1970.
    pub assigned: u64,
    /// Epoch of the shard to which the worker is assigned.
    pub epoch: Epoch,
}

/// Claims a worker for the owner of a shard: from then on, the worker refuses
/// messages with an older fence. A claim does not renew the lease of
/// the running tasks; only the poll that acknowledges the reply to the claim does.
/// Otherwise a claim delayed in the network could keep a task running that its
/// owner already treats as lost, because the lease has expired for the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// Fence of the claiming owner.
    pub fence: Fence,
    /// Shard of the claiming owner.
    pub shard: ShardId,
    /// Duration of the lease, in milliseconds: how long after sending a reply the
    /// worker lets its tasks run without a poll that acknowledges the reply or a
    /// later one.
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
    /// Running tasks, and ended tasks that no poll has named in [`Poll::ended`].
    pub tasks: Vec<Task>,
}

/// State of a task, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Key of the request that the task belongs to.
    pub request: RequestId,
    /// Resources that the task uses while it runs.
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
    /// The worker stopped the task because the lease of its tasks expired.
    LeaseOver,
    /// The task wrote a checkpoint on request of the owner and was stopped;
    /// [`End::output`] names the checkpoint.
    Checkpointed,
}

/// Starts one task, at most once per attempt, even if the message is duplicated
/// or delayed. To ensure this, the worker remembers each ended or refused attempt
/// for the duration of one lease, and refuses a start whose `reply_number` names a
/// reply that it sent longer ago than that. So it accepts no copy of a start after
/// it has forgotten the attempt. Only the worker's own clock is used, because the
/// clocks of two hosts may differ.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Fence of the sending owner.
    pub fence: Fence,
    /// Incarnation of the worker for which the start is meant. Any other
    /// incarnation refuses the start, so a start delayed past a restart of the
    /// worker has no effect.
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
    /// Resources that the task uses while it runs.
    pub needs: Resources,
    /// Payload, passed to the task unchanged.
    pub payload: String,
    /// Run time that the caller of the request expects, in milliseconds.
    pub run_millis: u64,
    /// Name of the checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
}

/// Stops one task. If the start of the attempt arrives after the stop, the worker
/// refuses the start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stop {
    /// Fence of the sending owner.
    pub fence: Fence,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Whether the task writes a checkpoint before it stops.
    pub checkpoint: bool,
}

/// Renews the lease of all running tasks, and waits until a task ends or
/// `wait_millis` have passed.
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
    /// Ended attempts whose end the owner has processed, so that the worker may
    /// remove them from its list of tasks.
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
    /// Ended tasks, except those that were already in a reply that a poll has
    /// acknowledged.
    pub ended: Vec<Task>,
    /// Resource usage of all tasks as the worker last measured it.
    pub usage: Resources,
}

/// Body of a reply with status 409, with which a worker refuses a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Newest fence with which the worker was claimed.
    pub fence: Fence,
}

/// Reason why a worker refuses a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The worker was claimed with a newer fence than that of the message.
    Fenced,
    /// The worker has restarted: it has not been claimed since, or the start is
    /// meant for an earlier incarnation.
    Unclaimed,
    /// The lease of the worker's tasks has expired, or the start names a reply
    /// that the worker sent longer ago than the duration of the lease.
    LeaseOver,
    /// The task does not fit into the worker's free resources, or the attempt was
    /// stopped or refused before this start arrived.
    Full,
}
