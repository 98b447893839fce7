//! Records of a shard's journal, from which the next owner recovers the shard.

use model::Answer;
use model::Epoch;
use model::Incarnation;
use model::Request;
use model::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::Formatted;

/// Number of a batch within one shard; grows across all epochs.
pub type Seq = u64;

/// Number of journal rows of a shard. Batches overwrite them one after the
/// other, from the first again after the last, so that nothing has to be deleted
/// and recovery reads a bounded number of rows.
pub const JOURNAL_ROWS: u64 = 64;

/// Where one member of an attempt was placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Incarnation of the worker; a later incarnation has no record of the task.
    pub run: Incarnation,
}

/// A request that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The request.
    pub request: Request,
    /// Latest start by the wall clock, in milliseconds since 1970.
    pub until_millis: u64,
}

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A request was accepted.
    Accept(Accepted),
    /// The starts of an attempt are about to be sent; they may have been sent.
    Intent {
        /// Key of the request.
        key: String,
        /// Epoch of the owner that made the attempt.
        epoch: Epoch,
        /// Number of the attempt.
        attempt: u32,
        /// Workers of its members; empty when the attempt has ended.
        placed: Vec<Placement>,
    },
    /// A request has ended with its final answer.
    End {
        /// Key of the request.
        key: String,
        /// Final answer.
        answer: Answer,
        /// Time of the record, in milliseconds since 1970.
        at_millis: u64,
    },
    /// Waiting requests were cancelled by one call.
    Cancel {
        /// Keys of the requests.
        keys: Vec<String>,
        /// Time of the record, in milliseconds since 1970.
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
    /// Epoch of the owner that wrote it.
    pub epoch: Epoch,
    /// The records, in the order of their creation.
    pub records: Vec<Record>,
}

impl Formatted for Batch {
    fn format(&self) -> u16 {
        self.format
    }
}
