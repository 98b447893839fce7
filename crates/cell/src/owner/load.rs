//! Log lines and metrics about the pool's load, lost runs and suspects.

use std::time::Duration;

use job::Finding;
use job::Load;
use job::Suspect;

use super::Pool;
use crate::callers::millis;
use crate::metrics::count;

/// Time between two log lines about the pool's load.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of organisations that are logged at the same time.
const MAX_ORGANISATIONS: usize = 10;

impl Pool {
    /// Logs the pool's load and the owner's traffic, and updates the load metrics, at most once in
    /// each [`LOG_INTERVAL`].
    pub(super) fn log_load(&mut self, now: Duration) {
        if now < self.load_logged + LOG_INTERVAL {
            return;
        }
        self.load_logged = now;
        let load = self.planner.load();
        self.publish_load(&load);
        self.set_pool("early_cancels", self.early_cancels.len() as u64);
        log::info!(
            code = 370, epoch = self.epoch, usable = load.usable, cpu = load.capacity.cpu,
            cpu_used = load.booked.cpu, kept = load.reserved_workers, kept_idle = load.reserved_cpu, memory = load.capacity.memory, memory_used = load.booked.memory,
            placed = load.placed, running = load.running, waiting = load.waiting, steps = load.pending_steps,
            unfinished = load.unfinished;
            "load of the pool; cpu in 1/1000 cores, memory in MB; reserved for gangs: kept_idle cpu on kept workers"
        );
        self.log_speeds();
        self.log_traffic();
        self.log_ages();
        self.log_limits();
        self.log_shares();
        self.log_forecast();
    }

    /// Logs the reported ends that name no job or task, and updates the metric of those that are
    /// kept.
    pub(super) fn log_unknown_ends(&mut self) {
        self.set_pool("unmatched_ends", self.planner.unmatched_ends() as u64);
        for job::UnmatchedEnd { worker, end, .. } in self.planner.take_unknown_ends() {
            log::warn!(
                code = 391, task:% = end.task, run = end.run, how:% = end.how, number = end.number,
                worker = self.worker_id(worker), epoch = self.epoch;
                "reported end dropped: its job has been removed, or does not have this task"
            );
        }
    }

    /// Logs the speeds of the workers, and updates their metrics.
    fn log_speeds(&self) {
        let Some(speeds) = self.planner.pool_speeds() else {
            return;
        };
        let (fast, middle, slow) = (speeds.fast, speeds.middle, speeds.slow);
        log::info!(
            code = 379, epoch = self.epoch, differs = speeds.differs,
            fast_percent = speeds.fast_percent, slow_percent = speeds.slow_percent,
            fast = fast.workers, middle = middle.workers, slow = slow.workers, unknown = speeds.unknown,
            fast_free = fast.free_cpu, middle_free = middle.free_cpu, slow_free = slow.free_cpu;
            "speeds of the workers: run times on a fast and a slow one in percent of the mean; workers by speed, and their free processors in 1/1000 cores"
        );
        for (name, class) in [("fast", fast), ("middle", middle), ("slow", slow)] {
            self.set_pool(&format!("workers_{name}"), class.workers as u64);
            self.set_pool(&format!("cpu_free_{name}"), class.free_cpu);
        }
    }

    /// Logs the newest forecast, and updates its metrics: one line for each service and priority.
    fn log_forecast(&self) {
        let Some(forecast) = self.planner.forecast(self.epoch) else {
            return;
        };
        let gauges = &self.context.metrics.forecast;
        for pool in &forecast.pools {
            for level in &pool.levels {
                for (kind, flow) in [("single", level.single), ("gang", level.gang)] {
                    let priority = level.priority.to_string();
                    let (wait, late_wait) = (flow.wait(), flow.late_wait());
                    for (figure, wait) in [("wait", wait), ("late_wait", late_wait)] {
                        let labels = [&pool.service, &priority, kind, figure];
                        let millis = i64::try_from(wait.as_millis()).unwrap_or(i64::MAX);
                        gauges.with_label_values(&labels).set(millis);
                    }
                    log::info!(
                        code = 377, epoch = self.epoch, service = pool.service.as_str(), priority = level.priority,
                        kind = kind, ahead = flow.ahead, rate = flow.rate, late = flow.late, late_rate = flow.late_rate,
                        wait_ms = millis(wait), late_wait_ms = millis(late_wait), free = pool.free.first();
                        "forecast for new jobs; work in 1/1000 core-seconds, rates a second, free in 1/1000 cores"
                    );
                }
            }
        }
    }

