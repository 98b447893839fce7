//! Answers to requests, as returned to callers.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::Code;
use crate::RequestId;
use crate::WorkerId;

/// Answer to a request; either final or pending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    pub id: RequestId,
    /// Result code.
    pub code: Code,
    /// Human-readable explanation of the result code.
    pub reason: String,
    /// Output of the task; for a gang, the outputs of all tasks, joined by
    /// newlines.
    pub output: String,
    /// Hexadecimal SHA-256 of `output`, computed by the owner of the shard. Before
    /// the owner reports success, it checks the digests that the workers sent.
    pub digest: String,
    /// Worker that ran the first task of the request; empty if the answer does not
    /// report the end of a task.
    pub worker: WorkerId,
    /// Time from the arrival of the submission at a process of the cell to the start
    /// of the tasks, in milliseconds; 0 if they did not start.
    pub waited_millis: u64,
    /// Delay after which the caller may send the request again, in milliseconds;
    /// 0 if the answer suggests none.
    pub retry_millis: u64,
}

impl Answer {
    /// Creates an answer without output, worker and waiting time.
    #[must_use]
    pub fn without_output(id: &str, code: Code, reason: impl Into<String>) -> Answer {
        Answer {
            id: id.to_owned(),
            code,
            reason: reason.into(),
            output: String::new(),
            digest: digest(""),
            worker: WorkerId::new(),
            waited_millis: 0,
            retry_millis: 0,
        }
    }

    /// Sets the delay after which the caller may send the request again.
    #[must_use]
    pub fn retry_in(mut self, millis: u64) -> Answer {
        self.retry_millis = millis;
        self
    }

    /// Whether the digest matches the output, so that the output is complete and
    /// unchanged since the owner of the shard computed the digest.
    #[must_use]
    pub fn has_valid_digest(&self) -> bool {
        digest(&self.output) == self.digest
    }
}

/// Returns the hexadecimal SHA-256 of `text`.
#[must_use]
pub fn digest(text: &str) -> String {
    use std::fmt::Write;
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(text.as_bytes()) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
