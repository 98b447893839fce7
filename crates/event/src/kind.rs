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
    /// The process has started and accepts requests.
    ProcessStarted = 100,
    /// A planned stop has begun.
    StopBegan = 101,
    /// The planned stop has ended; the preceding [`Kind::StopStep`] events report
    /// what could not be completed.
    Stopped = 102,
    /// An async task that the process cannot run without ended unexpectedly. The
    /// process makes no more decisions for its shards and stops.
    TaskCrashed = 103,
    /// A step of a planned stop has ended; the detail holds its result.
    StopStep = 104,
    /// The process acquired its lease for the first time.
    LeaseAcquired = 200,
    /// The process renewed its lease after the time for which it may act on the
    /// lease had passed, but before another process marked the lease as expired.
    /// The process keeps its shards, unless the setting `reclaim` is off.
    #[serde(rename = "lease_lapsed")]
    #[strum(serialize = "lease_lapsed")]
    LeaseRenewedLate = 201,
    /// Another process had marked this process's lease as expired or removed it.
    /// This process has acquired it again. It keeps the shards that no other
    /// process has claimed meanwhile; if the setting `reclaim` is off, none.
    LeaseExpired = 202,
    /// This process marked the lease of another process as expired.
    PeerExpired = 203,
    /// The process continues to serve its shards after the expiry of its lease,
    /// because another process of the cell (a peer) confirms that the platform's
    /// table is unavailable to it too.
    OutageEntered = 204,
    /// The platform's table is available again.
    OutageLeft = 205,
    /// The platform's table is unavailable, but no peer confirms the outage any
    /// more, or the outage has lasted too long. The process makes no more decisions
    /// for its shards until it has renewed its lease.
    OutageUnconfirmed = 206,
    /// This process claimed a shard and raised its epoch.
    ShardClaimed = 210,
    /// This process has recovered a shard and serves its requests.
    ShardServing = 211,
    /// This process stopped serving a shard and made another process its owner.
    ShardReleased = 212,
    /// This process dropped the state of a shard, because another process owns the
    /// shard or may own it.
    ShardFenced = 213,
    /// The lease of this process had expired, but no other process has claimed the
    /// shard; this process keeps the shard and its state.
    ShardReclaimed = 214,
    /// A worker accepted the claim of a shard's owner.
    WorkerClaimed = 300,
    /// A worker refused a poll of the shard's owner: another owner has claimed the
    /// worker with a newer fence (fencing token), or the worker has restarted and will
    /// be claimed again.
    WorkerRefused = 301,
    /// A worker no longer answers polls. It receives no new tasks; its tasks count
    /// as running until their lease expires.
    WorkerLost = 302,
    /// A worker is leaving the cell and receives no new tasks.
    WorkerLeaving = 303,
    /// A worker was quarantined after consecutive failures of several jobs: it
    /// receives one task at a time, as a probe.
    WorkerQuarantined = 304,
    /// A task succeeded on a quarantined worker, which ends the quarantine.
    WorkerRestored = 305,
    /// The owner of a request's shard accepted the request.
    RequestAccepted = 400,
    /// The tasks of a request were placed on workers.
    TaskPlaced = 401,
    /// A worker has confirmed that it started a task.
    TaskStarted = 402,
    /// A worker has reported the end of a task.
    TaskEnded = 403,
    /// A request got its final answer.
    RequestAnswered = 404,
    /// The final answer of a request is that its caller cancelled it, before the
    /// start or while it was running.
    RequestCancelled = 405,
    /// A caller cancelled a running request; its tasks are being stopped.
    StopAsked = 406,
    /// This process applies a new configuration version.
    ConfigAdopted = 500,
    /// A configuration patch was accepted.
    PatchAccepted = 501,
    /// A configuration patch was refused, and has no effect.
    PatchRefused = 502,
    /// The platform's table did not confirm the commit of a configuration patch;
    /// the patch may have been accepted.
    PatchUnknown = 503,
    /// A row of the platform's table cannot be parsed; the row was left unchanged.
    RowDamaged = 600,
}

impl Kind {
    /// Numeric value, as used in logs and listed in docs/EVENTS.md.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }
}
