//! Decides which jobs exceed the share of their organisation: those beyond its weight, in jobs a
//! second. They go after all others, so that an organisation that submits much more than its share
//! delays neither others nor the jobs within its own share.
//!
//! Load that this answers: one organisation that submits several times its usual work.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which submissions are counted: a successor reads jobs that were accepted up to two minutes
/// before, see [`crate::planner::Policy::max_age`].
const COUNTED_SECONDS: u64 = 150;

/// Number of jobs that an organisation has submitted, by second since 1970. The count does not depend
/// on the order in which an owner learns of the jobs, so a successor finds as many of them in excess.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    by_second: BTreeMap<u64, u32>,
}

impl Submissions {
    /// Counts a job that was received at a wall-clock time; returns whether it is in excess of
    /// `weight` jobs a second. A weight of 0 has no share, and no excess.
    pub(crate) fn add(&mut self, received: Duration, weight: f64) -> bool {
        let second = received.as_secs();
        let count = self.by_second.entry(second).or_default();
        *count += 1;
        let excess = weight > 0.0 && f64::from(*count) > weight;
        if let Some((&newest, _)) = self.by_second.last_key_value() {
            let kept = newest.saturating_sub(COUNTED_SECONDS);
            self.by_second = self.by_second.split_off(&kept);
        }
        excess
    }
}
