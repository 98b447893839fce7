//! Configuration by the operator: queues, services and limits.

use std::time::Duration;

use auth::KeyDigest;
use auth::KeyTable;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::Organisation;

/// How a queue uses the advice service, which decides which workers may run a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Fixed part of a call's duration.
    pub fixed: Duration,
    /// Additional duration for each worker in a call.
    pub each: Duration,
    /// Time for which a ticket is valid.
    pub valid: Duration,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name given by the operator.
    pub name: String,
    /// `Host` header of requests for this queue, in lower case.
    pub host: String,
    /// Path prefix of requests for this queue.
    pub prefix: String,
    /// Service whose workers run the queue's tasks.
    pub service: String,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task or gang after which its job fails.
    pub attempts: u32,
    /// Factor on the run time of a job's longest chain of dependent steps; the product is the
    /// variable part of the job's objective.
    pub stretch: f64,
    /// Fixed part of a job's objective.
    pub slack: Duration,
    /// Timeout of a caller's request.
    pub timeout: Duration,
    /// How the advice service is used; `None` if all workers may run a step.
    pub advice: Option<Advice>,
    /// Callers need no key. This is not stored with a job, since only the current configuration
    /// says who may call.
    #[serde(skip)]
    pub public: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name given by the operator.
    pub name: String,
    /// Workers refuse runs beyond their capacity.
    pub rejects_overload: bool,
}

/// Kind of an entry of the configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum EntryKind {
    /// A queue.
    Queue,
    /// A service.
    Service,
    /// An organisation.
    Organisation,
}

/// A malformed entry of the operator's document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedEntry {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Index of the entry among those of its kind.
    pub index: usize,
    /// What is wrong with it.
    pub reason: String,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number; numbers rise, with gaps.
    pub version: u64,
    /// Queues of the cluster.
    pub queues: Vec<Queue>,
    /// Services of the cluster.
    pub services: Vec<Service>,
    /// Organisations that may submit jobs.
    pub organisations: Vec<Organisation>,
    /// Keys of callers; the holder is the index of an organisation.
    pub keys: KeyTable<usize>,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Malformed entries, which are left out.
    pub skipped: Vec<SkippedEntry>,
}

impl Config {
    /// Returns whether a service is configured, either by itself or as that of a queue.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        let listed = self.services.iter().any(|one| one.name == service);
        listed || self.queues.iter().any(|queue| queue.service == service)
    }

    /// Returns whether an entry of this kind is left out, so that what is not found may be configured.
    #[must_use]
    pub fn skips(&self, kind: EntryKind) -> bool {
        self.skipped.iter().any(|entry| entry.kind == kind)
    }

    /// Returns the queue of this host with the longest prefix that `path` begins with.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the organisation that holds a key; `None` if the key is not configured.
    #[must_use]
    pub fn key_holder(&self, key: KeyDigest) -> Option<&Organisation> {
        self.organisations.get(*self.keys.holder(key)?)
    }

    /// Returns a queue by its name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
