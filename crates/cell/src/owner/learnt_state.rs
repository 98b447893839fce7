//! Writes what the owner has learnt for its successor, and reads it at a take-over.

use std::future::Future;

use job::LearntState;
use job::Mechanism;
use platform::Transaction;

use super::Pool;
use super::saver::MAX_ENTRIES;
use crate::Context;
use crate::LEARNT_TABLE;
use crate::Save;
use crate::callers::STORE_TIMEOUT;
use crate::decode_learnt;
use crate::encode_learnt;
use crate::learnt_row;
use crate::metrics::count;

impl Pool {
    /// Adds the row to a transaction that renews the ownership, if the row is due and there is
    /// room for it. A transaction that releases the pool stays small.
    pub(super) fn add_learnt(&mut self, save: &mut Save, transaction: &mut Transaction) {
        let writes = &mut self.saver.learnt_writes;
        let entries = transaction.expect.len() + transaction.puts.len() + transaction.removes.len();
        let room = MAX_ENTRIES.saturating_sub(entries);
        let due = save.renews && !save.releases && writes.due(save.started, room);
        if !due || !self.context.settings.has(Mechanism::LearntState) {
            return;
        }
        let row = encode_learnt(self.planner.learnt_state());
        if let Some(row) = writes.take(save.started, row) {
            transaction.puts.push((learnt_row(), row.clone()));
            save.learnt = Some(row);
        }
    }

    /// Continues with what the former owner has learnt. Called before the workers are added.
    pub(super) fn restore_learnt(&mut self, state: Option<&LearntState>) {
        let Some(state) = state else { return };
        log::info!(
            code = 395, epoch = self.epoch, speeds = state.speeds.len(), usage = state.usage.len();
            "continuing with what the former owner has learnt"
        );
        self.planner.restore_learnt_state(state);
    }
}

/// Reads what a former owner has learnt; `None` if there is no row that can be used.
async fn read_learnt(context: &Context) -> Option<LearntState> {
    if !context.settings.has(Mechanism::LearntState) {
        return None;
    }
    let read = context.store.read_row(&learnt_row(), STORE_TIMEOUT).await;
    let row = read.ok()??;
    match decode_learnt(&row.value) {
        Ok(state) => Some(state),
        Err(error) => {
            count(&context.metrics.unreadable, LEARNT_TABLE);
            log::warn!(
                code = 396, error:% = error;
                "row of learnt state cannot be used; this owner starts without it"
            );
            None
        }
    }
}

/// Reads what a former owner has learnt beside `reads`, and does not wait for it after them.
pub(super) async fn read_beside<T>(
    context: &Context,
    reads: impl Future<Output = T>,
) -> (T, Option<LearntState>) {
    let learnt = read_learnt(context);
    tokio::pin!(learnt, reads);
    tokio::select! {
        result = &mut reads => (result, None),
        state = &mut learnt => (reads.await, state),
    }
}
