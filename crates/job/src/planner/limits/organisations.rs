//! What each organisation has running, and whether its limit lets more of its work start.
//!
//! Load that this answers: organisations that send more than they may have running, while owners
//! change and workers are cut off.
//!
//! Each run that may be active on any worker counts with all resources that it needs, from the
//! sending of its start until its end is known. After a take-over, runs of the former owner are
//! unknown until their workers have sent reports, and the former owner may still start some there. So
//! the capacity of these workers counts as used by every organisation. Only this part may exceed the
//! limit, by the share that the platform tolerates.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::JobId;
use crate::Organisation;
use crate::OrganisationName;
use crate::Requester;
use crate::ResourceLimit;
use crate::Resources;
use crate::StepKey;
use crate::planner::OrganisationKey;
use crate::planner::Planner;
use crate::planner::limits::excess::Submissions;
use crate::planner::limits::shares::Amount;
use crate::planner::limits::shares::Usage;
use crate::planner::order::rank::Rank;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::WorkerState;

/// The planner's state of an organisation.
#[derive(Debug)]
pub(super) struct OrganisationState {
    /// Name given by the operator.
    pub(super) name: OrganisationName,
    /// Configured limit. After the organisation has left the configuration, it is the last one.
    pub(super) limit: ResourceLimit,
    /// Resources that its runs need, of all runs that may be active.
    used: Resources,
    /// Step that waits for the limit, and resources that steps after it may not use in this pass, beyond
    /// half of the limit.
    held: Option<(StepKey, Resources)>,
    /// Number of steps that the limit has delayed in this pass.
    delayed: usize,
    /// Configured share, in jobs a second; with work shares, in relation to the weights of others.
    pub(super) weight: f64,
    /// Jobs that it has submitted.
    submissions: Submissions,
    /// What it has and had running.
    pub(super) usage: Usage,
}

/// An organisation whose limit delays some of its work, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelayedOrganisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Resources that its runs need, of all runs that may be active.
    pub used: Resources,
    /// Its limit.
    pub limit: ResourceLimit,
    /// Number of its steps that would start if they were within the limit and had resources.
    pub steps: usize,
}

/// Organisations of the jobs, and what each of them has running.
#[derive(Debug, Default)]
pub(crate) struct Organisations {
    pub(super) states: SlotMap<OrganisationKey, OrganisationState>,
    by_name: HashMap<OrganisationName, OrganisationKey>,
    /// Capacity of the workers on which unknown runs may be active.
    unknown: Resources,
    /// The limits are not known: the configuration was read too long ago.
    outdated: bool,
    /// Use that a former owner has learnt, and when that was read, of organisations without jobs so far.
    restored: HashMap<OrganisationName, (Amount, Duration)>,
}

impl Organisations {
    /// Returns the key of an organisation. One that is not configured gets the limit that is stored
    /// with its job.
    pub(crate) fn key_of(&mut self, stored: &Organisation) -> OrganisationKey {
        if let Some(&key) = self.by_name.get(&stored.name) {
            return key;
        }
        let mut usage = Usage::default();
        if let Some((mean, read_at)) = self.restored.remove(&stored.name) {
            usage.restore(mean, read_at);
        }
        let key = self.states.insert(OrganisationState {
            limit: stored.limit,
            used: Resources::default(),
            held: None,
            name: stored.name.clone(),
            delayed: 0,
            weight: stored.weight,
            submissions: Submissions::default(),
            usage,
        });
        self.by_name.insert(stored.name.clone(), key);
        key
    }

    /// Applies the limits of a new configuration.
    pub(crate) fn configure(&mut self, configured: &[Organisation]) {
        for organisation in configured {
            let key = self.key_of(organisation);
            self.states[key].limit = organisation.limit;
            self.states[key].weight = organisation.weight;
        }
    }

    /// Counts a run that may be active from now on.
    pub(crate) fn add(&mut self, run: &PlacedRun, now: Duration) {
        if let Some(state) = run.organisation.and_then(|key| self.states.get_mut(key)) {
            state.used = state.used.plus(&run.need());
            state.usage.begin(run.priority, &run.need(), now);
        }
    }

    /// Stops counting a run that is certainly not active any more.
    pub(crate) fn remove(&mut self, run: &PlacedRun, now: Duration) {
        if let Some(state) = run.organisation.and_then(|key| self.states.get_mut(key)) {
            state.used = state.used.minus(&run.need());
            state.usage.end(run.priority, &run.need(), now);
        }
    }

    /// Raises the mean use of an organisation to one that a former owner has learnt.
    pub(super) fn restore(&mut self, name: &OrganisationName, mean: Amount, now: Duration) {
        let key = self.by_name.get(name);
        if let Some(state) = key.and_then(|&key| self.states.get_mut(key)) {
            state.usage.restore(mean, now);
        } else {
            self.restored.insert(name.clone(), (mean, now));
        }
    }

