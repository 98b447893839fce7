//! Kinds of events with their numbers, as listed in docs/EVENTS.md.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// What happened. The number never changes its meaning.
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
    /// The process has started and serves.
    ProcessStarted = 100,
    /// A planned stop began.
    StopBegan = 101,
    /// The planned stop is over; the steps before tell what it left undone.
    Stopped = 102,
    /// A task of the process ended unexpectedly; the process stops.
    TaskCrashed = 103,
    /// A step of a planned stop is over; the detail says how it went.
    StopStep = 104,
    /// The process holds a fresh lease.
    LeaseAcquired = 200,
    /// The lease lapsed and nobody had expired it; state is kept.
    LeaseLapsed = 201,
    /// Another process had expired the lease.
    LeaseExpired = 202,
    /// This process expired the lease of another.
    PeerExpired = 203,
    /// Shards go on past the lease because a peer confirms the outage.
    OutageEntered = 204,
    /// The table answers again.
    OutageLeft = 205,
    /// No peer confirms the outage any more, or it lasted too long; the table
    /// does not answer, and shards stop.
    OutageUnconfirmed = 206,
    /// A shard was claimed at a new epoch.
    ShardClaimed = 210,
    /// A shard serves requests.
    ShardServing = 211,
    /// A shard was handed over.
    ShardReleased = 212,
    /// A shard's state was dropped: another process owns it.
    ShardFenced = 213,
    /// A shard of an expired lease was taken by nobody; its state is kept.
    ShardReclaimed = 214,
    /// A worker accepted the claim of a shard.
    WorkerClaimed = 300,
    /// A worker refused this shard: a newer fence holds it, or it has
    /// restarted and is claimed again.
    WorkerRefused = 301,
    /// A worker does not answer.
    WorkerLost = 302,
    /// A worker is leaving and gets nothing new.
    WorkerLeaving = 303,
    /// A worker that fails everything gets nothing but probes.
    WorkerQuarantined = 304,
    /// A worker left quarantine.
    WorkerRestored = 305,
    /// A request was accepted by its shard.
    RequestAccepted = 400,
    /// A task was placed on a worker.
    TaskPlaced = 401,
    /// A task started.
    TaskStarted = 402,
    /// A task ended.
    TaskEnded = 403,
    /// A request got its final answer.
    RequestAnswered = 404,
    /// A request was cancelled, in the queue or while it ran.
    RequestCancelled = 405,
    /// The caller of a request that runs asked to stop it.
    StopAsked = 406,
    /// A new configuration version is in force here.
    ConfigAdopted = 500,
    /// A patch was accepted.
    PatchAccepted = 501,
    /// A patch was refused.
    PatchRefused = 502,
    /// The answer to a patch was lost: it may be in force.
    PatchUnknown = 503,
    /// A row of the table cannot be read; it was left as it is.
    RowDamaged = 600,
}

impl Kind {
    /// The number that stands in logs and in docs/EVENTS.md.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }
}
