//! Decides whether a caller may use a queue, and which jobs it may see.
//!
//! Load that this answers: callers whose keys come and go while hosts are cut off from the store.

use std::time::Duration;

use auth::KeyDigest;
use job::Config;
use job::EntryKind;
use job::Organisation;
use job::Queue;
use job::Requester;
use platform::KeyError;
use snafu::Snafu;

/// Ages up to which the configuration may be relied on. The age counts from the start of the read
/// that confirmed it as the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigAges {
    /// Up to this age, no newer configuration is in force that could allow what this one does not.
    pub current: Duration,
    /// Above this age, a key may have been removed for longer than the platform tolerates.
    pub usable: Duration,
}

/// Whether a caller may use a queue.
#[derive(Clone, Debug, PartialEq)]
pub enum Access<'a> {
    /// The caller may use it, and acts for this organisation.
    Granted(Viewer<'a>),
    /// The caller may not use it.
    Denied(Denial),
    /// The configuration is too old to decide, or an organisation of it cannot be read.
    Undecided,
}

/// Why a caller may not use a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Denial {
    /// The request has no usable key.
    #[snafu(display("{source}"))]
    NoKey {
        /// What is wrong with the header.
        source: KeyError,
    },
    /// No organisation has the key.
    #[snafu(display("Authorization: unknown key, allowed: a key of an organisation"))]
    UnknownKey,
}

impl Denial {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Denial::NoKey {
                source: KeyError::Missing,
            } => "missing",
            Denial::NoKey {
                source: KeyError::Repeated { .. },
            } => "repeated",
            Denial::NoKey {
                source: KeyError::Malformed,
            } => "malformed",
            Denial::UnknownKey => "unknown",
        }
    }
}

/// For whom a caller acts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Viewer<'a> {
    /// Anybody: this queue is public, and the request has no key of an organisation.
    Anybody(&'a Queue),
    /// An organisation.
    Member(&'a Organisation),
}

impl<'a> Viewer<'a> {
    /// Returns the organisation that a job of this caller belongs to.
    #[must_use]
    pub fn organisation(self) -> Option<&'a Organisation> {
        match self {
            Viewer::Anybody(_) => None,
            Viewer::Member(organisation) => Some(organisation),
        }
    }

    /// Returns the requester to name to the owner of the pool.
    #[must_use]
    pub fn requester(self) -> Requester {
        match self {
            Viewer::Anybody(queue) => Requester::Queue(queue.name.clone()),
            Viewer::Member(organisation) => Requester::Organisation(organisation.name.clone()),
        }
    }
}

/// Decides whether the sender of a request may use a queue. `key` is the digest of the request's
/// key, `age` the age of the configuration.
#[must_use]
pub fn decide<'a>(
    config: &'a Config,
    queue: &'a Queue,
    key: Result<KeyDigest, KeyError>,
    age: Duration,
    ages: ConfigAges,
) -> Access<'a> {
    let holder = key.ok().and_then(|key| config.key_holder(key));
    if queue.public {
        // A key that is not known is not needed.
        return Access::Granted(holder.map_or(Viewer::Anybody(queue), Viewer::Member));
    }
    match (holder, key) {
        (Some(_), _) if age > ages.usable => Access::Undecided,
        (Some(holder), _) => Access::Granted(Viewer::Member(holder)),
        (None, _) if age > ages.current || config.skips(EntryKind::Organisation) => {
            Access::Undecided
        }
        (None, Err(source)) => Access::Denied(Denial::NoKey { source }),
        (None, Ok(_)) => Access::Denied(Denial::UnknownKey),
    }
}
