//! Lengths of the queues, as told to callers.

use std::collections::HashMap;
use std::time::Duration;

use job::Planner;
use job::QueueCount;

/// Age up to which a count is told again. Counting looks at all jobs and runs: with
/// 300 hosts that ask, 230 times a second.
const FRESH: Duration = Duration::from_millis(200);

/// The newest counts.
#[derive(Default)]
pub(crate) struct Counts {
    queues: HashMap<String, QueueCount>,
    /// When they were counted; never at first.
    counted: Option<Duration>,
}

impl Counts {
    /// Count of a queue, at most [`FRESH`] old.
    pub(crate) fn of(&mut self, queue: &str, now: Duration, planner: &Planner) -> QueueCount {
        let fresh = self.counted.is_some_and(|at| now < at + FRESH);
        if !fresh {
            self.queues = planner.count_queues();
            self.counted = Some(now);
        }
        self.queues.get(queue).copied().unwrap_or_default()
    }
}
