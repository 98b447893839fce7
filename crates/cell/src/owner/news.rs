//! Handles changes of jobs and registrations from the store, and events from the workers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use job::JobId;
use job::JobSpec;
use job::LifeSeen;
use job::Listing;
use job::Progress;
use job::WorkerInfo;
use job::WorkerKey;
use platform::Row;

use super::Link;
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

    /// Handles a job's row. At take-over, `inherited` is the progress that the former owner
    /// left, by job.
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
        let (id, life, address) = (info.id.clone(), info.life, info.address);
        if info.draining {
            log::info!(code = 342, worker = id.as_str(); "worker is leaving");
        }
        let before = self.planner.capacity(&id);
        let new = self.planner.take_worker(info);
        if let Some(key) = new {
            log::info!(code = 340, worker = id.as_str(), life = life, address:% = address; "worker registered");
            self.begin_life(key);
            return;
        }
        let Some(key) = self.planner.worker_of(&id) else {
            return;
        };
        let known = self.planner.worker(key).and_then(|info| info.life);
        if known != life {
            log::info!(
                code = 387, worker = id.as_str(), life = life, known = known, address:% = address;
                "worker registered as another life"
            );
            return;
        }
        self.move_link(key, address);
        let (Some(before), Some(after)) = (before, self.planner.capacity(&id)) else {
            return;
        };
        if before.now != after.now {
            log::info!(
                code = 382, worker = id.as_str(), cpu = after.now.cpu, memory = after.now.memory,
                cpu_before = before.now.cpu, memory_before = before.now.memory; "worker's room has changed"
            );
        }
        if after.largest != before.largest {
            // A successor that first sees the worker while it is small must know that it can
            // grow.
            self.begin_life(key);
        }
    }

    /// Queues the row of a worker, after which the worker may be used. The row holds the
    /// largest capacity that the worker has had.
    pub(super) fn begin_life(&mut self, key: WorkerKey) {
        let Some(info) = self.planner.worker(key) else {
            return;
        };
        let largest = self.planner.capacity(&info.id);
        let used = UsedWorker {
            service: info.service.clone(),
            address: info.address,
            capacity: largest.map_or(info.capacity, |room| room.largest),
            labels: info.labels.clone(),
            life: info.life,
        };
        self.saver.use_worker(info.id.clone(), used);
    }

    /// Moves the links of silent workers that have registered at another address to that
    /// address.
    pub(super) fn follow_moved(&mut self) {
        for (key, address) in self.planner.moved() {
            self.move_link(key, address);
        }
    }

    fn move_link(&mut self, key: WorkerKey, address: SocketAddr) {
        if self
            .links
            .get(&key)
            .is_some_and(|link| link.address != address)
            && let Some(link) = self.links.remove(&key)
        {
            link.close();
            self.open_link_at(key, Some(address));
        }
    }

    pub(super) fn take_news(&mut self, key: WorkerKey, news: WorkerNews) {
        // The incarnation has ended, so its events no longer count. Even a refused token says
        // nothing of a newer owner: the next incarnation has received a higher token.
        if self.planner.worker(key).is_none() {
            return;
        }
        match news {
            WorkerNews::LeaseSent => self.planner.lease_sent(key),
            WorkerNews::Silent => self.planner.worker_silent(key),
            WorkerNews::Late(sent, until) => self.planner.await_answer(key, sent, until),
            WorkerNews::Listed(sent, listing) => self.take_list(key, sent, &listing),
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

    fn take_list(&mut self, key: WorkerKey, sent: Duration, listing: &Listing) {
        let life = self.planner.life_seen(key, sent, listing);
        if life != LifeSeen::Known {
            self.report_life(key, listing, life);
            self.planner.take_listing(key, sent, listing);
            return;
        }
        if let Some(link) = self.links.get_mut(&key) {
            link.set_clock(listing.clock, self.context.now());
            link.hear(sent);
        }
        if !self.planner.claimed(key) {
            log::info!(
                code = 343, worker = self.worker_name(key), life = listing.life, epoch = self.epoch,
                running = listing.running.len(), ended = listing.ended.len();
                "worker claimed"
            );
        }
        let taken = self.planner.newest_end(key);
        self.report_passed(key, listing);
        for end in listing.ended.iter().filter(|end| end.number > taken) {
            count(&self.context.metrics.ends, &end.how.to_string());
            log::info!(
                code = 354, task:% = end.task, run = end.run, how:% = end.how,
                number = end.number, worker = self.worker_name(key); "task ended"
            );
        }
        let unnamed = self
            .planner
            .worker(key)
            .is_some_and(|info| info.life.is_none());
        self.planner.take_listing(key, sent, listing);
        if unnamed && listing.life.is_some() {
            // The row is of an earlier version: a successor must know which incarnation it is
            // for.
            self.begin_life(key);
        }
    }

    /// Logs that a report is of another incarnation than the known one, and up to which number
    /// the ends of the known one were acknowledged.
    fn report_life(&self, key: WorkerKey, listing: &Listing, seen: LifeSeen) {
        let known = self.planner.worker(key).and_then(|info| info.life);
        let acknowledged = self.links.get(&key).map(Link::seen);
        log::warn!(
            code = 384, worker = self.worker_name(key), life = listing.life, known = known, seen:% = seen,
            taken = self.planner.newest_end(key), acknowledged = acknowledged,
            running = listing.running.len(), ended = listing.ended.len();
            "worker lists another life"
        );
    }

    /// Logs reported ends that are ignored, since their numbers were already handled, although
    /// their runs are still booked.
    fn report_passed(&self, key: WorkerKey, listing: &Listing) {
        let taken = self.planner.newest_end(key);
        let passed = listing.ended.iter().filter(|end| end.number <= taken);
        for end in passed.filter(|end| self.planner.holds(key, end.task, end.run)) {
            log::warn!(
                code = 385, task:% = end.task, run = end.run, how:% = end.how, number = end.number,
                taken = taken, worker = self.worker_name(key), life = listing.life; "end passed over"
            );
        }
    }
}
