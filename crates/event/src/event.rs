//! Events recorded in the timeline.

use model::Incarnation;
use model::RequestId;
use model::ShardId;
use model::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::Kind;
use crate::Stamp;

/// An event recorded by one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Timestamp from the hybrid logical clock of the process.
    pub stamp: Stamp,
    /// Incarnation of the process that recorded the event.
    pub process: Incarnation,
    /// Kind of the event.
    pub kind: Kind,
    /// Key of the request concerned, `TEAM/ID`, if any.
    pub request: Option<RequestId>,
    /// Shard concerned, if any.
    pub shard: Option<ShardId>,
    /// Worker concerned, if any.
    pub worker: Option<WorkerId>,
    /// Human-readable details.
    pub detail: String,
}

impl Event {
    /// Creates an event of `kind`. [`Timeline::record`](crate::Timeline::record)
    /// sets `stamp` and `process`.
    #[must_use]
    pub fn new(kind: Kind) -> Event {
        Event {
            stamp: 0,
            process: Incarnation::new(),
            kind,
            request: None,
            shard: None,
            worker: None,
            detail: String::new(),
        }
    }

    /// Sets the key of the request concerned, `TEAM/ID`.
    #[must_use]
    pub fn request(mut self, key: &str) -> Event {
        self.request = Some(key.to_owned());
        self
    }

    /// Sets the shard concerned.
    #[must_use]
    pub fn shard(mut self, id: ShardId) -> Event {
        self.shard = Some(id);
        self
    }

    /// Sets the worker concerned.
    #[must_use]
    pub fn worker(mut self, id: &str) -> Event {
        self.worker = Some(id.to_owned());
        self
    }

    /// Sets the human-readable details.
    #[must_use]
    pub fn detail(mut self, text: impl Into<String>) -> Event {
        self.detail = text.into();
        self
    }
}
