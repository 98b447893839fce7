//! Decides in which band each waiting step is: by the use that its organisation would have if all its
//! more urgent steps ran, in relation to its fair share. See [`crate::planner::limits::shares`].
//!
//! Load that this answers: as there.

use std::collections::HashMap;

use crate::LearntUsage;
use crate::Mechanism;
use crate::OrganisationName;
use crate::Resources;
use crate::StepKey;
use crate::planner::OrganisationKey;
use crate::planner::Planner;
use crate::planner::limits::shares::Amount;
use crate::planner::limits::shares::Claim;
use crate::planner::limits::shares::DECAY;
use crate::planner::limits::shares::PAST_PART;
use crate::planner::limits::shares::band;
use crate::planner::limits::shares::fair_level;
use crate::planner::limits::turns::AgedStep;
use crate::planner::limits::turns::MAX_WAIT;
use crate::planner::limits::turns::Turns;
use crate::planner::order::rank::Rank;

/// Largest number of organisations whose use a successor gets.
const MAX_LEARNT: usize = 1000;

/// Bands of the waiting steps.
#[derive(Debug, Default)]
pub(crate) struct Bands {
    /// Bands other than 0, as of the last pass.
    by_step: HashMap<StepKey, u8>,
    /// Organisations with such steps.
    over: Vec<OrganisationShare>,
    /// Turns of steps that have waited long.
    pub(crate) turns: Turns,
}

/// An organisation that wants more than its fair share, for logs and metrics. Shares are in thousandths
/// of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationShare {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Share of what it has running.
    pub running: u64,
    /// Mean share of what it had running lately.
    pub recent: u64,
    /// Its fair share.
    pub fair: u64,
    /// Number of its steps that go after those of organisations below their fair shares.
    pub steps: usize,
}

/// A waiting step of an organisation with a share.
struct WaitingStep {
    organisation: OrganisationKey,
    rank: Rank,
    key: StepKey,
    need: Amount,
}

impl Planner {
    /// Returns the band of a step: 0 for those that go first.
    pub(crate) fn band(&self, key: StepKey) -> u8 {
        if self.policy.switches.enabled(Mechanism::WorkShares) {
            return self.bands.by_step.get(&key).copied().unwrap_or_default();
        }
        let excess = self.jobs.get(&key.job).is_some_and(|job| job.excess);
        u8::from(excess && self.policy.switches.enabled(Mechanism::ExcessLast))
    }

    /// Returns whether a step goes before all others because of its age.
    pub(crate) fn has_turn(&self, key: StepKey) -> bool {
        self.bands.turns.holder() == Some(key)
    }

    /// Determines the bands of all waiting steps.
    pub(crate) fn update_bands(&mut self) {
        if !self.policy.switches.enabled(Mechanism::WorkShares) {
            return;
        }
        self.bands.by_step.clear();
        self.bands.over.clear();
        self.update_turns();
        let pool = self.usable_amount();
        let waiting = self.waiting_of_organisations();
        let level = fair_level(self.claims(&waiting, pool));
        if level.is_infinite() {
            return;
        }
        for steps in waiting.chunk_by(|one, other| one.organisation == other.organisation) {
            self.band_steps(steps, pool, level);
        }
    }

    /// Determines the bands of the waiting steps of one organisation, the most urgent first.
    fn band_steps(&mut self, steps: &[WaitingStep], pool: Amount, level: f64) {
        let Some(state) = self.organisations.states.get(steps[0].organisation) else {
            return;
        };
        let usage = state.usage.at(self.now);
        let fair = level * state.weight;
        let mut ahead = Amount::default();
        let mut delayed = 0;
        for step in steps {
            let (running, mean) = usage.at_least(step.rank.priority);
            let now = running.plus(ahead).times(1.0 - PAST_PART);
            let used = now.plus(mean.times(PAST_PART));
            ahead = ahead.plus(step.need);
            let band = band(used.share_of(pool), fair);
            if band > 0 {
                self.bands.by_step.insert(step.key, band);
                delayed += 1;
            }
        }
        if delayed > 0 {
            let (running, mean) = usage.at_least(u32::MAX);
            self.bands.over.push(OrganisationShare {
                name: state.name.clone(),
                running: thousandths(running.share_of(pool)),
                recent: thousandths(mean.share_of(pool)),
                fair: thousandths(fair),
                steps: delayed,
            });
        }
    }

    /// Returns the waiting steps of organisations with a share, by organisation and then by rank.
    fn waiting_of_organisations(&self) -> Vec<WaitingStep> {
        let steps = self.pending_steps.iter().filter_map(|&key| {
            let job = self.jobs.get(&key.job)?;
            let organisation = job.organisation?;
            let (spec, state) = job.step(key)?;
            let (booked, filler_cpu) = spec.booked_and_filler();
            let need = Resources {
                cpu: booked.cpu + filler_cpu,
                ..booked
            };
            let weight = self.organisations.states.get(organisation)?.weight;
            (weight > 0.0).then_some(WaitingStep {
                organisation,
                rank: self.rank(key)?,
                key,
                need: need
                    .times(u64::try_from(state.waiting()).unwrap_or(u64::MAX))
                    .into(),
            })
        });
        let mut steps: Vec<WaitingStep> = steps.collect();
        steps.sort_unstable_by_key(|step| (step.organisation, step.rank, step.key));
        steps
    }

