//! Faults and delays that tests set on a stand-in worker.

use std::time::Duration;

/// Payload that makes a task fail.
pub const FAIL_PAYLOAD: &str = "fail";

/// Faults and delays of a stand-in worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Every task fails immediately after its start.
    pub fails: bool,
    /// Delay before each call is handled.
    pub latency: Duration,
    /// Calls are not handled while this is set, as if the worker's process were
    /// suspended; its tasks continue.
    pub paused: bool,
    /// Network delay of start calls. A delayed start takes effect even if the
    /// sending process has ended or closed the connection in the meantime.
    pub start_delay: Duration,
    /// Accepts claims, starts and polls with any fence; stops with an old fence are
    /// still refused. Tests use this to check that the run log shows the
    /// violations that fences prevent.
    pub ignore_fence: bool,
}
