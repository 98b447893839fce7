//! Numbered result codes and the families that they belong to.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// What a caller may conclude from a result code.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Family {
    /// It ran and succeeded.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It did not run and will not run.
    NotRun,
    /// It may have run, in part or whole; nobody can tell.
    MayHaveRun,
    /// No final answer yet; ask again.
    Pending,
}

/// Outcome of a request. The number never changes its meaning.
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
    /// The task ended with success.
    Ok = 100,
    /// The task ended with a failure of its own.
    TaskFailed = 200,
    /// The task was stopped at its run-time limit or by its caller.
    TaskStopped = 201,
    /// The request is malformed.
    Invalid = 300,
    /// No host or limit of the cell could ever hold it.
    NeverFits = 301,
    /// The queue of its class or team is full.
    QueueFull = 302,
    /// Its deadline passed before it could start.
    DeadlinePassed = 303,
    /// It was cancelled before it started.
    Cancelled = 304,
    /// The table is unavailable and the work needs a recorded intent.
    StoreUnavailable = 305,
    /// No owner of its shard could be reached; nothing was sent.
    NoOwner = 306,
    /// The same id was used earlier for different work.
    IdReused = 308,
    /// The host that ran it was lost.
    HostLost = 400,
    /// The owner of its shard did not answer in time.
    OwnerLost = 401,
    /// The id is older than the retention of answers.
    Forgotten = 402,
    /// No final answer yet: accepted, or perhaps still on its way to its owner.
    Pending = 500,
}

impl Code {
    /// The number that stands in answers and in docs/CODES.md.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The family, which alone decides what a caller may conclude.
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
