//! Handles changes of jobs and registrations from the store, and events from the workers.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use job::JobId;
use job::Progress;
use job::ReportOrigin;
use job::WorkerInfo;
use job::WorkerKey;
use job::WorkerReport;
use platform::Row;

use super::Link;
use super::Pool;
use super::registrations::MAX_UNREADABLE;
use crate::Change;
use crate::JOB_TABLE;
use crate::RegistrationChange;
use crate::UsedWorker;
use crate::WorkerEvent;
use crate::callers::millis;
use crate::decode_job_row;
use crate::is_rejection_mark;
use crate::job_id_of;
use crate::metrics::count;

impl Pool {
    pub(super) fn handle_jobs(&mut self, change: Change) {
        let (Change::Snapshot(rows) | Change::Delta(rows)) = change;
        for row in rows {
            self.handle_job(&row, None);
        }
    }

    /// Handles a job's row. At take-over, `inherited` is the progress that the former owner
    /// left, by job.
    pub(super) fn handle_job(&mut self, row: &Row, inherited: Option<&HashMap<JobId, Progress>>) {
        if row.removed {
            return;
        }
        if is_rejection_mark(&row.value) {
            self.marks.record(row, self.context.now());
            return;
        }
        let id = job_id_of(&row.name);
        let spec = decode_job_row(&row.value);
        if let Ok(id) = id {
            self.retention.record_row(id, &row.name);
        }
        match (id, spec) {
            (Ok(id), Ok(_)) if self.unreadable_jobs.contains(&id) => {}
            (Ok(id), Ok(_)) if self.retention.predates_removal(id, row.version) => {}
            (Ok(id), Ok(spec)) => {
                if inherited.is_none() && !self.planner.has_job(id) {
                    log::info!(
                        code = 393, job:% = crate::hex(id), version = row.version,
                        part = row.name.part.as_str(), canceled = spec.canceled;
                        "job read of which no process has notified this owner"
                    );
                }
                let kept = self.unread_progress.remove(&id);
                let old = inherited.is_some() || kept.is_some();
                let progress = inherited.and_then(|inherited| inherited.get(&id));
                self.add_job(id, spec, progress.or(kept.as_ref()), old);
            }
            (id, Err(error)) => {
                if let Ok(id) = id {
                    self.planner.add_unreadable_job(id);
                    let progress = inherited.map(|inherited| inherited.get(&id));
                    let kept = progress.map(|progress| (id, progress.cloned().unwrap_or_default()));
                    self.unread_progress.extend(kept);
                }
                self.log_unreadable(row, &error);
            }
            (Err(error), _) => {
                self.log_unreadable(row, &error);
            }
        }
    }

    /// Logs a row of a job that cannot be decoded, or whose key is not the id of a job, once.
    fn log_unreadable(&mut self, row: &Row, error: &impl Display) {
        let logged = &mut self.unreadable_keys;
        if logged.len() < MAX_UNREADABLE && logged.insert(row.name.key.clone()) {
            count(&self.context.metrics.unreadable, JOB_TABLE);
            log::error!(
                code = 334, key = row.name.key.as_str(), error:% = error;
                "row of a job cannot be decoded; the row is ignored"
            );
        }
    }

    pub(super) fn handle_registrations(&mut self, change: RegistrationChange) {
        let now = self.context.now();
        self.start_ages
            .record_queued(now.saturating_sub(change.read_ended));
        self.registrations_read = self.registrations_read.max(change.read_started);
        for info in change.updated {
            self.handle_registration(info);
        }
        for id in change.deleted {
            log::info!(
                code = 341, worker = id.as_str();
                "worker's registration was removed; the worker gets no new tasks"
            );
            self.planner.deregister_worker(&id);
        }
    }