    /// Returns whether the limit of an organisation lets a step start that needs these resources. What
    /// is kept for the step itself does not count.
    fn admits(
        &self,
        key: OrganisationKey,
        step: StepKey,
        need: &Resources,
        overshoot: f64,
    ) -> bool {
        let Some(state) = self.states.get(key) else {
            return true;
        };
        if self.outdated {
            return false;
        }
        if !state.limit.is_limited() {
            return true;
        }
        let ceiling = state.limit.ceiling();
        let used = state.used.plus(need);
        let held = state.held.filter(|(holder, _)| *holder != step);
        let held = held.filter(|_| !ceiling.half().can_fit(&used));
        let held = held.map_or_else(Resources::default, |(_, held)| held);
        let wanted = used.plus(&held);
        let tolerated = state.limit.raised_by(overshoot).ceiling();
        ceiling.can_fit(&wanted) && tolerated.can_fit(&wanted.plus(&self.unknown))
    }

    /// Counts a step that the limit of an organisation delays. If `holds`, keeps what it needs, unless
    /// another step has resources kept already or the limit would never suffice.
    fn delay(&mut self, key: OrganisationKey, step: StepKey, need: &Resources, holds: bool) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        state.delayed += 1;
        if holds && state.held.is_none() && state.limit.ceiling().can_fit(need) {
            state.held = Some((step, *need));
        }
    }
}

impl Planner {
    /// Sets whether the limits of organisations are unknown, since the configuration was read too
    /// long ago. Work of organisations does not start then; returns whether that has changed.
    pub fn set_limits_outdated(&mut self, outdated: bool) -> bool {
        std::mem::replace(&mut self.organisations.outdated, outdated) != outdated
    }

    /// Returns whether a caller may see and cancel a job, or the job was not added. Processes of earlier
    /// versions do not name the requester.
    #[must_use]
    pub fn is_open_to(&self, id: JobId, requester: Option<&Requester>) -> bool {
        let job = self.jobs.get(&id);
        let asked = requester.zip(job);
        asked.is_none_or(|(requester, job)| requester.may_see(&job.spec))
    }

    /// Returns up to `limit` organisations whose limits have delayed work in the last pass, those with
    /// the most delayed steps first.
    #[must_use]
    pub fn delayed_organisations(&self, limit: usize) -> Vec<DelayedOrganisation> {
        let states = self.organisations.states.values();
        let mut delayed: Vec<DelayedOrganisation> = states
            .filter(|state| state.delayed > 0)
            .map(|state| DelayedOrganisation {
                name: state.name.clone(),
                used: state.used,
                limit: state.limit,
                steps: state.delayed,
            })
            .collect();
        delayed.sort_by(|one, other| (other.steps, &one.name).cmp(&(one.steps, &other.name)));
        delayed.truncate(limit);
        delayed
    }

    /// Counts a new job of an organisation; returns whether it exceeds the organisation's share.
    pub(crate) fn exceeds_share(&mut self, key: OrganisationKey, received: Duration) -> bool {
        let state = self.organisations.states.get_mut(key);
        state.is_some_and(|state| state.submissions.add(received, state.weight))
    }

    /// Begins a planning pass: nothing is held, and the capacity is counted of workers on which
    /// unknown runs may be active.
    pub(crate) fn begin_limits(&mut self) {
        for state in self.organisations.states.values_mut() {
            state.held = None;
            state.delayed = 0;
        }
        let unknown = self.workers.values().filter(|worker| has_unknown(worker));
        let unknown = unknown.fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.largest)
        });
        self.organisations.unknown = if self.recovering && self.unreadable_workers > 0 {
            // The capacity of these workers is not known.
            Resources {
                cpu: u64::MAX / 2,
                memory: u64::MAX / 2,
                gpu: u64::MAX / 2,
            }
        } else {
            unknown
        };
    }

    /// Returns whether the limit of its organisation lets a step start: one task, or all waiting
    /// members of a gang.
    pub(crate) fn limit_admits(&self, key: StepKey) -> bool {
        let Some((organisation, need)) = self.limited_start(key) else {
            return true;
        };
        let overshoot = self.policy.overshoot;
        self.organisations
            .admits(organisation, key, &need, overshoot)
    }

    /// Returns whether a step could start if nothing else of its organisation were running.
    pub(crate) fn limit_suffices(&self, key: StepKey) -> bool {
        self.limited_start(key).is_none_or(|(organisation, need)| {
            let state = self.organisations.states.get(organisation);
            state.is_none_or(|state| state.limit.ceiling().can_fit(&need))
        })
    }

    /// Counts a step that its organisation's limit delays. If the step is late, keeps what it needs, so
    /// that later steps of the organisation do not use it: a wide gang would hardly ever start otherwise.
    /// An early step keeps nothing, and later steps may always use half of the limit, since the
    /// organisation would use little of it while the gang waits.
    pub(crate) fn hold_limit(&mut self, rank: Rank, key: StepKey) {
        if let Some((organisation, need)) = self.limited_start(key) {
            let late = rank.stage > 0 || self.overdue_gang == Some(key);
            self.organisations.delay(organisation, key, &need, late);
        }
    }

    /// Returns the organisation of a step, and what it needs to start.
    fn limited_start(&self, key: StepKey) -> Option<(OrganisationKey, Resources)> {
        let job = self.jobs.get(&key.job)?;
        let organisation = job.organisation?;
        Some((
            organisation,
            job.spec.steps.get(key.step as usize)?.smallest_start(),
        ))
    }
}

/// Returns whether runs may be active on a worker that the planner does not know.
fn has_unknown(worker: &WorkerState) -> bool {
    worker.inherited && !worker.claimed || worker.unknown_sizes > 0
}
