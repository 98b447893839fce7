//! The owner's task: takes messages, lets the planner decide, sends orders.

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

/// Least time between two rounds of planning: under load, several messages
/// share one round.
const PLAN_GAP: Duration = Duration::from_millis(4);

/// Time without rounds after one, as a multiple of its own time.
const ROUND_SHARE: u32 = 2;

/// Time between rounds when nothing happens: leases, rounds of repeated jobs
/// and renewals are looked after at least this often.
const TICK: Duration = Duration::from_millis(25);

/// Age of the registrations from which on a worker may have shrunk unseen. What has
/// shrunk may be filled for 4.5 s; a worker tells of it with its next heartbeat, up to
/// 1.5 s later.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// Answers to writes that wait: one write is under way at a time, and one read of
/// the guard.
const RESULT_QUEUE: usize = 4;

/// Part of the grace of a planned stop within which an owner tries to give the
/// pool up: a slow store takes up to 1.2 s for a write, and one may be under way.
const RELEASE_SHARE: f64 = 0.5;

/// The pool, owned.
pub(crate) struct Pool {
    pub(super) context: Context,
    pub(super) epoch: Epoch,
    pub(super) planner: Planner,
    pub(super) sender: mpsc::Sender<OwnerMessage>,
    messages: mpsc::Receiver<OwnerMessage>,
    /// Answers to the owner's writes, which go before all other messages: behind
    /// those of 3,000 links, renewals were a second apart.
    results: mpsc::Receiver<OwnerMessage>,
    pub(super) result_sender: mpsc::Sender<OwnerMessage>,
    pub(super) links: HashMap<WorkerKey, Link>,
    /// What orders to each worker carry.
    gates: Gates,
    pub(super) saver: Saver,
    pub(super) helpers: Helpers,
    pub(super) lives: LifeCheck,
    pub(super) retention: Retention,
    /// Workers with a row in the store.
    pub(super) used: HashSet<String>,
    /// Jobs of which it is not known how far they are: they are left alone.
    /// Taken for jobs that had never begun, they ran again when they were done.
    pub(super) unreadable: HashSet<JobId>,
    pub(super) standing: Standing,
    pub(super) strain: Strain,
    pub(super) counts: Counts,
    /// How long each worker is to wait for an end.
    holds: watch::Sender<Duration>,
    claims: Arc<Semaphore>,
    /// How long workers' answers take.
    pub(super) answers: Arc<AnswerTime>,
    pub(super) window: StartWindow,
    config: Option<Arc<Config>>,
    tasks: JoinSet<()>,
    /// When the load was logged last.
    pub(super) reported: Duration,
    /// When the newest read of the registrations began.
    pub(super) registered: Duration,
    /// Another process owns the pool.
    pub(super) deposed: bool,
}

impl Pool {
    /// Reads what a predecessor left and starts the tasks around the owner.
    /// Gives nothing if the ownership is lost meanwhile.
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
                    // The pool is left to the expiry of its ownership.
                    if context.stopping() {
                        return None;
                    }
                    tokio::time::sleep(READ_PAUSE).await;
                }
            }
        };
        let wall = context.wall_time().saturating_sub(context.now());
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
        // The jobs go first: an end that a worker lists before its job is known
        // would be passed over, and its task run again.
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

    /// A worker that a predecessor may have given work to.
    fn recall(&mut self, id: &str, worker: UsedWorker) {
        let info = WorkerInfo {
            id: id.to_owned(),
            life: worker.incarnation,
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

    /// Opens a link to a worker, at another address than is known if one is given.
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

    /// Owns the pool until it is lost or the process stops.
    pub(crate) async fn run(mut self) {
        if self.own().await {
            self.release().await;
        }
        self.close();
    }

    /// Ends the links. Left alone, those to workers that a successor has not
    /// reached would renew their leases for good; it shows as workers that
    /// answer two owners. The successor waits for these leases to be over and
    /// then starts the workers' tasks elsewhere, beside those still at work.
    fn close(self) {
        for link in self.links.into_values() {
            link.close();
        }
    }

    /// Owns the pool; gives whether it is still ours when the process stops.
    async fn own(&mut self) -> bool {
        let mut next_plan = self.context.now();
        let mut pending = true;
        let mut seat = self.context.ownership.clone();
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
                // A long round is followed by a long pause, so that answers to
                // workers, helpers and callers get their share.
                let pause = end.saturating_sub(now) * ROUND_SHARE;
                next_plan = end + pause.max(PLAN_GAP);
                pending = false;
            }
        }
    }

    fn take_all(&mut self, message: Option<OwnerMessage>) {
        let mut next = message;
        while let Some(message) = next {
            // For each message anew. With one time for all of them, a start that
            // was confirmed during a long turn seemed older than a listing that
            // was asked for before it; its run was not listed, counted as over,
            // and the worker was booked over its capacity.
            self.planner.advance(self.context.now());
            self.take(message);
            let first = self.results.try_recv();
            next = first.or_else(|_| self.messages.try_recv()).ok();
        }
    }

    /// One round: decide, send, save.
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

    /// Fills workers no further than they may have shrunk, while that cannot be read.
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

    /// Gives the pool up, so that a successor need not wait for the expiry, and
    /// owns it until that is written. An owner that started nothing any more from
    /// the moment it was asked to stop left the pool idle for 5.3 s while a slow
    /// store took its last write, and 324 of 2,154 lookups of a day failed.
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
    let view = context.ownership.borrow();
    view.ownership
        .as_ref()
        .is_some_and(|seat| seat.epoch > epoch)
}