    /// Returns what each organisation could use now: what runs and what waits, within its limit.
    fn claims(&self, waiting: &[WaitingStep], pool: Amount) -> Vec<Claim> {
        let mut wanted: HashMap<OrganisationKey, Amount> = HashMap::new();
        for step in waiting {
            let sum = wanted.entry(step.organisation).or_default();
            *sum = sum.plus(step.need);
        }
        let states = self.organisations.states.iter();
        let claims = states.map(|(key, state)| {
            let (running, _) = state.usage.at(self.now).at_least(u32::MAX);
            let wanted = wanted.get(&key).copied().unwrap_or_default().plus(running);
            let ceiling = Amount::from(state.limit.ceiling());
            let allowed = Amount {
                cpu: wanted.cpu.min(ceiling.cpu),
                memory: wanted.memory.min(ceiling.memory),
            };
            Claim {
                weight: state.weight,
                demand: allowed.share_of(pool),
            }
        });
        claims.collect()
    }

    /// Returns the capacity of the workers that may get new tasks.
    fn usable_amount(&self) -> Amount {
        let usable = self.workers.values().filter(|worker| self.usable(worker));
        usable.fold(Amount::default(), |sum, worker| {
            sum.plus(worker.info.capacity.into())
        })
    }

    /// Ends the turn of a step that has waited long, and begins the next one.
    fn update_turns(&mut self) {
        let mut turns = std::mem::take(&mut self.bands.turns);
        if turns.end(self.now, |key| self.pending_steps.contains(&key)) {
            let aged = self.pending_steps.iter().filter_map(|&key| {
                let job = self.jobs.get(&key.job)?;
                let aged = job.accepted_at + MAX_WAIT <= self.now && self.limit_admits(key);
                aged.then_some(AgedStep {
                    organisation: job.organisation,
                    accepted_at: job.accepted_at,
                    key,
                })
            });
            turns.begin(aged, self.now);
        }
        self.bands.turns = turns;
    }

    /// Returns up to `limit` organisations that wanted more than their fair share in the last pass, those
    /// with the most steps that go after others first.
    #[must_use]
    pub fn organisations_over_share(&self, limit: usize) -> Vec<OrganisationShare> {
        let mut over = self.bands.over.clone();
        over.sort_by(|one, other| (other.steps, &one.name).cmp(&(one.steps, &other.name)));
        over.truncate(limit);
        over
    }

    /// Returns the number of organisations that wanted more than their fair share in the last pass.
    #[must_use]
    pub fn count_over_share(&self) -> usize {
        self.bands.over.len()
    }

    /// Returns the largest mean share of what an organisation had running lately, in thousandths of the
    /// pool.
    #[must_use]
    pub fn largest_use(&self) -> u64 {
        let pool = self.usable_amount();
        let states = self.organisations.states.values();
        let shares = states.map(|state| {
            let (_, mean) = state.usage.at(self.now).at_least(u32::MAX);
            thousandths(mean.share_of(pool))
        });
        shares.max().unwrap_or_default()
    }

    /// Returns the recent use of the pool by organisations, for a successor; that of the
    /// [`MAX_LEARNT`] largest ones.
    #[must_use]
    pub fn learnt_usage(&self) -> Vec<LearntUsage> {
        let pool = self.usable_amount();
        let states = self.organisations.states.values();
        let learnt = states.map(|state| {
            let (_, mean) = state.usage.at(self.now).at_least(u32::MAX);
            let work = mean.share_of(pool) * pool.cpu / 1000.0 * DECAY.as_secs_f64();
            LearntUsage {
                organisation: state.name.clone(),
                work: rounded(work),
            }
        });
        let mut learnt: Vec<LearntUsage> = learnt.filter(|one| one.work > 0).collect();
        learnt.sort_by(|one, other| {
            (other.work, &one.organisation).cmp(&(one.work, &other.organisation))
        });
        learnt.truncate(MAX_LEARNT);
        learnt
    }

    /// Continues with the use that a former owner has learnt. Without it, all organisations begin alike.
    pub fn restore_usage(&mut self, learnt: &[LearntUsage]) {
        for one in learnt.iter().take(MAX_LEARNT) {
            #[allow(clippy::cast_precision_loss)]
            let cpu = one.work as f64 * 1000.0 / DECAY.as_secs_f64();
            let mean = Amount { cpu, memory: 0.0 };
            self.organisations
                .restore(&one.organisation, mean, self.now);
        }
    }
}

fn thousandths(share: f64) -> u64 {
    rounded(share * 1000.0)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
fn rounded(number: f64) -> u64 {
    number.round() as u64
}
