//! Rows of used workers that are still to be written or removed.

use std::collections::BTreeMap;

use crate::UsedWorker;

/// Pending changes of the rows of used workers, at most one for each worker.
///
/// With two pending changes for one worker, its row was written and removed in the same
/// transaction, and a worker in use was left without a row: a successor would not have asked it
/// for a report. So the newest change replaces an older one, and a change whose transaction has
/// failed is put back only if there is no newer one.
#[derive(Debug, Default)]
pub(crate) struct WorkerRows {
    /// The row to write, or `None` for a row to remove, by worker.
    changes: BTreeMap<String, Option<UsedWorker>>,
}

impl WorkerRows {
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Queues the row of a worker to be written.
    pub(crate) fn put(&mut self, id: String, worker: UsedWorker) {
        self.changes.insert(id, Some(worker));
    }

    /// Queues the row of a worker to be removed.
    pub(crate) fn remove(&mut self, id: String) {
        self.changes.insert(id, None);
    }

    /// Takes up to `limit` pending changes: rows to write, and rows to remove.
    pub(crate) fn take(&mut self, limit: usize) -> (Vec<(String, UsedWorker)>, Vec<String>) {
        let (mut puts, mut removes) = (Vec::new(), Vec::new());
        for _ in 0..limit {
            match self.changes.pop_first() {
                Some((id, Some(worker))) => puts.push((id, worker)),
                Some((id, None)) => removes.push(id),
                None => break,
            }
        }
        (puts, removes)
    }

    /// Queues again the changes of a failed transaction.
    pub(crate) fn put_back(&mut self, puts: Vec<(String, UsedWorker)>, removes: Vec<String>) {
        let puts = puts.into_iter().map(|(id, worker)| (id, Some(worker)));
        let removes = removes.into_iter().map(|id| (id, None));
        for (id, change) in puts.chain(removes) {
            self.changes.entry(id).or_insert(change);
        }
    }
}
