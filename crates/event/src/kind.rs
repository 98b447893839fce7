//! Event kinds and their numbers, as listed in docs/EVENTS.md.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Kind of an event. The meaning of a number must never change.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Kind {
    /// The process has started and is serving.
    ProcessStarted = 100,
    /// A planned stop has begun.
    StopBegan = 101,
    /// The planned stop has ended; the preceding `StopStep` events report what
    /// could not be completed.
    Stopped = 102,
    /// An async task of the process ended unexpectedly; the process stops.
    TaskCrashed = 103,
    /// A step of a planned stop has ended; the detail holds its result.
    StopStep = 104,
    /// The process acquired a new lease.
    LeaseAcquired = 200,
    /// The process renewed its lease after the time for which it may act on the
    /// lease had passed, but before another process marked the lease as expired.
    /// The process keeps its shards, unless the setting `reclaim` is off.
    #[serde(rename = "lease_lapsed")]
    #[strum(serialize = "lease_lapsed")]
    LeaseRenewedLate = 201,
    /// Another process marked this process's lease as expired.
    LeaseExpired = 202,
    /// This process marked the lease of another process as expired.
    PeerExpired = 203,
    /// Shards continue past the end of the lease, because a peer confirms that
    /// the table is unavailable.
    OutageEntered = 204,
    /// The table is available again.
    OutageLeft = 205,
    /// The table is unavailable, but no peer confirms the outage any more or it
    /// has lasted too long; the shards stop.
    OutageUnconfirmed = 206,
    /// This process claimed a shard and raised its epoch.
    ShardClaimed = 210,
    /// A shard has begun to serve requests.
    ShardServing = 211,
    /// A shard was handed over to another process.
    ShardReleased = 212,
    /// The state of a shard was dropped, because another process owns the shard.
    ShardFenced = 213,
    /// The lease expired, but no other process claimed the shard; this process
    /// keeps the shard and its state.
    ShardReclaimed = 214,
    /// A worker accepted the claim of a shard's owner.
    WorkerClaimed = 300,
    /// A worker refused the shard's owner: the worker was claimed with a newer
    /// fence, or it has restarted and will be claimed again.
    WorkerRefused = 301,
    /// A worker stopped answering.
    WorkerLost = 302,
    /// A worker is leaving the cell and receives no new tasks.
    WorkerLeaving = 303,
    /// A worker on which all tasks fail was quarantined: it receives only probes.
    WorkerQuarantined = 304,
    /// A worker left quarantine.
    WorkerRestored = 305,
    /// The owner of a request's shard accepted the request.
    RequestAccepted = 400,
    /// A task was placed on a worker.
    TaskPlaced = 401,
    /// A task started.
    TaskStarted = 402,
    /// A task ended.
    TaskEnded = 403,
    /// A request got its final answer.
    RequestAnswered = 404,
    /// A request was cancelled while it was queued or running.
    RequestCancelled = 405,
    /// The caller of a running request asked to stop it.
    StopAsked = 406,
    /// A new configuration version is in force in this process.
    ConfigAdopted = 500,
    /// A configuration patch was accepted.
    PatchAccepted = 501,
    /// A configuration patch was refused.
    PatchRefused = 502,
    /// The table's reply to the commit of a patch was lost; the patch may be in
    /// force.
    PatchUnknown = 503,
    /// A row of the table cannot be parsed; it was left unchanged.
    RowDamaged = 600,
}

impl Kind {
    /// Numeric value, as used in logs and listed in docs/EVENTS.md.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }
}
