//! Learns the speed of each worker from steps whose tasks ran on several workers.
//!
//! A gang runs at the speed of its slowest member, while all others occupy their processors, and
//! short tasks on slow workers are late. The rule is made for pools in which tasks take 1.3 times
//! as long on a third of the workers. No label shows which workers are slow, so this is derived
//! from the durations of completed runs.

/// Minimum number of runs of a step for a comparison: with fewer, the durations of the tasks
/// differ more than the speeds of the workers.
const MIN_RUNS: usize = 4;

/// Weight, in runs, of the initial assumption that a worker is as fast as the others.
const PRIOR_RUNS: f64 = 1.5;

/// Factor on the weight of older observations with each new one, so that a worker that
/// becomes slow, or recovers, is detected after about ten runs.
const DECAY: f64 = 0.9;

/// Mean logarithm of a worker's relative run times above which it counts as slow. If tasks take
/// 1.3 times as long on a third of the workers, fast workers have -0.09 and slow ones 0.17.
const SLOW_THRESHOLD: f64 = 0.06;

/// Factor on the expected run times that is assumed for a slow worker.
pub(crate) const SLOW_FACTOR: f64 = 2.0;

/// Learnt speed of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    /// Sum of the weights of the observations.
    weight: f64,
    /// Weighted sum of the logarithms of relative run times; above 0 if the worker is slower than
    /// others.
    sum: f64,
}

impl Speed {
    /// Adds the logarithm of a relative run time.
    pub(crate) fn observe(&mut self, log_ratio: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.sum = self.sum * DECAY + log_ratio;
    }

    /// Returns whether the worker counts as slow.
    pub(crate) fn slow(&self) -> bool {
        self.sum / (self.weight + PRIOR_RUNS) > SLOW_THRESHOLD
    }
}

/// Returns, for each of a step's runs, the logarithm of its duration relative to the other runs,
/// given the logarithms of their durations.
pub(crate) fn log_ratios<K>(took: Vec<(K, f64)>) -> Vec<(K, f64)> {
    if took.len() < MIN_RUNS {
        return Vec::new();
    }
    #[allow(clippy::cast_precision_loss)]
    let count = took.len() as f64;
    let mean = took.iter().map(|(_, log)| log).sum::<f64>() / count;
    // Each run is compared with the mean of the others, without the run itself.
    let others = count / (count - 1.0);
    let each = took.into_iter();
    each.map(|(worker, log)| (worker, (log - mean) * others))
        .collect()
}