    /// Logs the organisations whose limits delay the most work.
    fn log_limits(&self) {
        for delayed in self.planner.delayed_organisations(MAX_ORGANISATIONS) {
            let (used, limit) = (delayed.used, delayed.limit.0);
            log::info!(
                code = 375, organisation = delayed.name.as_str(), epoch = self.epoch, steps = delayed.steps,
                cpu_used = used.cpu, cpu = limit.cpu, memory_used = used.memory, memory = limit.memory,
                gpu_used = used.gpu, gpu = limit.gpu;
                "limit of an organisation delays its work; 0 means no limit"
            );
        }
    }

    /// Logs the organisations that want more than their fair shares.
    fn log_shares(&self) {
        let pool = &self.context.metrics.pool;
        let set = |figure: &str, value: u64| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            pool.with_label_values(&[figure]).set(value);
        };
        set("over_share", self.planner.count_over_share() as u64);
        set("largest_use", self.planner.largest_use());
        for over in self.planner.organisations_over_share(MAX_ORGANISATIONS) {
            log::info!(
                code = 376, organisation = over.name.as_str(), epoch = self.epoch, steps = over.steps,
                running = over.running, recent = over.recent, fair = over.fair;
                "organisation wants more than its fair share: some of its steps go after those of others; in thousandths of the pool"
            );
        }
    }

    /// Logs the traffic on the owner's link, which distinguishes a full link from workers that
    /// do not answer.
    fn log_traffic(&self) {
        let workers = self.context.commands.traffic().take();
        let store = self.context.store.traffic().take();
        log::info!(
            code = 373, epoch = self.epoch, answered = workers.answered, lost = workers.lost,
            slowest_ms = millis(workers.slowest), sent = workers.sent, received = workers.received,
            store_answered = store.answered, store_lost = store.lost, store_slowest_ms = millis(store.slowest),
            store_sent = store.sent, store_received = store.received;
            "calls of the owner to workers and the store since the last line with this code; sent and received in bytes"
        );
    }

    /// Logs how old the registrations behind the starts were.
    fn log_ages(&self) {
        let largest = self.start_ages.take();
        log::info!(
            code = 389, epoch = self.epoch, read_ms = millis(self.registrations_age()),
            sent_ms = millis(largest.sent), answered_ms = millis(largest.answered),
            queued_ms = millis(largest.queued);
            "age of the worker registrations now, and the largest since the last line with this code: when a start was sent, when one was answered; wait of a read for the owner"
        );
    }

    /// Logs each lost run with the cause of the loss.
    pub(super) fn log_losses(&mut self) {
        for lost in self.planner.take_losses() {
            count(&self.context.metrics.lost_runs, &lost.cause.to_string());
            // `confirmed`: the worker had confirmed the start. `age_ms`: time since the last change of
            // the run's state. `beside`: number of other runs on the worker.
            log::info!(
                code = 355, task:% = lost.task, run = lost.run, worker = lost.worker.as_str(),
                cause:% = lost.cause, confirmed = lost.confirmed, age_ms = millis(lost.age), beside = lost.other_runs;
                "run lost: it counts as ended without a report; its task waits again unless its job has ended"
            );
        }
    }

    /// Logs the findings about tasks that are suspected of crashing workers.
    pub(super) fn log_suspects(&mut self) {
        for suspect in self.planner.take_findings() {
            let Suspect {
                task, run, crashes, ..
            } = suspect;
            count(&self.context.metrics.suspects, &suspect.finding.to_string());
            match suspect.finding {
                Finding::Suspected => {
                    log::warn!(
                        code = 356, task:% = task, run = run, crashes = crashes;
                        "task is suspected of crashing workers: it will be tried alone on a worker"
                    );
                }
                Finding::Tried => {
                    log::info!(
                        code = 357, task:% = task, run = run, crashes = crashes;
                        "trial of a suspected task starts, alone on a worker"
                    );
                }
                Finding::Cleared => {
                    log::info!(
                        code = 358, task:% = task, run = run, crashes = crashes;
                        "run of a suspected task ended without a worker crash; the next start of the task is a trial"
                    );
                }
                Finding::JobFailed(verdict) => {
                    log::warn!(
                        code = 359, task:% = task, run = run, crashes = crashes, verdict:% = verdict;
                        "task crashed a worker in its trial, or too many crashes count against it; its job fails"
                    );
                }
            }
        }
    }

    fn publish_load(&self, load: &Load) {
        let set = |figure: &str, value: u64| self.set_pool(figure, value);
        set("usable", load.usable as u64);
        set("placed", load.placed as u64);
        set("running", load.running as u64);
        set("waiting", load.waiting as u64);
        set("unfinished", load.unfinished as u64);
        set("cpu", load.capacity.cpu);
        set("cpu_used", load.booked.cpu);
        set("memory", load.capacity.memory);
        set("memory_used", load.booked.memory);
    }

    /// Sets one figure of the pool's metric.
    fn set_pool(&self, figure: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        let pool = &self.context.metrics.pool;
        pool.with_label_values(&[figure]).set(value);
    }
}
