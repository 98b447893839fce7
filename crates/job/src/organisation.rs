//! Organisations: who jobs belong to, and how much each of them may have running.

use serde::Deserialize;
use serde::Serialize;

use crate::JobSpec;
use crate::Resources;

/// Name of an organisation, given by the operator.
pub type OrganisationName = String;

/// An organisation, as the operator configures it. It is stored with each of its jobs, for an owner
/// whose configuration does not contain it any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name given by the operator.
    pub name: OrganisationName,
    /// Its share when the pool is full, in relation to the weights of the others.
    pub weight: f64,
    /// Resources that it may have running on all workers together.
    pub limit: ResourceLimit,
}

/// Upper limit on resources. An amount of 0 means that the resource is not limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceLimit(pub Resources);

impl ResourceLimit {
    /// Returns whether at least one resource is limited.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.0 != Resources::default()
    }

    /// Returns the resources that may be used, the highest possible amount of those that are not
    /// limited.
    #[must_use]
    pub fn ceiling(&self) -> Resources {
        let amount = |limit: u64| if limit == 0 { u64::MAX } else { limit };
        Resources {
            cpu: amount(self.0.cpu),
            memory: amount(self.0.memory),
            gpu: amount(self.0.gpu),
        }
    }

    /// Returns the limit with each limited resource increased by a share.
    #[must_use]
    pub fn raised_by(&self, share: f64) -> ResourceLimit {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let raised = |limit: u64| limit.saturating_add((limit as f64 * share.max(0.0)) as u64);
        ResourceLimit(Resources {
            cpu: raised(self.0.cpu),
            memory: raised(self.0.memory),
            gpu: raised(self.0.gpu),
        })
    }
}

/// On whose behalf a caller asks about a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Requester {
    /// Anybody who may use this public queue.
    Queue(String),
    /// An organisation.
    Organisation(OrganisationName),
}

impl Requester {
    /// Returns whether the caller may see and cancel a job. A job that belongs to no organisation is
    /// open to every caller, and a job of a queue that has become public to those of this queue.
    #[must_use]
    pub fn may_see(&self, job: &JobSpec) -> bool {
        match (self, job.organisation_name()) {
            (_, None) => true,
            (Requester::Queue(queue), Some(_)) => job.queue.name == *queue,
            (Requester::Organisation(name), Some(owner)) => name == owner,
        }
    }
}

/// A step that an organisation's limit never lets start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExcessiveStep {
    /// Index of the step.
    pub step: usize,
    /// Resources that must be free at the same time: those of one task, or of a whole gang.
    pub need: Resources,
}

impl Organisation {
    /// Returns the first step of a job that could not start even if nothing else of the organisation
    /// were running.
    #[must_use]
    pub fn excessive_step(&self, job: &JobSpec) -> Option<ExcessiveStep> {
        let ceiling = self.limit.ceiling();
        let steps = job.steps.iter().enumerate();
        let mut excessive = steps
            .filter(|(_, step)| step.count > 0)
            .map(|(step, spec)| ExcessiveStep {
                step,
                need: spec.smallest_start(),
            })
            .filter(|excessive| !ceiling.can_fit(&excessive.need));
        excessive.next()
    }
}
