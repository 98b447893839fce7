//! Organisations whose limits change. The judge counts what the workers have running.

use std::time::Duration;

use job::Config;
use job::JobId;
use job::JobSpec;
use job::Mechanism;
use job::Switches;
use job::TaskKey;

use super::EventSim;
use super::SentCommand;
use super::worker::Worker;
use crate::support;

/// Names of the organisations. Of three jobs, one belongs to each of them and one to none.
const NAMES: [&str; 2] = ["stores", "desk"];

/// Limits of the organisations, in cores.
type Limits = [u64; NAMES.len()];

/// Limits of the organisations over time.
#[derive(Debug)]
pub struct Organisations {
    /// Limits, each with the time from which on they are in force; oldest first.
    history: Vec<(Duration, Limits)>,
}

impl Organisations {
    pub fn new() -> Organisations {
        Organisations {
            history: vec![(Duration::ZERO, [3, 4])],
        }
    }

    fn current(&self) -> Limits {
        self.history
            .last()
            .map_or([0; NAMES.len()], |(_, limits)| *limits)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Config {
        let limits = NAMES.iter().zip(self.current());
        let organisations = limits
            .map(|(name, cores)| support::organisation(name, cores * 1000))
            .collect();
        support::config(self.history.len() as u64, organisations)
    }

    /// Returns the highest limit of an organisation that was in force since a time.
    fn highest_since(&self, organisation: usize, time: Duration) -> u64 {
        let later = self.history.iter().filter(|(since, _)| *since >= time);
        let at_time = self.history.iter().rfind(|(since, _)| *since <= time);
        let limits = later.chain(at_time).map(|(_, limits)| limits[organisation]);
        limits.max().unwrap_or(0)
    }
}

/// Returns the index of the organisation of a job.
fn organisation_of(job: JobId) -> Option<usize> {
    usize::try_from(job % 3).ok()?.checked_sub(1)
}

impl EventSim {
    /// Gives two of three jobs an organisation.
    pub fn with_organisations(mut self) -> EventSim {
        self.organisations = Some(Organisations::new());
        self.configure();
        self
    }

    /// Lets organisations share the pool by their work, with a new owner.
    pub fn with_work_shares(mut self) -> EventSim {
        self.policy.switches = Switches::new(&[Mechanism::WorkShares], &[]);
        self.take_over();
        self
    }

    /// Passes the configuration in force to the planner.
    pub(super) fn configure(&mut self) {
        if let Some(organisations) = &self.organisations {
            self.planner.configure(&organisations.config());
        }
    }

    /// Makes an organisation the owner of a job, depending on the job's id.
    pub(super) fn assign_organisation(&self, id: JobId, spec: &mut JobSpec) {
        let Some(organisations) = &self.organisations else {
            return;
        };
        let limits = organisations.current();
        spec.organisation = organisation_of(id)
            .map(|index| support::organisation(NAMES[index], limits[index] * 1000));
    }

    /// Changes the limit of an organisation to between one and eight cores.
    pub(super) fn change_limit(&mut self, pick: u8) {
        if let Some(organisations) = &mut self.organisations {
            let mut limits = organisations.current();
            limits[usize::from(pick) % NAMES.len()] = u64::from(pick / 2 % 8) + 1;
            organisations.history.push((self.now, limits));
        }
        self.configure();
    }

    /// Checks that a start does not bring what its organisation has running above the limit.
    pub(super) fn check_limit(&self, sent: &SentCommand, task: TaskKey) {
        let Some(organisations) = &self.organisations else {
            return;
        };
        let Some(index) = organisation_of(task.step.job) else {
            return;
        };
        let cores = |worker: &Worker| {
            let active = worker.running.keys().chain(worker.stopping.keys());
            let own = active.filter(|task| organisation_of(task.step.job) == Some(index));
            own.count() as u64
        };
        let used: u64 = self.workers.iter().map(cores).sum();
        let allowed = organisations.highest_since(index, sent.sent_at);
        assert!(
            used <= allowed,
            "{task} was started: {} has {used} cores running, allowed: {allowed}",
            NAMES[index]
        );
    }
}