    /// Handles a new or changed registration. A new worker is used only after its row is written.
    fn handle_registration(&mut self, info: WorkerInfo) {
        let (id, incarnation, address) = (info.id.clone(), info.incarnation, info.address);
        if info.draining {
            let key = self.planner.worker_key(&id);
            log::info!(
                code = 342, worker = id.as_str(), life = incarnation,
                read_ms = millis(self.registrations_age()),
                running = key.map_or(0, |key| self.planner.booked_runs(key));
                "worker has registered as draining; it gets no new tasks"
            );
        }
        let before = self.planner.capacity(&id);
        let share_before = self.planner.smallest_share();
        let new = self.planner.register_worker(info);
        if let Some(key) = new {
            log::info!(
                code = 340, worker = id.as_str(), life = incarnation, address:% = address;
                "worker registered; it is claimed once its row is stored"
            );
            self.queue_worker_row(key);
            return;
        }
        let Some(key) = self.planner.worker_key(&id) else {
            return;
        };
        let recorded = self
            .planner
            .worker_info(key)
            .and_then(|info| info.incarnation);
        if recorded != incarnation {
            log::info!(
                code = 387, worker = id.as_str(), life = incarnation, known = recorded, address:% = address;
                "worker registered as another incarnation; not used until the current one has ended"
            );
            return;
        }
        self.move_link(key, address);
        let (Some(before), Some(after)) = (before, self.planner.capacity(&id)) else {
            return;
        };
        if before.current != after.current {
            log::info!(
                code = 382, worker = id.as_str(), cpu = after.current.cpu, memory = after.current.memory,
                cpu_before = before.current.cpu, memory_before = before.current.memory;
                "worker registered with another capacity; new starts use it"
            );
        }
        if after.largest != before.largest || self.planner.smallest_share() < share_before {
            // A successor that first reads the worker's registration while the worker is small
            // needs its largest capacity from the row: the worker may grow again. One that reads
            // it while the worker is large needs the smallest share.
            self.queue_worker_row(key);
        }
    }

    /// Queues the row of a worker to be written, after which the worker may be used. The row
    /// states the largest capacity that the worker has had, and the smallest share in the pool.
    pub(super) fn queue_worker_row(&mut self, key: WorkerKey) {
        let Some(info) = self.planner.worker_info(key) else {
            return;
        };
        let largest = self.planner.capacity(&info.id);
        let used = UsedWorker {
            service: info.service.clone(),
            address: info.address,
            capacity: largest.map_or(info.capacity, |size| size.largest),
            labels: info.labels.clone(),
            incarnation: info.incarnation,
            smallest_share: self.planner.smallest_share(),
        };
        self.saver.queue_row(info.id.clone(), used);
    }

    /// Queues the removal of the row of a worker that has ended. In a pool in which capacities
    /// shrink, another worker's row is written, since the removed one may be the only one that
    /// states the smallest share.
    pub(super) fn queue_row_removal(&mut self, id: String) {
        self.used_workers.remove(&id);
        self.saver.queue_removal(id);
        if self.planner.smallest_share() < 1.0 {
            let mut used = self.used_workers.iter();
            if let Some(key) = used.find_map(|id| self.planner.worker_key(id)) {
                self.queue_worker_row(key);
            }
        }
    }

