//! News of jobs and workers: from the store, and from the workers.

use std::collections::HashMap;

use job::JobId;
use job::JobSpec;
use job::Listing;
use job::Progress;
use job::WorkerInfo;
use job::WorkerKey;
use platform::Row;

use super::Pool;
use crate::Change;
use crate::JOB_TABLE;
use crate::RosterChange;
use crate::UsedWorker;
use crate::WorkerNews;
use crate::decode_row;
use crate::job_of;
use crate::metrics::count;

impl Pool {
    pub(super) fn take_jobs(&mut self, change: Change) {
        let (Change::Full(rows) | Change::Some(rows)) = change;
        for row in rows {
            self.take_job(&row, None);
        }
    }

    /// Takes a job's row. `left` is what a predecessor left of all jobs, when
    /// the row was read at take-over.
    pub(super) fn take_job(&mut self, row: &Row, left: Option<&HashMap<JobId, Progress>>) {
        if row.removed {
            return;
        }
        let id = job_of(&row.name);
        let spec = decode_row::<JobSpec>(&row.value);
        if let Ok(id) = id {
            self.retention.saw(id, &row.name);
        }
        match (id, spec) {
            (Ok(id), Ok(_)) if self.unreadable.contains(&id) => {}
            (Ok(id), Ok(_)) if self.retention.outlived(id, row.version) => {}
            (Ok(id), Ok(spec)) => {
                let progress = left.and_then(|left| left.get(&id));
                self.planner.take_job(id, spec, progress, left.is_some());
            }
            (_, Err(error)) => {
                count(&self.context.metrics.unreadable, JOB_TABLE);
                log::error!(code = 334, key = row.name.key.as_str(), error:% = error; "job row unreadable");
            }
            (Err(error), _) => {
                count(&self.context.metrics.unreadable, JOB_TABLE);
                log::error!(code = 334, key = row.name.key.as_str(), error:% = error; "job row unreadable");
            }
        }
    }

    pub(super) fn take_workers(&mut self, change: RosterChange) {
        for info in change.present {
            self.take_registration(info);
        }
        self.registered = self.registered.max(change.read);
        for id in change.gone {
            log::info!(code = 341, worker = id.as_str(); "worker's registration is gone");
            self.planner.lose_worker(&id);
        }
    }

    fn take_registration(&mut self, info: WorkerInfo) {
        let id = info.id.clone();
        let born = info.born;
        let mut used = UsedWorker {
            service: info.service.clone(),
            address: info.address,
            capacity: info.capacity,
            labels: info.labels.clone(),
        };
        if info.draining {
            log::info!(code = 342, worker = id.as_str(); "worker is leaving");
        }
        let known = self.planner.capacity(&id);
        let before = known.filter(|known| known.now != info.capacity);
        if self.planner.take_worker(info).is_some() {
            log::info!(code = 340, worker = id.as_str(), born = born, address:% = used.address; "worker registered");
            self.saver.use_worker(id, used);
            return;
        }
        let (Some(before), Some(after)) = (before, self.planner.capacity(&id)) else {
            return;
        };
        log::info!(
            code = 382, worker = id.as_str(), cpu = after.now.cpu, memory = after.now.memory,
            cpu_before = before.now.cpu, memory_before = before.now.memory; "worker's room has changed"
        );
        if after.largest != before.largest {
            // A successor that meets it small must know that it can grow.
            used.capacity = after.largest;
            self.saver.use_worker(id, used);
        }
    }

    pub(super) fn take_news(&mut self, key: WorkerKey, news: WorkerNews) {
        match news {
            WorkerNews::LeaseSent => self.planner.lease_sent(key),
            WorkerNews::Silent => self.planner.worker_silent(key),
            WorkerNews::Late(sent, until) => self.planner.await_answer(key, sent, until),
            WorkerNews::Listed(sent, listing) => {
                self.report_life(key, &listing);
                if let Some(link) = self.links.get_mut(&key) {
                    link.set_clock(listing.clock, self.context.now());
                    link.hear(sent);
                }
                if !self.planner.claimed(key) {
                    log::info!(
                        code = 343, worker = self.worker_name(key), born = listing.born, epoch = self.epoch,
                        running = listing.running.len(), ended = listing.ended.len();
                        "worker claimed"
                    );
                }
                let taken = self.planner.newest_end(key);
                self.report_passed(key, &listing);
                for end in listing.ended.iter().filter(|end| end.number > taken) {
                    count(&self.context.metrics.ends, &end.how.to_string());
                    log::info!(
                        code = 354, task:% = end.task, run = end.run, how:% = end.how,
                        number = end.number, worker = self.worker_name(key); "task ended"
                    );
                }
                self.planner.take_listing(key, sent, &listing);
            }
            WorkerNews::StartAnswered(task, run, reply) => {
                count(&self.context.metrics.starts, &reply.to_string());
                self.planner.start_reply(key, task, run, reply);
            }
            WorkerNews::StopAnswered(task, run, reply) => {
                self.planner.stop_reply(key, task, run, reply);
            }
            WorkerNews::Fenced => {
                log::warn!(code = 335, worker = self.worker_name(key), epoch = self.epoch; "worker obeys a newer owner");
                self.deposed = true;
            }
            WorkerNews::Over => {
                log::info!(code = 344, worker = self.worker_name(key); "worker's life is over");
                self.planner.worker_over(key);
            }
        }
    }

    /// Logs that a worker lists the runs of another life than before, and which of its
    /// ends were acknowledged then.
    fn report_life(&mut self, key: WorkerKey, listing: &Listing) {
        let taken = self.planner.newest_end(key);
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let before = link.set_born(listing.born);
        if before.is_some() && before != listing.born {
            log::warn!(
                code = 384, worker = link.id.as_str(), born = listing.born, before = before, taken = taken,
                acknowledged = link.seen(), running = listing.running.len(), ended = listing.ended.len();
                "worker lists another life"
            );
        }
    }

    /// Logs ends that are passed over though their runs are taken to be at work.
    fn report_passed(&self, key: WorkerKey, listing: &Listing) {
        let taken = self.planner.newest_end(key);
        let passed = listing.ended.iter().filter(|end| end.number <= taken);
        for end in passed.filter(|end| self.planner.holds(key, end.task, end.run)) {
            log::warn!(
                code = 385, task:% = end.task, run = end.run, how:% = end.how, number = end.number,
                taken = taken, worker = self.worker_name(key), born = listing.born; "end passed over"
            );
        }
    }
}
