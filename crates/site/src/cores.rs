//! Cores of a worker that may change while it runs.

use std::time::Duration;
use std::time::Instant;

/// Cores of a new worker.
pub(crate) const DEFAULT_CORES: usize = 4;

/// Time for which a room that has shrunk may still be filled: 3 s in which processes
/// count as in touch, and one heartbeat of 1.5 s.
const SHRINK_GRACE: Duration = Duration::from_millis(4500);

/// Cores of a worker, now and a moment ago.
#[derive(Debug)]
pub(crate) struct Cores {
    now: usize,
    /// Larger sizes of before, and when each ended.
    former: Vec<(Instant, usize)>,
}

impl Cores {
    pub(crate) fn set(&mut self, cores: usize) {
        self.former.push((Instant::now(), self.now));
        self.now = cores;
    }

    /// Most cores that may be in use when a task starts.
    pub(crate) fn allowed(&self) -> usize {
        let recent = self.former.iter();
        let recent = recent.filter(|(end, _)| end.elapsed() < SHRINK_GRACE);
        recent.map(|(_, cores)| *cores).fold(self.now, usize::max)
    }
}

impl Default for Cores {
    fn default() -> Cores {
        Cores {
            now: DEFAULT_CORES,
            former: Vec::new(),
        }
    }
}