    /// Moves the links of unresponsive workers that have registered at another address to that
    /// address.
    pub(super) fn move_links(&mut self) {
        for (key, address) in self.planner.reregistered() {
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

    pub(super) fn handle_event(&mut self, key: WorkerKey, event: WorkerEvent) {
        // The incarnation has ended, so its events are ignored. Not even a refused token means
        // that there is a newer owner: the next incarnation has received a higher token.
        if self.planner.worker_info(key).is_none() {
            return;
        }
        match event {
            WorkerEvent::LeaseSent => self.planner.extend_lease(key),
            WorkerEvent::Unresponsive => self.planner.mark_unresponsive(key),
            WorkerEvent::Late(sent, until) => self.planner.await_reply(key, sent, until),
            WorkerEvent::Reported(sent, report) => self.handle_report(key, sent, &report),
            WorkerEvent::StartAnswered(task, run, reply) => {
                count(&self.context.metrics.starts, &reply.to_string());
                self.planner.start_reply(key, task, run, reply);
            }
            WorkerEvent::StopAnswered(task, run, reply) => {
                self.planner.stop_reply(key, task, run, reply);
            }
            WorkerEvent::Fenced => {
                log::warn!(
                    code = 335, worker = self.worker_id(key), epoch = self.epoch;
                    "worker refused a command: it obeys a newer owner; this process stops serving the pool"
                );
                self.has_successor = true;
            }
            WorkerEvent::Ended => {
                log::info!(
                    code = 344, worker = self.worker_id(key);
                    "another worker uses this worker's address: its incarnation has ended, its runs are lost"
                );
                self.planner.worker_ended(key);
            }
        }
    }

    /// Logs a worker report and passes it to the planner. If it is of the worker's current
    /// incarnation, it also confirms that the worker accepts commands of this owner.
    fn handle_report(&mut self, key: WorkerKey, sent: Duration, report: &WorkerReport) {
        let origin = self.planner.match_incarnation(key, sent, report);
        if origin != ReportOrigin::Current {
            self.log_other_incarnation(key, report, origin);
            self.planner.apply_report(key, sent, report);
            return;
        }
        if let Some(link) = self.links.get_mut(&key) {
            link.set_clock(report.clock, self.context.now());
            link.record_accepted(sent);
        }
        if !self.planner.claimed(key) {
            log::info!(
                code = 343, worker = self.worker_id(key), life = report.incarnation, epoch = self.epoch,
                running = report.running.len(), ended = report.ended.len();
                "worker claimed: its first report to this owner has arrived"
            );
        }
        let handled_end = self.planner.newest_end(key);
        self.log_ignored_ends(key, report);
        for end in report.ended.iter().filter(|end| end.number > handled_end) {
            count(&self.context.metrics.ends, &end.how.to_string());
            log::info!(
                code = 354, task:% = end.task, run = end.run, how:% = end.how,
                number = end.number, worker = self.worker_id(key);
                "run ended"
            );
        }
        let lacks_incarnation = self
            .planner
            .worker_info(key)
            .is_some_and(|info| info.incarnation.is_none());
        self.planner.apply_report(key, sent, report);
        if lacks_incarnation && report.incarnation.is_some() {
            // The row was written by an earlier version, without the incarnation. A successor
            // needs it, to compare it with the incarnation that reports to it.
            self.queue_worker_row(key);
        }
    }

    /// Logs that a report is of another incarnation than the planner's current one, and up to
    /// which number the ends of the current one were handled and may be acknowledged.
    fn log_other_incarnation(&self, key: WorkerKey, report: &WorkerReport, origin: ReportOrigin) {
        let recorded = self
            .planner
            .worker_info(key)
            .and_then(|info| info.incarnation);
        let acknowledged = self.links.get(&key).map(Link::saved_end);
        log::warn!(
            code = 384, worker = self.worker_id(key), life = report.incarnation, known = recorded, seen:% = origin,
            taken = self.planner.newest_end(key), acknowledged = acknowledged,
            running = report.running.len(), ended = report.ended.len();
            "worker report of another incarnation; replaces the current one if newer, else ignored"
        );
    }

    /// Logs reported ends that are ignored, since their numbers were already handled, although
    /// their runs are still booked.
    fn log_ignored_ends(&self, key: WorkerKey, report: &WorkerReport) {
        let handled_end = self.planner.newest_end(key);
        let ignored = report.ended.iter().filter(|end| end.number <= handled_end);
        for end in ignored.filter(|end| self.planner.has_booked(key, end.task, end.run)) {
            log::warn!(
                code = 385, task:% = end.task, run = end.run, how:% = end.how, number = end.number,
                taken = handled_end, worker = self.worker_id(key), life = report.incarnation;
                "reported end ignored: its number was handled before, but its run is still booked"
            );
        }
    }
}
