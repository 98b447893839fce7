//! Rows and transactions of the table, in their JSON representation.

use serde::Deserialize;
use serde::Serialize;

/// Version number of a row, assigned by its latest write; 0 stands for a row
/// that does not exist.
pub type RowVersion = u64;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, unique in the table.
    pub key: String,
    /// Version assigned by the latest write; never reused for the same key.
    pub version: RowVersion,
    /// Content of the row.
    pub value: String,
}

/// Condition of a transaction on the version of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if the row must not exist.
    pub version: RowVersion,
}

/// Write or deletion of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content of the row; `None` deletes the row.
    pub value: Option<String>,
}

/// A transaction: applies all writes if every check matches the row's current
/// version, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Conditions on row versions.
    pub checks: Vec<Check>,
    /// Writes and deletions to apply.
    pub writes: Vec<Write>,
}

impl Commit {
    /// Adds a condition on the version of a row.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: RowVersion) -> Commit {
        let key = key.into();
        self.checks.push(Check { key, version });
        self
    }

    /// Adds a write of a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Commit {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value.into()),
        });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Commit {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommitOutcome {
    /// The writes were applied; contains the new row versions in the order of the
    /// writes.
    Done(Vec<RowVersion>),
    /// A check failed; nothing was written.
    Conflict(Conflict),
}

/// The first failed check of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the row.
    pub key: String,
    /// Current version of the row; 0 if it does not exist.
    pub found: RowVersion,
}
