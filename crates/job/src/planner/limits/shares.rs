//! Shares of organisations by the work that they have and had running.
//!
//! Load that this answers: one organisation submits several times its usual work to a full pool, in
//! many small jobs or in a few wide gangs, evenly or in bursts.
//!
//! The use of an organisation is a share of the pool: that of processors or of memory, whichever is
//! larger. A part of it, [`PAST_PART`], is the mean over about [`DECAY`], the rest what runs now. So an
//! organisation that was idle may use up to four times its share at first, as if it had sent the work
//! evenly, and has come down to its share after about four seconds.

use std::time::Duration;

use crate::Resources;

/// Time in which the weight of past use falls to 37 %. Callers expect results within a few seconds, so
/// use that is older than two or three times this says nothing about whose turn it is.
pub(crate) const DECAY: Duration = Duration::from_secs(5);

/// Part of the mean in the use. Callers who send a few seconds of work at once then fare like those who
/// send it evenly; with a mean alone, an organisation that was idle could take the whole pool.
pub(crate) const PAST_PART: f64 = 0.75;

/// Number of priorities that are counted separately; less urgent ones count as the last of these.
const LEVELS: usize = 3;

/// Highest band: beyond twice the fair share. With few bands, small changes of use do not reorder the
/// steps that wait.
const LAST_BAND: u8 = 2;

/// Number of bands.
pub(crate) const BANDS: u8 = LAST_BAND + 1;

/// Amounts of the resources that shares are about, in the units of [`Resources`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Amount {
    pub(crate) cpu: f64,
    pub(crate) memory: f64,
}

impl Amount {
    /// Returns the share of a pool that this is: the larger one of processors and memory.
    pub(crate) fn share_of(self, pool: Amount) -> f64 {
        let share = |amount: f64, whole: f64| if whole > 0.0 { amount / whole } else { 0.0 };
        share(self.cpu, pool.cpu).max(share(self.memory, pool.memory))
    }

    pub(crate) fn plus(self, other: Amount) -> Amount {
        Amount {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
        }
    }

    pub(crate) fn times(self, factor: f64) -> Amount {
        Amount {
            cpu: self.cpu * factor,
            memory: self.memory * factor,
        }
    }
}

impl From<Resources> for Amount {
    #[allow(clippy::cast_precision_loss)]
    fn from(resources: Resources) -> Amount {
        Amount {
            cpu: resources.cpu as f64,
            memory: resources.memory as f64,
        }
    }
}

/// Use of one organisation, by priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    running: [Resources; LEVELS],
    /// Exponentially weighted means of what ran, at [`Usage::at`].
    means: [Amount; LEVELS],
    at: Duration,
}

impl Usage {
    /// Counts a run that begins at `now`.
    pub(crate) fn begin(&mut self, priority: u32, need: &Resources, now: Duration) {
        self.advance(now);
        let running = &mut self.running[level(priority)];
        *running = running.plus(need);
    }

    /// Stops counting a run that ended at `now`.
    pub(crate) fn end(&mut self, priority: u32, need: &Resources, now: Duration) {
        self.advance(now);
        let running = &mut self.running[level(priority)];
        *running = running.minus(need);
    }

    /// Raises the mean to one that a former owner had at `now`. It counts as the most urgent work: its
    /// priorities are not known.
    pub(crate) fn restore(&mut self, mean: Amount, now: Duration) {
        self.advance(now);
        let own = &mut self.means[0];
        own.cpu = own.cpu.max(mean.cpu);
        own.memory = own.memory.max(mean.memory);
    }

    /// Returns the use as of `now`.
    pub(crate) fn at(&self, now: Duration) -> Usage {
        let mut usage = self.clone();
        usage.advance(now);
        usage
    }

    /// Returns what runs, and the mean of what ran, in jobs at least as urgent as `priority`.
    pub(crate) fn at_least(&self, priority: u32) -> (Amount, Amount) {
        let counted = 0..=level(priority);
        let running = self.running[counted.clone()].iter();
        let running = running.fold(Amount::default(), |sum, one| sum.plus((*one).into()));
        let means = self.means[counted].iter();
        let mean = means.fold(Amount::default(), |sum, one| sum.plus(*one));
        (running, mean)
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        let kept = (-passed.as_secs_f64() / DECAY.as_secs_f64()).exp();
        for (mean, running) in self.means.iter_mut().zip(self.running) {
            *mean = mean
                .times(kept)
                .plus(Amount::from(running).times(1.0 - kept));
        }
        self.at = self.at.max(now);
    }
}

fn level(priority: u32) -> usize {
    usize::try_from(priority).map_or(LEVELS - 1, |priority| priority.min(LEVELS - 1))
}

/// What an organisation could use now: `demand` as a share of the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    pub(crate) weight: f64,
    pub(crate) demand: f64,
}

/// Returns the fair share of the pool for each unit of weight, by weighted max-min fairness: who wants
/// less than its share gets what it wants, and the others divide the rest. It is infinite if all that is
/// wanted fits.
pub(crate) fn fair_level(mut claims: Vec<Claim>) -> f64 {
    claims.retain(|claim| claim.weight > 0.0 && claim.demand > 0.0);
    claims
        .sort_by(|one, other| (one.demand / one.weight).total_cmp(&(other.demand / other.weight)));
    let mut room = 1.0;
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        let level = room / weights;
        if claim.demand > level * claim.weight {
            return level;
        }
        room -= claim.demand;
        weights -= claim.weight;
    }
    f64::INFINITY
}

/// Returns the band of a use in relation to the fair share; lower bands are served first.
pub(crate) fn band(used: f64, fair: f64) -> u8 {
    if used <= fair {
        0
    } else if used <= fair * f64::from(LAST_BAND) {
        1
    } else {
        LAST_BAND
    }
}
