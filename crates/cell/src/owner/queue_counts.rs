//! Queue lengths for replies to callers.

use std::collections::HashMap;
use std::time::Duration;

use job::Planner;
use job::QueueCount;

/// Age up to which counts are reused. Counting goes over all jobs and runs, and 300 hosts ask
/// 230 times a second.
const MAX_AGE: Duration = Duration::from_millis(200);

/// The newest counts of all queues.
#[derive(Default)]
pub(crate) struct QueueCounts {
    queues: HashMap<String, QueueCount>,
    /// When the queues were counted; `None` before the first count.
    counted_at: Option<Duration>,
}

impl QueueCounts {
    /// Counts of a queue, at most [`MAX_AGE`] old.
    pub(crate) fn lookup(&mut self, queue: &str, now: Duration, planner: &Planner) -> QueueCount {
        let fresh = self.counted_at.is_some_and(|at| now < at + MAX_AGE);
        if !fresh {
            self.queues = planner.count_queues();
            self.counted_at = Some(now);
        }
        self.queues.get(queue).copied().unwrap_or_default()
    }
}
