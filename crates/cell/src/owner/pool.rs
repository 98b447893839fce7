//! The owner's task: handles messages, lets the planner decide and sends its commands to the
//! workers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use job::Config;
use job::Epoch;
use job::JobId;
use job::Planner;
use job::Tenure;
use job::WorkerInfo;
use job::WorkerKey;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::AnswerTime;
use super::CLAIMS;
use super::Counts;
use super::Helpers;
use super::LifeCheck;
use super::Link;
use super::LinkPace;
use super::Retention;
use super::Saver;
use super::StartWindow;
use super::follow_workers;
use super::gate::Gates;
use super::hold_wait;
use super::standing::Standing;
use super::strain::Strain;
use super::takeover::READ_PAUSE;
use super::takeover::follow_jobs;
use super::takeover::take_over;
use crate::Context;
use crate::Follower;
use crate::OwnerMessage;
use crate::UsedWorker;
use crate::callers::millis;

/// Shortest time between two planning cycles: under load, several messages share one cycle.
const PLAN_GAP: Duration = Duration::from_millis(4);

/// Pause after a planning cycle, as a multiple of the cycle's duration.
const ROUND_SHARE: u32 = 2;

/// Time between planning cycles when no message arrives: leases, rounds of repeated jobs and
/// renewals are checked at least this often.
const TICK: Duration = Duration::from_millis(25);

/// Age of the registrations from which a worker may have shrunk without the owner having read
/// it. A worker may be filled up to its former size for 4.5 s after it has shrunk, and it
/// publishes its size with its next heartbeat, up to 1.5 s later.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// Queued results of the owner's writes: at most one transaction and one read of the guard row
/// are in progress at a time.
const RESULT_QUEUE: usize = 4;

/// Part of the grace period of a planned stop that an owner may spend on releasing the pool: a
/// slow store takes up to 1.2 s for a write, and one may already be in progress.
const RELEASE_SHARE: f64 = 0.5;

/// The pool, as its owner sees it.
pub(crate) struct Pool {
    pub(super) context: Context,
    pub(super) epoch: Epoch,
    pub(super) planner: Planner,
    pub(super) sender: mpsc::Sender<OwnerMessage>,
    messages: mpsc::Receiver<OwnerMessage>,
    /// Results of the owner's writes, which are handled before all other messages: queued
    /// behind the messages of 3,000 links, renewals of the ownership were a second apart.
    results: mpsc::Receiver<OwnerMessage>,
    pub(super) result_sender: mpsc::Sender<OwnerMessage>,
    pub(super) links: HashMap<WorkerKey, Link>,
    /// Fencing tokens and starts in progress, by worker.
    gates: Gates,
    pub(super) saver: Saver,
    pub(super) helpers: Helpers,
    pub(super) lives: LifeCheck,
    pub(super) retention: Retention,
    /// Workers with a row in the table of used workers.
    pub(super) used: HashSet<String>,
    /// Jobs whose progress row cannot be decoded; they are not run. Treated as jobs that had
    /// never started, they ran again after they were done.
    pub(super) unreadable: HashSet<JobId>,
    pub(super) standing: Standing,
    pub(super) strain: Strain,
    pub(super) counts: Counts,
    /// Publishes to the links how long a worker may hold a call while it has no end to report.
    holds: watch::Sender<Duration>,
    claims: Arc<Semaphore>,
    /// Estimate of how long workers take to answer.
    pub(super) answers: Arc<AnswerTime>,
    pub(super) window: StartWindow,
    config: Option<Arc<Config>>,
    tasks: JoinSet<()>,
    /// When the load was last logged.
    pub(super) reported: Duration,
    /// When the newest successful read of the registrations started.
    pub(super) registered: Duration,
    /// Another process owns the pool: a worker or the guard row has shown a newer owner.
    pub(super) deposed: bool,
}

