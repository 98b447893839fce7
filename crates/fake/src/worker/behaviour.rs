//! How a worker behaves.

use std::time::Duration;

/// Payload of a task that fails.
pub const FAIL_PAYLOAD: &str = "fail";

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Every task fails at once.
    pub fails: bool,
    /// Every reply is late by this.
    pub latency: Duration,
    /// Requests are not read until this is taken back, as when the worker's
    /// process is paused; its tasks run on.
    pub paused: bool,
    /// Starts are late on their way by this; they arrive even when their
    /// sender is gone.
    pub start_delay: Duration,
    /// A guard taken out: any fence is accepted.
    pub ignore_fence: bool,
}
