//! Rows of used workers that are still to be written or removed.

use std::collections::BTreeMap;

use crate::UsedWorker;

/// Pending change of a worker's row.
#[derive(Debug)]
enum RowChange {
    /// Write the row of a worker that has none.
    Add(UsedWorker),
    /// Write the row of a worker whose former incarnation may have one.
    Replace(UsedWorker),
    /// Remove the row of a worker that has ended.
    Remove,
}

impl RowChange {
    /// Returns whether the change takes away the row of an incarnation that has ended.
    fn drops_row(&self) -> bool {
        !matches!(self, RowChange::Add(_))
    }
}

/// Pending changes of the rows of used workers, at most one for each worker.
///
/// With two pending changes for one worker, its row was written and removed in the same
/// transaction, and a worker in use was left without a row: a successor would not have asked it
/// for a report. So the newest change replaces an older one, and a change whose transaction has
/// failed is put back only if there is no newer one.
///
/// A successor counts the crashes that are not recorded yet by the rows of workers that do not
/// report to it. So the row of an ended incarnation stays until its crash is recorded.
#[derive(Debug, Default)]
pub struct WorkerRows {
    /// Pending change by worker.
    changes: BTreeMap<String, RowChange>,
}

impl WorkerRows {
    /// Returns whether no change is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the number of pending changes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Queues the row of a worker to be written.
    pub fn put(&mut self, id: String, worker: UsedWorker) {
        let drops_row = self.changes.get(&id).is_some_and(RowChange::drops_row);
        let change = if drops_row {
            RowChange::Replace(worker)
        } else {
            RowChange::Add(worker)
        };
        self.changes.insert(id, change);
    }

    /// Queues the row of a worker to be removed.
    pub fn remove(&mut self, id: String) {
        self.changes.insert(id, RowChange::Remove);
    }

    /// Takes up to `limit` pending changes: rows to write, and rows to remove. Unless
    /// `crashes_recorded`, the transaction leaves out some crash records, and the rows of ended
    /// incarnations stay.
    pub fn take(
        &mut self,
        limit: usize,
        crashes_recorded: bool,
    ) -> (Vec<(String, UsedWorker)>, Vec<String>) {
        let (mut puts, mut removes) = (Vec::new(), Vec::new());
        let taken = self
            .changes
            .extract_if(.., |_, change| crashes_recorded || !change.drops_row());
        for (id, change) in taken.take(limit) {
            match change {
                RowChange::Add(worker) | RowChange::Replace(worker) => puts.push((id, worker)),
                RowChange::Remove => removes.push(id),
            }
        }
        (puts, removes)
    }

    /// Queues again the changes of a failed transaction.
    pub fn put_back(&mut self, puts: Vec<(String, UsedWorker)>, removes: Vec<String>) {
        let puts = puts.into_iter();
        let puts = puts.map(|(id, worker)| (id, RowChange::Replace(worker)));
        let removes = removes.into_iter().map(|id| (id, RowChange::Remove));
        for (id, change) in puts.chain(removes) {
            self.changes.entry(id).or_insert(change);
        }
    }
}
