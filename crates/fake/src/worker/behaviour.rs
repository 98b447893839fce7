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
    /// Network delay of start calls. A delayed start takes effect even if its
    /// sender has ended or closed the connection meanwhile.
    pub start_delay: Duration,
    /// Accepts calls with any fence. Tests use it to check that the run log
    /// shows the violations that the fence prevents.
    pub ignore_fence: bool,
}
