//! Work classes, each with its own scheduling policy.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Work class of a request; selects the scheduling policy and the queue. The
/// variants are declared from the most to the least urgent: the scheduler
/// serves the classes in the order of [`Ord`].
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
    /// May wait in the queue, ordered by deadline, but must start before it.
    Batch,
}

impl Class {
    /// Whether the owner of a shard must record the intent to start a task in the
    /// platform's table before it sends the start message to the worker, so that
    /// no later owner of the shard starts the task again.
    #[must_use]
    pub fn is_durable(self) -> bool {
        matches!(self, Class::Gang | Class::Batch)
    }
}
