//! What becomes of each message to the owner.

use job::JobId;

use super::Pool;
use crate::JobView;
use crate::OwnerMessage;

impl Pool {
    pub(super) fn take(&mut self, message: OwnerMessage) {
        match message {
            // Without a reply, the caller hears that no owner answers.
            OwnerMessage::State(id, reply) => {
                if self.owned() {
                    // A caller that has left does not need the answer.
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
                // A caller's handler that has left needs no answer.
                let _ = reply.send(());
            }
            OwnerMessage::Canceled(id, reply) => {
                // One that is not known yet is known to be cancelled by its row.
                self.planner.cancel(id);
                // A caller's handler that has left needs no answer.
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

    /// Length of a queue, for a caller.
    fn count_queue(&mut self, queue: &str) -> usize {
        let now = self.context.now();
        let count = self.counts.of(queue, now, &self.planner);
        log::info!(
            code = 372, queue = queue, waiting = count.waiting, ordered = count.ordered,
            unfinished = count.unfinished, epoch = self.epoch; "queue counted"
        );
        count.waiting
    }

    /// What is known of a job.
    fn view(&self, id: JobId) -> JobView {
        if self.planner.undecided(id) {
            return JobView::Undecided;
        }
        let shown = self.planner.shown(id);
        shown.map_or(JobView::Unknown, JobView::Job)
    }
}
