//! Cancellation of jobs by the owner, also of jobs that it has not read yet.

use job::JobId;
use job::JobSpec;
use job::Progress;
use job::Requester;
use platform::Transaction;
use platform::Version;
use tokio::sync::oneshot;

use super::Pool;
use crate::EarlyCancel;
use crate::EarlyCancelReply;
use crate::EarlyWrites;
use crate::MAX_EARLY_CANCELS;
use crate::Recorded;
use crate::Save;
use crate::hex;

/// A caller's process that waits until a cancellation is stored.
pub(super) struct CancelWaiter {
    cancel: EarlyCancel,
    reply: oneshot::Sender<EarlyCancelReply>,
}

impl Pool {
    /// Adds a job to the planner, as a cancelled one if its cancellation came first.
    pub(super) fn add_job(
        &mut self,
        id: JobId,
        mut spec: JobSpec,
        progress: Option<&Progress>,
        old: bool,
    ) {
        if !spec.canceled && self.early_cancels.covers(id, &spec) {
            spec.canceled = true;
            if !self.planner.has_job(id) {
                log::info!(
                    code = 397, job:% = hex(id), epoch = self.epoch;
                    "job was cancelled before it was read: it never starts"
                );
            }
        }
        self.planner.add_job(id, spec, progress, old);
    }

    /// Cancels a job whose row contains the cancellation.
    pub(super) fn handle_canceled(&mut self, id: JobId, requester: Option<Requester>) {
        if self.planner.has_job(id) {
            if self.planner.is_open_to(id, requester.as_ref()) {
                self.planner.cancel(id);
            }
            return;
        }
        // A notification of the job's acceptance may arrive before the row, from a process that was
        // delayed between the two.
        if let Some(requester) = requester {
            let cancel = EarlyCancel { id, requester };
            self.early_cancels.note(cancel, self.context.now());
        }
    }

    /// Stores the cancellation of a job that the caller's process has not found in the store.
    pub(super) fn handle_early_cancel(
        &mut self,
        cancel: EarlyCancel,
        reply: oneshot::Sender<EarlyCancelReply>,
    ) {
        // Without a reply, the process asks again.
        if !self.owned() {
            return;
        }
        let known = self.planner.has_job(cancel.id)
            && self.planner.is_open_to(cancel.id, Some(&cancel.requester));
        if known {
            let _ = reply.send(EarlyCancelReply::Known);
            return;
        }
        match self
            .early_cancels
            .record(cancel.clone(), self.context.now())
        {
            Recorded::Pending => self.add_waiter(CancelWaiter { cancel, reply }),
            Recorded::Stored => {
                let _ = reply.send(EarlyCancelReply::Stored);
            }
            Recorded::Full(wait) => {
                let _ = reply.send(EarlyCancelReply::Full(wait));
            }
        }
    }

    /// Adds a process that waits. It asks again if it gets no reply.
    fn add_waiter(&mut self, waiter: CancelWaiter) {
        if self.cancel_waiters.len() >= MAX_EARLY_CANCELS {
            self.cancel_waiters
                .retain(|waiter| !waiter.reply.is_closed());
        }
        if self.cancel_waiters.len() < MAX_EARLY_CANCELS {
            self.cancel_waiters.push(waiter);
        }
    }

    /// Adds the rows of early cancellations to a transaction.
    pub(super) fn add_early_cancels(&mut self, save: &mut Save, transaction: &mut Transaction) {
        let writes = self.early_cancels.take(save.started);
        let puts = writes.puts.iter();
        let puts = puts.map(|cancel| (cancel.row(), cancel.value()));
        transaction.puts.extend(puts);
        let removes = writes.removes.iter().map(EarlyCancel::row);
        transaction.removes.extend(removes);
        save.early_cancels = writes;
    }

    /// Replies to the processes that wait for a transaction that was carried out.
    pub(super) fn early_cancels_saved(&mut self, writes: &EarlyWrites, version: Version) {
        self.early_cancels.saved(writes, self.context.now());
        if writes.puts.is_empty() {
            return;
        }
        for cancel in &writes.puts {
            log::info!(
                code = 398, job:% = hex(cancel.id), version = version, epoch = self.epoch;
                "cancellation of a job that is not stored was stored"
            );
        }
        let stored = self
            .cancel_waiters
            .extract_if(.., |waiter| writes.puts.contains(&waiter.cancel));
        for waiter in stored {
            // The caller may have closed its request; then it needs no reply.
            let _ = waiter.reply.send(EarlyCancelReply::Stored);
        }
    }
}
