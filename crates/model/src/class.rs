//! Work classes, each with its own scheduling policy.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Work class of a request; selects the scheduling policy and the queue.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// Scheduled before all other classes.
    Urgent,
    /// A user is waiting for the answer.
    Interactive,
    /// A group of tasks (members) that must start together.
    Gang,
    /// May wait in the queue, but must end before its deadline.
    Batch,
}

impl Class {
    /// Whether the intent to start a task must be recorded in the table before
    /// the start message is sent, so that no later owner of the shard can start
    /// the task again.
    #[must_use]
    pub fn is_durable(self) -> bool {
        matches!(self, Class::Gang | Class::Batch)
    }
}
