//! Dispatches each message to the owner to its handler.

use job::JobId;

use super::Pool;
use crate::OwnerMessage;
use crate::OwnerView;

impl Pool {
    pub(super) fn take(&mut self, message: OwnerMessage) {
        match message {
            // If the reply is dropped, the caller is told that no owner answers.
            OwnerMessage::State(id, reply) => {
                if self.owned() {
                    // The caller may have closed its request; then it needs no reply.
                    let _ = reply.send(self.view(id));
                }
            }
            OwnerMessage::Waiting(queue, reply) => {
                if self.knows_jobs() {
                    let _ = reply.send(self.count_queue(&queue));
                }
            }
            OwnerMessage::Help(request, reply) => self.take_help(request, reply),
            OwnerMessage::Jobs(change, begun) => {
                self.take_jobs(change);
                self.standing.read(begun);
            }
            OwnerMessage::Accepted(job, reply) => {
                if !self.unreadable.contains(&job.id) {
                    self.planner.take_job(job.id, job.spec, None, false);
                }
                // The handler of the request may have ended; then it needs no reply.
                let _ = reply.send(());
            }
            OwnerMessage::Canceled(id, reply) => {
                // If the job's row has not been read yet, the row will say that the job is
                // cancelled.
                self.planner.cancel(id);
                // The handler of the request may have ended; then it needs no reply.
                let _ = reply.send(());
            }
            OwnerMessage::Workers(change) => self.take_workers(change),
            OwnerMessage::Worker(key, news) => self.take_news(key, news),
            OwnerMessage::Dead(dead) => self.take_dead(&dead),
            OwnerMessage::Removed(ids) => self.take_removed(&ids),
            OwnerMessage::Saved(save, result) => self.take_saved(save, result),
            OwnerMessage::Guard(result) => self.take_guard(result),
        }
    }

    /// Number of waiting jobs in a queue, as callers are shown it.
    fn count_queue(&mut self, queue: &str) -> usize {
        let now = self.context.now();
        let count = self.counts.of(queue, now, &self.planner);
        log::info!(
            code = 372, queue = queue, waiting = count.waiting, ordered = count.ordered,
            unfinished = count.unfinished, epoch = self.epoch; "queue counted"
        );
        count.waiting
    }

    /// State of a job, as callers are shown it.
    fn view(&self, id: JobId) -> OwnerView {
        if self.planner.undecided(id) {
            return OwnerView::Undecided;
        }
        let shown = self.planner.shown(id);
        shown.map_or(OwnerView::Unknown, OwnerView::Job)
    }
}
