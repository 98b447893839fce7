//! Phases and times of a planned stop.
//!
//! Load: hosts are replaced in turn while callers have requests on open connections and the store
//! takes a second for a write. The balancer sends new connections until it has noticed that the
//! host is not ready, and it does not move open ones; each request that was read needs a reply.

use std::time::Duration;

/// How far the stop of a process is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process has not been asked to stop.
    #[default]
    Running,
    /// The process serves callers, and tells them to open connections to other hosts.
    Stopping,
    /// Requests that are still open get a reply without a result.
    Ending,
}

/// Time for which a stopping process goes on accepting: the balancer notices after two checks, one
/// second apart.
const DRAIN_TIME: Duration = Duration::from_millis(2600);

/// Part of the grace period that is not used, so that the process ends before the platform kills
/// it, also on a tenth of a core.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time within the grace period to send the last replies.
const REPLY_TIME: Duration = Duration::from_millis(200);

/// Time for open requests to finish after an owner that hangs was aborted.
const FINISH_TIME: Duration = Duration::from_millis(500);

/// Times of a planned stop, since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// End of the time for which connections are accepted and kept open.
    pub drain: Duration,
    /// When an owner task that has not ended is aborted.
    pub owner: Duration,
    /// When open requests get a reply without a result.
    pub answer: Duration,
    /// When the process ends.
    pub end: Duration,
}

impl StopTimes {
    /// Times for a process that is killed `grace` after the stop signal.
    #[must_use]
    pub fn new(grace: Duration) -> StopTimes {
        let end = grace.saturating_sub(KILL_MARGIN);
        let answer = end.saturating_sub(REPLY_TIME);
        StopTimes {
            drain: DRAIN_TIME.min(answer),
            owner: answer.saturating_sub(FINISH_TIME),
            answer,
            end,
        }
    }
}
