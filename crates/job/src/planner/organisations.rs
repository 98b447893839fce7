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

use slotmap::SlotMap;

use super::Planner;
use super::roster::PlacedRun;
use super::roster::WorkerState;
use crate::JobId;
use crate::Organisation;
use crate::OrganisationName;
use crate::ResourceLimit;
use crate::Resources;
use crate::StepKey;

slotmap::new_key_type! {
    /// Key of an organisation in the planner.
    pub(super) struct OrganisationKey;
}

/// The planner's state of an organisation.
#[derive(Debug)]
struct OrganisationState {
    /// Configured limit. After the organisation has left the configuration, it is the last one.
    limit: ResourceLimit,
    /// Resources that its runs need, of all runs that may be active.
    used: Resources,
    /// Step that waits for the limit, and resources that steps after it may not use in this pass.
    held: Option<(StepKey, Resources)>,
}

/// Organisations of the jobs, and what each of them has running.
#[derive(Debug, Default)]
pub(super) struct Organisations {
    states: SlotMap<OrganisationKey, OrganisationState>,
    by_name: HashMap<OrganisationName, OrganisationKey>,
    /// Capacity of the workers on which unknown runs may be active.
    unknown: Resources,
    /// The limits are not known: the configuration was read too long ago.
    outdated: bool,
}

impl Organisations {
    /// Returns the key of an organisation. One that is not configured gets the limit that is stored
    /// with its job.
    pub(super) fn key_of(&mut self, stored: &Organisation) -> OrganisationKey {
        if let Some(&key) = self.by_name.get(&stored.name) {
            return key;
        }
        let key = self.states.insert(OrganisationState {
            limit: stored.limit,
            used: Resources::default(),
            held: None,
        });
        self.by_name.insert(stored.name.clone(), key);
        key
    }

    /// Applies the limits of a new configuration.
    pub(super) fn configure(&mut self, configured: &[Organisation]) {
        for organisation in configured {
            let key = self.key_of(organisation);
            self.states[key].limit = organisation.limit;
        }
    }

    /// Counts a run that may be active from now on.
    pub(super) fn add(&mut self, run: &PlacedRun) {
        if let Some(state) = run.organisation.and_then(|key| self.states.get_mut(key)) {
            state.used = state.used.plus(&run.need());
        }
    }

    /// Stops counting a run that is certainly not active any more.
    pub(super) fn remove(&mut self, run: &PlacedRun) {
        if let Some(state) = run.organisation.and_then(|key| self.states.get_mut(key)) {
            state.used = state.used.minus(&run.need());
        }
    }

    /// Returns whether an organisation may start work that needs these resources, for a step that is
    /// not `excluded` from what it holds itself.
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
        let held = state.held.filter(|(holder, _)| *holder != step);
        let held = held.map_or_else(Resources::default, |(_, held)| held);
        let wanted = state.used.plus(need).plus(&held);
        let tolerated = state.limit.raised_by(overshoot).ceiling();
        state.limit.ceiling().can_fit(&wanted) && tolerated.can_fit(&wanted.plus(&self.unknown))
    }

    /// Keeps resources of an organisation for a step that its limit delays, unless another step has
    /// such resources already or the limit would never suffice.
    fn hold(&mut self, key: OrganisationKey, step: StepKey, need: &Resources) {
        if let Some(state) = self.states.get_mut(key)
            && state.held.is_none()
            && state.limit.ceiling().can_fit(need)
        {
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

    /// Returns whether a caller may see and cancel a job: it acts for the job's organisation or for
    /// anybody (`None`), or the job belongs to none or was not added.
    #[must_use]
    pub fn is_open_to(&self, id: JobId, caller: Option<&OrganisationName>) -> bool {
        let owner = self.jobs.get(&id).map(|job| job.spec.organisation_name());
        match (caller, owner.flatten()) {
            (Some(caller), Some(owner)) => caller == owner,
            _ => true,
        }
    }

    /// Begins a planning pass: nothing is held, and the capacity is counted of workers on which
    /// unknown runs may be active.
    pub(super) fn begin_limits(&mut self) {
        for state in self.organisations.states.values_mut() {
            state.held = None;
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
    pub(super) fn limit_admits(&self, key: StepKey) -> bool {
        let Some((organisation, need)) = self.limited_start(key) else {
            return true;
        };
        let overshoot = self.policy.overshoot;
        self.organisations
            .admits(organisation, key, &need, overshoot)
    }

    /// Keeps for a step that its organisation's limit delays what it needs, so that later steps of
    /// the organisation do not use it.
    pub(super) fn hold_limit(&mut self, key: StepKey) {
        if let Some((organisation, need)) = self.limited_start(key) {
            self.organisations.hold(organisation, key, &need);
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
