//! Rows of workers in use that are still to be written or removed.

use std::collections::BTreeMap;

use crate::UsedWorker;

/// What is to become of the rows of workers, at most one wish for each.
///
/// With two wishes for one worker, its row was put and removed in the same
/// transaction, and the worker, in use again, ended without a row: a successor
/// would not have asked it what it runs. So the newest wish replaces an older
/// one, and one whose transaction has failed comes back only if there is no
/// newer one.
#[derive(Debug, Default)]
pub(crate) struct WorkerRows {
    /// The row to write, or nothing for one to remove, by worker.
    wishes: BTreeMap<String, Option<UsedWorker>>,
}

impl WorkerRows {
    pub(crate) fn is_empty(&self) -> bool {
        self.wishes.is_empty()
    }

    /// The row is to be written.
    pub(crate) fn put(&mut self, id: String, worker: UsedWorker) {
        self.wishes.insert(id, Some(worker));
    }

    /// The row is to be removed.
    pub(crate) fn remove(&mut self, id: String) {
        self.wishes.insert(id, None);
    }

    /// Takes up to `most` wishes: rows to write, and rows to remove.
    pub(crate) fn take(&mut self, most: usize) -> (Vec<(String, UsedWorker)>, Vec<String>) {
        let (mut puts, mut removes) = (Vec::new(), Vec::new());
        for _ in 0..most {
            match self.wishes.pop_first() {
                Some((id, Some(worker))) => puts.push((id, worker)),
                Some((id, None)) => removes.push(id),
                None => break,
            }
        }
        (puts, removes)
    }

    /// Takes back what a failed transaction held.
    pub(crate) fn put_back(&mut self, puts: Vec<(String, UsedWorker)>, removes: Vec<String>) {
        let puts = puts.into_iter().map(|(id, worker)| (id, Some(worker)));
        let removes = removes.into_iter().map(|id| (id, None));
        for (id, wish) in puts.chain(removes) {
            self.wishes.entry(id).or_insert(wish);
        }
    }
}
