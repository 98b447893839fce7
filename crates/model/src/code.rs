//! Numeric result codes and their families.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Family of result codes; states whether the request ran and how it ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Family {
    /// The request ran and succeeded.
    Succeeded,
    /// The request ran and failed.
    Failed,
    /// The request did not run and will not run.
    NotRun,
    /// Unknown whether the request ran, partly or completely.
    MayHaveRun,
    /// No final answer yet; the caller should ask again.
    Pending,
}

/// Result code of a request. The meaning of a number must never change.
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
pub enum Code {
    /// The task succeeded.
    Ok = 100,
    /// The task itself reported a failure.
    TaskFailed = 200,
    /// The task was stopped because it reached its run-time limit or because the
    /// caller cancelled it.
    TaskStopped = 201,
    /// The request is malformed.
    Invalid = 300,
    /// The request can never run: no host is large enough, or a limit of the cell
    /// is too low.
    NeverFits = 301,
    /// The queue of the request's class or team is full.
    QueueFull = 302,
    /// The deadline passed before the request could start.
    DeadlinePassed = 303,
    /// The request was cancelled before it started.
    Cancelled = 304,
    /// The table is unavailable, and this request must not start without a
    /// recorded intent.
    StoreUnavailable = 305,
    /// No owner of the request's shard was reachable; the request was not sent.
    NoOwner = 306,
    /// The id was already used for a different request.
    IdReused = 308,
    /// The host that ran the request was lost.
    HostLost = 400,
    /// The owner of the request's shard did not answer in time.
    OwnerLost = 401,
    /// The request is older than the retention time of answers, so its result is
    /// no longer stored.
    Forgotten = 402,
    /// No final answer yet: the request was accepted, or may still be on its way
    /// to the owner of its shard.
    Pending = 500,
}

impl Code {
    /// Numeric value, as used in answers and listed in docs/CODES.md.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Family of the code. Callers should base their decisions on the family only.
    #[must_use]
    pub fn family(self) -> Family {
        match self.number() {
            100..=199 => Family::Succeeded,
            200..=299 => Family::Failed,
            300..=399 => Family::NotRun,
            400..=499 => Family::MayHaveRun,
            _ => Family::Pending,
        }
    }

    /// Whether the code is a final answer.
    #[must_use]
    pub fn is_final(self) -> bool {
        self.family() != Family::Pending
    }
}
