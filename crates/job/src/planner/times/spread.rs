//! Decides whether the workers of a pool differ so much in speed that placement has to consider it.
//!
//! Objectives allow for half as much again as a job takes on a worker of mean speed, and more. If
//! slow workers take up to 1.3 times as long as those of mean speed, which is a ratio of 1.6 to
//! fast ones, a job that starts at once is in time on all of them, and packing matters more.

use crate::planner::times::factor::PRIOR;

/// Ratio of the run times on slow and on fast workers from which on placement considers speeds.
const ENTER_RATIO: f64 = 1.75;

/// Ratio below which it does not any more. The gap is about the error of the ratio.
const LEAVE_RATIO: f64 = 1.6;

/// Share of the workers at each end that are slower or faster than those which are compared, so that
/// a few faulty workers do not count.
const OUTER_SHARE: f64 = 0.2;

/// Minimum number of workers with a known speed, and their minimum share of all.
const MIN_WORKERS: usize = 5;
const MIN_SHARE: f64 = 0.25;

/// Number of consecutive computations that must agree on a change.
const CONFIRMATIONS: u8 = 2;

/// Distance between the logarithms of the compared factors that errors of variance 1 cause, if all
/// workers are equally fast: the distance of these shares of a normal distribution.
const ERROR_SPREAD: f64 = 1.68;

/// Smallest weight of the observations of a known worker.
const MIN_GAIN: f64 = 0.4;

/// Speeds of a pool's workers as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Spread {
    /// Whether the workers differ in speed.
    pub differs: bool,
    /// Mean logarithm of the factors of known workers.
    pub mean: f64,
    /// Logarithm of the factor of a fast worker.
    pub fast: f64,
    /// Logarithm of the factor of a slow worker.
    pub slow: f64,
    /// Number of consecutive computations that contradict `differs`.
    contrary: u8,
}

impl Spread {
    /// Computes it again from the logarithms of the factors of the known workers, each with its
    /// variance. `all` is the number of workers.
    pub(crate) fn update(&mut self, mut known: Vec<(f64, f64)>, all: usize) {
        #[allow(clippy::cast_precision_loss)]
        let (count, enough) = (known.len() as f64, all as f64 * MIN_SHARE);
        if known.len() < MIN_WORKERS || count < enough {
            *self = Spread::default();
            return;
        }
        known.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        self.mean = known.iter().map(|(log, _)| log).sum::<f64>() / count;
        let error = known.iter().map(|(_, var)| var).sum::<f64>() / count;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let outer = (count * OUTER_SHARE) as usize;
        self.fast = known[outer].0;
        self.slow = known[known.len() - 1 - outer].0;
        let limit = if self.differs {
            LEAVE_RATIO
        } else {
            ENTER_RATIO
        };
        let differs = true_distance(self.slow - self.fast, error) >= limit.ln();
        self.contrary = if differs == self.differs {
            0
        } else {
            self.contrary + 1
        };
        if self.contrary >= CONFIRMATIONS {
            self.differs = differs;
            self.contrary = 0;
        }
    }
}

/// Returns the distance between the true logarithms, given that of the estimates and their mean
/// variance. Estimates are nearer to each other than the true values, by what the assumption that
/// workers are equally fast still weighs, and they have errors.
fn true_distance(estimated: f64, error: f64) -> f64 {
    let gain = (1.0 - error / PRIOR).max(MIN_GAIN);
    let square = (estimated / gain).powi(2) - ERROR_SPREAD.powi(2) * error / gain;
    square.max(0.0).sqrt()
}
