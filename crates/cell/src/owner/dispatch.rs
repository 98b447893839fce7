//! Dispatches each message to the owner to its handler.

use job::JobId;
use job::Requester;

use super::Pool;
use crate::JobView;
use crate::OwnerMessage;

impl Pool {
    pub(super) fn dispatch(&mut self, message: OwnerMessage) {
        match message {
            // Without a reply, the caller falls back to the store.
            OwnerMessage::QueryStatus(id, requester, reply) => {
                if self.owned() {
                    // The caller may have closed its request; then it needs no reply.
                    let _ = reply.send(self.job_view(id, requester.as_ref()));
                }
            }
            OwnerMessage::QueryLength(queue, reply) => {
                if self.jobs_current() {
                    let _ = reply.send(self.count_queue(&queue));
                }
            }
            OwnerMessage::Poll(request, reply) => self.handle_poll(request, reply),
            OwnerMessage::JobRows(change, started) => {
                self.handle_jobs(change);
                self.freshness.record_jobs_read(started);
                self.planner.record_jobs_read(started);
            }
            OwnerMessage::JobAccepted(job, reply) => {
                if !self.unreadable_jobs.contains(&job.id) {
                    self.add_job(job.id, job.spec, None, false);
                }
                // The handler of the request may have ended; then it needs no reply.
                let _ = reply.send(());
            }
            OwnerMessage::JobCanceled(id, requester, reply) => {
                self.handle_canceled(id, requester);
                // The handler of the request may have ended; then it needs no reply.
                let _ = reply.send(());
            }
            // Without a reply, the process reads the job's rows.
            OwnerMessage::CancelEarly(cancel, reply) => {
                if self.owned() {
                    let _ = reply.send(self.cancel_unread(cancel));
                }
            }
            OwnerMessage::Registrations(change) => self.handle_registrations(change),
            OwnerMessage::Worker(key, event) => self.handle_event(key, event),
            OwnerMessage::WorkersEnded(ended) => self.handle_ended(ended.as_deref()),
            OwnerMessage::RowsRemoved(ids) => self.handle_removed(&ids),
            OwnerMessage::SaveFinished(save, result) => self.handle_saved(save, result),
            OwnerMessage::GuardRead(result) => self.handle_guard(result),
        }
    }

    /// Number of waiting jobs in a queue, for a caller.
    fn count_queue(&mut self, queue: &str) -> usize {
        let now = self.context.now();
        let count = self.queue_counts.lookup(queue, now, &self.planner);
        log::info!(
            code = 372, queue = queue, waiting = count.waiting, ordered = count.unconfirmed,
            unfinished = count.unfinished, epoch = self.epoch;
            "waiting jobs of a queue counted; ordered ones have a run that no worker has confirmed"
        );
        count.waiting
    }

    /// Status of a job, for a caller.
    fn job_view(&self, id: JobId, requester: Option<&Requester>) -> JobView {
        if !self.planner.is_open_to(id, requester) {
            return JobView::Unknown;
        }
        if self.planner.status_undecided(id) {
            return JobView::Undecided;
        }
        let status = self.planner.job_status(id);
        // A job that the owner has not read yet may be a cancelled one.
        if status.is_none() && self.early_cancels.names(id) {
            return JobView::Undecided;
        }
        status.map_or(JobView::Unknown, JobView::Job)
    }
}
