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
    /// It is unknown whether the request ran; it may have run partly or
    /// completely.
    MayHaveRun,
    /// No final answer yet; the caller should send the request again with the
    /// same id.
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
    /// The caller cancelled the request after its start: the task was stopped, or
    /// not started again after an attempt that had ended.
    TaskStopped = 201,
    /// The request is malformed.
    Invalid = 300,
    /// The request can never run: the workers of its shard are too small or too
    /// few, or the request exceeds the quota of its team or a power limit.
    NeverFits = 301,
    /// The queue of the request's team is full, or the team has too many requests
    /// in flight at the process that received this one.
    QueueFull = 302,
    /// The deadline passed before the request could start.
    DeadlinePassed = 303,
    /// The request was cancelled before it started.
    Cancelled = 304,
    /// The platform's table was unavailable until the deadline, and the request
    /// must not start before its intent is recorded there.
    StoreUnavailable = 305,
    /// No owner of the request's shard was reachable; the request was not sent.
    NoOwner = 306,
    /// The id was already used for a different request.
    IdReused = 308,
    /// The worker that ran the request was lost, became unreachable or returned a
    /// damaged output, or the request was interrupted and must not run again.
    HostLost = 400,
    /// The owner of the request's shard did not answer in time, or an earlier
    /// owner of the shard may have run the request.
    OwnerLost = 401,
    /// The caller first sent the request longer ago than the retention time of
    /// answers, so its answer may no longer be stored.
    Forgotten = 402,
    /// No final answer yet: the request was accepted, or the owner of its shard
    /// has not answered yet.
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
