//! Trait of the platform's transactional table.

use std::future::Future;

use crate::Commit;
use crate::CommitOutcome;
use crate::Row;
use crate::StoreError;

/// Maximum number of rows in one page of a range read.
pub const PAGE_ROWS: usize = 500;

/// The platform's transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads one row; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>> + Send;

    /// Reads all rows whose keys begin with `prefix`, in key order. Pages of
    /// [`PAGE_ROWS`] rows are read one after another, so rows of different pages may
    /// stem from before and after the same commit.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, StoreError>> + Send;

    /// Runs a transaction. After [`StoreError::Unknown`] it may have been applied.
    fn commit(
        &self,
        commit: &Commit,
    ) -> impl Future<Output = Result<CommitOutcome, StoreError>> + Send;
}