impl Pool {
    /// Reads the state that the former owner left in the store, and starts the tasks around the
    /// owner. Returns `None` if the ownership is lost meanwhile.
    pub(crate) async fn open(
        context: Context,
        epoch: Epoch,
        sender: mpsc::Sender<OwnerMessage>,
        messages: mpsc::Receiver<OwnerMessage>,
    ) -> Option<Pool> {
        let begin = context.now();
        let mut saver = Saver::new(&context, epoch);
        let (left, standing) = loop {
            if lost(&context, epoch) {
                return None;
            }
            let reading = context.now();
            match take_over(&context, &mut saver).await {
                Ok(Some(left)) => {
                    let workers = left.used.iter().map(|(id, _)| id.clone());
                    let mut tenure = Tenure::new(reading, workers);
                    tenure.wrote(saver.written());
                    break (left, Standing::new(reading, tenure));
                }
                Ok(None) => return None,
                Err(error) => {
                    log::warn!(code = 331, epoch = epoch, error:% = error; "take-over cannot read");
                    // The process is stopping: the ownership is left to expire.
                    if context.stopping() {
                        return None;
                    }
                    tokio::time::sleep(READ_PAUSE).await;
                }
            }
        };
        let wall = context.wall().saturating_sub(context.now());
        let policy = context.settings.policy();
        let planner = Planner::new(policy, epoch, context.now(), wall);
        let (result_sender, results) = mpsc::channel(RESULT_QUEUE);
        let mut pool = Pool {
            results,
            result_sender,
            planner,
            epoch,
            sender,
            messages,
            links: HashMap::new(),
            gates: Gates::default(),
            saver,
            helpers: Helpers::default(),
            lives: LifeCheck::default(),
            retention: Retention::default(),
            used: HashSet::new(),
            unreadable: left.unreadable,
            standing,
            strain: Strain::default(),
            counts: Counts::default(),
            holds: watch::Sender::new(hold_wait(0, 1.0, 1.0)),
            claims: Arc::new(Semaphore::new(CLAIMS)),
            answers: Arc::default(),
            window: StartWindow::new(context.settings.link_mbps),
            config: None,
            tasks: JoinSet::new(),
            reported: Duration::ZERO,
            registered: context.now(),
            deposed: false,
            context,
        };
        // The jobs are added first: an end in a worker report whose job is not known yet would
        // be ignored, and its task run again.
        for row in &left.jobs {
            pool.take_job(row, Some(&left.progress));
        }
        for _ in 0..left.used_unreadable {
            pool.planner.miss_worker();
        }
        for (id, worker) in left.used {
            pool.recall(&id, worker);
        }
        pool.follow(left.follower);
        let took = pool.context.now().saturating_sub(begin);
        log::info!(
            code = 330, epoch = epoch, workers = pool.used.len(), jobs = left.jobs.len(),
            unfinished = pool.planner.unfinished(), suspects = pool.planner.suspects(),
            ms = took.as_millis(); "pool opened"
        );
        Some(pool)
    }

    fn follow(&mut self, jobs: Follower) {
        let jobs = follow_jobs(self.context.clone(), jobs, self.sender.clone());
        self.tasks.spawn(jobs);
        let workers = follow_workers(self.context.clone(), self.sender.clone());
        self.tasks.spawn(workers);
    }

    /// Adds a worker that the former owner may have given work to.
    fn recall(&mut self, id: &str, worker: UsedWorker) {
        let info = WorkerInfo {
            id: id.to_owned(),
            life: worker.life,
            service: worker.service,
            address: worker.address,
            capacity: worker.capacity,
            labels: worker.labels,
            draining: false,
            remaining: None,
        };
        self.used.insert(id.to_owned());
        if let Some(key) = self.planner.recall_worker(info) {
            self.open_link(key);
        }
    }

    pub(super) fn open_link(&mut self, key: WorkerKey) {
        self.open_link_at(key, None);
    }

    /// Opens a link to a worker, at `elsewhere` instead of its known address if that is given.
    pub(super) fn open_link_at(&mut self, key: WorkerKey, elsewhere: Option<SocketAddr>) {
        let Some(info) = self.planner.worker(key) else {
            return;
        };
        let mut info = info.clone();
        info.address = elsewhere.unwrap_or(info.address);
        let gate = self.gates.open(self.epoch, &info.id);
        let pace = LinkPace {
            tenure: self.standing.follow_tenure(),
            wait: self.holds.subscribe(),
            claims: self.claims.clone(),
            answers: self.answers.clone(),
        };
        let sender = self.sender.clone();
        let link = Link::open(&self.context, key, &info, gate, sender, pace);
        self.links.insert(key, link);
    }

    fn publish_holds(&self) {
        let settings = &self.context.settings;
        let wait = hold_wait(self.links.len(), settings.cores, settings.link_mbps);
        self.holds.send_if_modified(|known| {
            let changed = *known != wait;
            *known = wait;
            changed
        });
    }

    /// Serves the pool until the ownership is lost or the process stops.
    pub(crate) async fn run(mut self) {
        if self.own().await {
            self.release().await;
        }
        self.close();
    }

    /// Closes the links. Links that are left open to workers which the successor has not
    /// reached would renew the leases of these workers without end; this shows as workers that
    /// answer two owners. The successor waits for these leases to expire and then starts the
    /// workers' tasks elsewhere, although they are still running.
    fn close(self) {
        for link in self.links.into_values() {
            link.close();
        }
    }

