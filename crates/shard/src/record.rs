//! Records of the journal: what a later owner of a shard must know.

use model::Answer;
use model::Epoch;
use model::Incarnation;
use model::Request;
use model::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::Formatted;

/// Number of a batch within one shard, growing over all epochs.
pub type Seq = u64;

/// Rows of a shard's journal; batches go round in them, so that nothing has
/// to be deleted and a later owner reads a bounded number.
pub const JOURNAL_ROWS: u64 = 64;

/// Where one member was to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Worker.
    pub worker: WorkerId,
    /// Run of the worker: another run has forgotten its tasks.
    pub run: Incarnation,
}

/// A request that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The request.
    pub request: Request,
    /// Latest start by the wall clock, in milliseconds since 1970.
    pub until_millis: u64,
}

/// One thing that a later owner must know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A request was taken.
    Accept(Accepted),
    /// A start is about to be sent; it may have been sent.
    Intent {
        /// Key of the request.
        key: String,
        /// Epoch of the owner.
        epoch: Epoch,
        /// Number of the attempt.
        attempt: u32,
        /// Where its members run; empty when the attempt is over.
        placed: Vec<Placement>,
    },
    /// The final answer.
    End {
        /// Key of the request.
        key: String,
        /// The answer.
        answer: Answer,
        /// When, in milliseconds since 1970.
        at_millis: u64,
    },
    /// Waiting requests that were cancelled in one call.
    Cancel {
        /// Keys of the requests.
        keys: Vec<String>,
        /// When, in milliseconds since 1970.
        at_millis: u64,
    },
}

/// Records that were committed together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Format of the row.
    pub format: u16,
    /// Number of the batch.
    pub seq: Seq,
    /// Epoch under which it was written.
    pub epoch: Epoch,
    /// The records, in order.
    pub records: Vec<Record>,
}

impl Formatted for Batch {
    fn format(&self) -> u16 {
        self.format
    }
}
