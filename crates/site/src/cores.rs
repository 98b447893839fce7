//! Processor capacity of a simulated worker, which may change while it runs.

use std::time::Duration;
use std::time::Instant;

/// Number of cores of a new worker.
pub(crate) const DEFAULT_CORES: usize = 4;

/// Time for which tasks may still start on the former number of cores after a worker has
/// shrunk: the 3 s for which an owner may rely on the registrations that it has read, plus one
/// heartbeat interval of 1.5 s.
const SHRINK_GRACE: Duration = Duration::from_millis(4500);

/// Current and former numbers of cores of a worker.
#[derive(Debug)]
pub(crate) struct Cores {
    current: usize,
    /// Former numbers of cores, each with the time at which it was replaced.
    former: Vec<(Instant, usize)>,
}

impl Cores {
    pub(crate) fn set(&mut self, cores: usize) {
        self.former.push((Instant::now(), self.current));
        self.current = cores;
    }

    /// Returns the current number of cores.
    pub(crate) fn current(&self) -> usize {
        self.current
    }

    /// Returns the largest number of cores that may be in use when a task starts.
    pub(crate) fn allowed(&self) -> usize {
        let recent = self.former.iter();
        let recent = recent.filter(|(replaced_at, _)| replaced_at.elapsed() < SHRINK_GRACE);
        recent
            .map(|(_, cores)| *cores)
            .fold(self.current, usize::max)
    }
}

impl Default for Cores {
    fn default() -> Cores {
        Cores {
            current: DEFAULT_CORES,
            former: Vec::new(),
        }
    }
}