    /// Serves the pool; returns whether this process still owns it when it stops.
    async fn own(&mut self) -> bool {
        let mut next_plan = self.context.now();
        let mut pending = true;
        let mut seat = self.context.seat.clone();
        loop {
            let now = self.context.now();
            let wake = if pending { next_plan } else { now + TICK };
            tokio::select! {
                message = self.results.recv() => {
                    self.take_all(message);
                    pending = true;
                }
                message = self.messages.recv() => {
                    self.take_all(message);
                    pending = true;
                }
                () = tokio::time::sleep(wake.saturating_sub(now)) => {}
                _ = seat.changed() => {}
                () = self.context.stopped() => return true,
            }
            if self.deposed || lost(&self.context, self.epoch) {
                log::warn!(code = 332, epoch = self.epoch; "pool lost");
                return false;
            }
            let now = self.context.now();
            if now >= next_plan {
                self.round(now);
                let end = self.context.now();
                // A long planning cycle is followed by a long pause, which leaves processor
                // time for replies to workers, helpers and callers.
                let pause = end.saturating_sub(now) * ROUND_SHARE;
                next_plan = end + pause.max(PLAN_GAP);
                pending = false;
            }
        }
    }

    fn take_all(&mut self, message: Option<OwnerMessage>) {
        let mut next = message;
        while let Some(message) = next {
            // The clock is advanced for each message. With one time for the whole batch, a
            // start that was confirmed while the batch was handled seemed older than a worker
            // report that had been requested before it; the report did not list the run, so the
            // run counted as ended, and the worker was booked over its capacity.
            self.planner.advance(self.context.now());
            self.take(message);
            let first = self.results.try_recv();
            next = first.or_else(|_| self.messages.try_recv()).ok();
        }
    }

    /// One planning cycle: decides, sends commands and saves progress.
    fn round(&mut self, now: Duration) {
        let config = self.context.config.borrow().clone();
        if let Some(config) = config
            && self.config.as_ref().map(|known| known.version) != Some(config.version)
        {
            self.planner.configure(&config);
            self.config = Some(config);
        }
        self.check_standing(now);
        self.publish_tenure(now);
        self.publish_holds();
        self.planner.advance(now);
        self.check_registrations(now);
        let recovering = self.planner.recovering();
        if self.owned() {
            self.planner.set_start_room(self.window.room());
            self.planner.plan();
        } else {
            self.planner.settle();
        }
        if recovering && !self.planner.recovering() {
            let silent = self.planner.unclaimed();
            log::info!(
                code = 333, epoch = self.epoch, silent = silent, ms = millis(self.planner.uptime());
                "tasks of the former owner may start"
            );
        }
        self.check_strain(now);
        self.report_load(now);
        self.report_losses();
        self.report_suspects();
        self.send_orders();
        self.observe_starts();
        self.give_help(now);
        self.follow_moved();
        self.check_lives(now);
        self.remove_expired(now);
        self.begin_save(now);
    }

    /// While the registrations cannot be read, workers are filled no further than the size to
    /// which they may have shrunk.
    fn check_registrations(&mut self, now: Duration) {
        let age = now.saturating_sub(self.registered);
        let stale = age > STALE_AFTER;
        if self.planner.set_stale(stale) {
            log::warn!(
                code = 383, epoch = self.epoch, stale = stale, read_ms = millis(age),
                share = self.planner.smallest_share(); "age of the registrations"
            );
        }
    }

    pub(super) fn worker_name(&self, key: WorkerKey) -> &str {
        self.planner.worker(key).map_or("", |info| info.id.as_str())
    }

    /// Releases the pool, so that a successor need not wait for the ownership to expire, and
    /// serves it until the release is written. An owner that started no more tasks from the
    /// moment it was asked to stop left the pool idle for 5.3 s while a slow store took its
    /// last write, and 324 of the 2,154 lookups of a day failed.
    async fn release(&mut self) {
        let end = self.context.now() + self.context.settings.grace().mul_f64(RELEASE_SHARE);
        self.saver.give_up();
        while self.context.now() < end && !self.saver.released() && !self.deposed {
            let now = self.context.now();
            if lost(&self.context, self.epoch) {
                break;
            }
            self.round(now);
            let next = self.context.now() + PLAN_GAP;
            let message = tokio::select! {
                message = self.results.recv() => message,
                message = self.messages.recv() => message,
                () = tokio::time::sleep(TICK) => None,
            };
            self.planner.advance(self.context.now());
            self.take_all(message);
            let rest = next.saturating_sub(self.context.now());
            tokio::time::sleep(rest).await;
        }
        log::info!(code = 336, epoch = self.epoch, released = self.saver.released(); "pool given up");
    }
}

fn lost(context: &Context, epoch: Epoch) -> bool {
    let view = context.seat.borrow();
    view.seat.as_ref().is_some_and(|seat| seat.epoch > epoch)
}
