//! Which workers a step prefers by their speed.
//!
//! Made for pools whose workers differ in speed while a part of the work is urgent: the fast workers
//! can carry it if work with slack leaves them free. Each step prefers the slowest workers on which
//! its job is expected to end in half of the time that is left, and the fastest if there is none.
//! Half, since declared times are off by up to a factor of two, and work that begins late or fails
//! must run again.

use std::time::Duration;

/// Factor on the expected time that has to fit into the time left.
const MARGIN: f64 = 2.0;

/// Part of the time left that does not depend on the worker: until the run starts, and until its
/// end is known and recorded.
const HANDLING: Duration = Duration::from_millis(200);

/// Width of a speed class, as a logarithm: workers within it count as equally fast, so that packing
/// decides among them.
const CLASS_WIDTH: f64 = 0.25;

/// Largest number of a class: run times differ by a factor of 7 either way.
const MAX_CLASS: i16 = 8;

/// Returns the speed class for the logarithm of a factor: 0 is the pool's mean, slower is higher.
pub(crate) fn speed_class(log_factor: f64) -> i16 {
    let limit = f64::from(MAX_CLASS);
    #[allow(clippy::cast_possible_truncation)]
    let class = (log_factor / CLASS_WIDTH).round().clamp(-limit, limit) as i16;
    class
}

/// Speed that a step needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SpeedNeed {
    /// Slowest class on which the job is expected to end in time, with a margin.
    slowest: i16,
}

impl SpeedNeed {
    /// Computes the need from the time `left`, the time `tail` that the step and those after it
    /// take on a worker of mean speed, and the logarithm of the factor of a fast worker. A job that
    /// is late on any worker needs none.
    pub(crate) fn new(left: Duration, tail: Duration, fast: f64) -> SpeedNeed {
        let tail = tail.max(Duration::from_millis(1)).as_secs_f64();
        let left = left.saturating_sub(HANDLING);
        let limit = f64::from(MAX_CLASS);
        if left.as_secs_f64() < tail * fast.exp() {
            return SpeedNeed { slowest: MAX_CLASS };
        }
        let ratio = left.as_secs_f64() / tail / MARGIN;
        #[allow(clippy::cast_possible_truncation)]
        let slowest = (ratio.ln() / CLASS_WIDTH)
            .floor()
            .clamp(-limit - 1.0, limit) as i16;
        SpeedNeed { slowest }
    }

    /// Returns whether only fast workers meet the need. Such a step also takes workers on which
    /// resources are reserved for a gang of lower rank, since it would be late elsewhere.
    pub(crate) fn tight(self) -> bool {
        self.slowest < 0
    }

    /// Returns the position of a class in the order of preference; lower is better.
    pub(crate) fn position(self, class: i16) -> i16 {
        if class <= self.slowest {
            self.slowest - class
        } else {
            2 * MAX_CLASS + 1 + class
        }
    }

    /// Returns the need of a gang of `count` members, given the class and the number of slots of
    /// each worker. All members wait for the slowest, so if those that are fast enough do not
    /// suffice, the gang takes workers up to the slowest class that it needs anyway.
    pub(crate) fn for_gang(self, count: u64, workers: &[(i16, u64)]) -> SpeedNeed {
        let mut slowest = self.slowest;
        while slowest < MAX_CLASS {
            let within = workers.iter().filter(|(class, _)| *class <= slowest);
            let slots = within.fold(0_u64, |all, (_, slots)| all.saturating_add(*slots));
            if slots >= count {
                break;
            }
            slowest += 1;
        }
        SpeedNeed { slowest }
    }
}
