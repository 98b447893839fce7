//! Cancellation of jobs by the owner, also of jobs that it has not read yet.
//!
//! The owner knows all jobs up to its last read of them. So a process asks it before it reads the rows of a
//! job that is to be cancelled: a crowd that cancels ids which nobody has submitted causes no reads.

use std::time::Duration;

use job::JobId;
use job::JobSpec;
use job::Progress;
use job::Requester;
use platform::Transaction;
use platform::Version;

use super::Pool;
use crate::EarlyCancel;
use crate::EarlyCancelReply;
use crate::EarlyWrites;
use crate::Recorded;
use crate::Save;
use crate::hex;

/// Age of the last read of the jobs above which a process that cancels a job reads its rows itself: two
/// reads are overdue by then.
const BEHIND: Duration = Duration::from_millis(700);

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

    /// Replies to the cancel of a job. If this owner does not know the job, it stores the cancellation. The
    /// process asks again until that is done and all jobs that were accepted before are known.
    pub(super) fn cancel_unread(&mut self, cancel: EarlyCancel) -> EarlyCancelReply {
        if self.knows(&cancel) {
            return EarlyCancelReply::Known;
        }
        let now = self.context.now();
        let jobs_read = self.freshness.jobs_read();
        let behind = now.saturating_sub(jobs_read) > BEHIND;
        match self.early_cancels.record(cancel, now) {
            Recorded::Stored { asked } if asked <= jobs_read => EarlyCancelReply::Stored,
            Recorded::Stored { .. } | Recorded::Pending => EarlyCancelReply::Pending { behind },
            Recorded::Full(wait) => EarlyCancelReply::Full(wait),
        }
    }

    /// Whether there is a row of the job, which the requester may see.
    fn knows(&self, cancel: &EarlyCancel) -> bool {
        let &EarlyCancel { id, ref requester } = cancel;
        let added = self.planner.has_job(id) && self.planner.is_open_to(id, Some(requester));
        added || self.planner.is_unreadable(id) || self.unreadable_jobs.contains(&id)
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

    /// Records a transaction that was carried out.
    pub(super) fn early_cancels_saved(&mut self, writes: &EarlyWrites, version: Version) {
        self.early_cancels.saved(writes, self.context.now());
        for cancel in &writes.puts {
            log::info!(
                code = 398, job:% = hex(cancel.id), version = version, epoch = self.epoch;
                "cancellation of a job that is not stored was stored"
            );
        }
    }
}
