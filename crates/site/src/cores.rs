//! Processor capacity of a simulated worker, which may change while it runs.

use std::time::Duration;
use std::time::Instant;

/// Number of cores of a new worker.
pub(crate) const DEFAULT_CORES: usize = 4;

/// Time for which tasks may still start at the former size after a worker has shrunk: the 3 s
/// for which an owner may rely on the registrations that it has read, and one heartbeat of 1.5
/// s.
const SHRINK_GRACE: Duration = Duration::from_millis(4500);

/// Current number of cores of a worker, and its recent larger sizes.
#[derive(Debug)]
pub(crate) struct Cores {
    now: usize,
    /// Former sizes, each with the time at which it was replaced.
    former: Vec<(Instant, usize)>,
}

impl Cores {
    pub(crate) fn set(&mut self, cores: usize) {
        self.former.push((Instant::now(), self.now));
        self.now = cores;
    }

    /// Returns the largest number of cores that may be in use when a task starts.
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
