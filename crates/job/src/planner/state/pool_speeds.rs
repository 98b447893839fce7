//! Speeds of a pool's workers, for logs and metrics.

use crate::Mechanism;
use crate::planner::Planner;
use crate::planner::WorkerKey;

/// Usable workers of one speed class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// Number of workers.
    pub workers: usize,
    /// Their free processors, in thousandths of a core.
    pub free_cpu: u64,
}

/// Speeds of a pool's workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSpeeds {
    /// Whether placement considers them.
    pub differs: bool,
    /// Factor on run times of a fast worker, in percent of the pool's mean.
    pub fast_percent: u32,
    /// Factor on run times of a slow worker, in percent of the pool's mean.
    pub slow_percent: u32,
    /// Workers that are faster than the pool's mean.
    pub fast: ClassLoad,
    /// Workers that are about as fast as the pool's mean, or whose speed is not known.
    pub middle: ClassLoad,
    /// Workers that are slower than the pool's mean.
    pub slow: ClassLoad,
    /// Number of workers whose speed is not known.
    pub unknown: usize,
}

impl Planner {
    /// Returns the speeds of the pool's workers; `None` if they are not observed.
    #[must_use]
    pub fn pool_speeds(&self) -> Option<PoolSpeeds> {
        if !self.policy.switches.enabled(Mechanism::PlacementByEnd) {
            return None;
        }
        let spread = &self.speeds;
        let mut speeds = PoolSpeeds {
            differs: spread.differs,
            fast_percent: percent(spread.fast - spread.mean),
            slow_percent: percent(spread.slow - spread.mean),
            ..PoolSpeeds::default()
        };
        for worker in self.workers.values().filter(|worker| self.usable(worker)) {
            let class = match self.speed_class(worker) {
                ..0 => &mut speeds.fast,
                0 => &mut speeds.middle,
                _ => &mut speeds.slow,
            };
            class.workers += 1;
            class.free_cpu += worker.free().cpu;
            speeds.unknown += usize::from(!worker.factor.known());
        }
        Some(speeds)
    }

    /// Returns the estimated factor of a worker on run times, in percent of the pool's mean.
    #[must_use]
    pub fn factor_percent(&self, key: WorkerKey) -> u32 {
        percent(self.log_factor(key))
    }
}

/// Returns a factor in percent from its logarithm.
fn percent(log_factor: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let percent = (log_factor.exp() * 100.0).round() as u32;
    percent
}
