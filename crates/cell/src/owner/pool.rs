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
use job::Progress;
use job::RenewalAuthority;
use job::WorkerInfo;
use job::WorkerKey;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Helpers;
use super::Link;
use super::LinkShared;
use super::LivenessCheck;
use super::MAX_CLAIMS;
use super::QueueCounts;
use super::ReplyLatency;
use super::Retention;
use super::Saver;
use super::StartDeadline;
use super::StartWindow;
use super::StoreContact;
use super::fencing::FencingTable;
use super::follow_workers;
use super::freshness::Freshness;
use super::marks::Marks;
use super::max_reply_delay;
use super::overload::Overload;
use super::start_age::StartAges;
use super::takeover::READ_RETRY_PAUSE;
use super::takeover::follow_jobs;
use super::takeover::take_over;
use crate::Context;
use crate::EarlyCancels;
use crate::Follower;
use crate::OwnerMessage;
use crate::UsedWorker;
use crate::callers::millis;

/// Shortest time between two planning cycles: under load, several messages share one cycle.
const MIN_CYCLE_GAP: Duration = Duration::from_millis(4);

/// Pause after a planning cycle, as a multiple of the cycle's duration.
const PAUSE_FACTOR: u32 = 2;

/// Time between planning cycles when no message arrives: leases, rounds of repeated jobs and
/// renewals are checked at least this often.
const IDLE_INTERVAL: Duration = Duration::from_millis(25);

/// Age of the registrations above which the owner does not rely on the capacities in them, since a
/// worker may have shrunk. Tasks may be started up to a worker's former capacity for 4.5 s after it
/// has shrunk, and its new capacity is registered with its next heartbeat, up to 1.5 s after the
/// change.
const STALE_AGE: Duration = Duration::from_secs(3);

/// Queued results of the owner's writes: at most one transaction and one read of the guard row
/// are in progress at a time.
const RESULT_CAPACITY: usize = 4;

/// Part of the grace period of a planned stop that an owner may spend on releasing the pool: a
/// slow store takes up to 1.2 s for a write, and one may already be in progress.
const RELEASE_SHARE: f64 = 0.5;

/// State of the pool's owner.
pub(crate) struct Pool {
    pub(super) context: Context,
    pub(super) epoch: Epoch,
    pub(super) planner: Planner,
    pub(super) sender: mpsc::Sender<OwnerMessage>,
    /// Messages to the owner, except for the results of its writes.
    messages: mpsc::Receiver<OwnerMessage>,
    /// Results of the owner's writes, which are handled before all other messages: queued
    /// behind the messages of 3,000 links, renewals of the ownership were a second apart.
    write_results: mpsc::Receiver<OwnerMessage>,
    pub(super) result_sender: mpsc::Sender<OwnerMessage>,
    /// Open links, by worker.
    pub(super) links: HashMap<WorkerKey, Link>,
    /// Fencing tokens and starts in progress, by worker.
    fencing_table: FencingTable,
    pub(super) saver: Saver,
    pub(super) helpers: Helpers,
    pub(super) liveness: LivenessCheck,
    pub(super) retention: Retention,
    pub(super) marks: Marks,
    /// Cancellations of jobs that this owner has not read.
    pub(super) early_cancels: EarlyCancels,
    /// Workers with a row in the table of used workers.
    pub(super) used_workers: HashSet<String>,
    /// Jobs whose progress row cannot be decoded; they are not run. When they were treated as
    /// jobs that had never started, completed ones ran again.
    pub(super) unreadable_jobs: HashSet<JobId>,
    /// Keys of rows of jobs that were found unreadable, and logged.
    pub(super) unreadable_keys: HashSet<String>,
    /// Progress of the jobs whose rows could not be decoded at take-over, in case they are later.
    pub(super) unread_progress: HashMap<JobId, Progress>,
    pub(super) freshness: Freshness,
    pub(super) overload: Overload,
    pub(super) queue_counts: QueueCounts,
    /// Publishes to the links how long a worker may delay its reply to a renewal while it has
    /// no end to report.
    delay_sender: watch::Sender<Duration>,
    /// Permits to claim a worker, [`MAX_CLAIMS`] of them.
    claim_permits: Arc<Semaphore>,
    /// Estimate of how long workers take to answer.
    pub(super) latency: Arc<ReplyLatency>,
    /// Limit of the starts in progress.
    pub(super) start_window: StartWindow,
    /// Configuration that was passed to the planner.
    config: Option<Arc<Config>>,
    /// Tasks that follow the job rows and the registrations of workers.
    tasks: JoinSet<()>,
    /// When the load was last logged.
    pub(super) load_logged: Duration,
    /// When the newest successful read of the registrations started.
    pub(super) registrations_read: Duration,
    /// What the other processes have said about the store.
    pub(super) store_contact: StoreContact,
    /// No task starts: the registrations are too old for a start to reach its worker in time.
    pub(super) starts_held: bool,
    /// Ages of the registrations behind the starts.
    pub(super) start_ages: Arc<StartAges>,
    /// Another process owns the pool: a worker has refused a command of this epoch, or the
    /// guard row was written by a newer owner.
    pub(super) has_successor: bool,
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
        let started = context.now();
        let mut saver = Saver::new(&context, epoch);
        let (inherited, freshness) = loop {
            if ownership_lost(&context, epoch) {
                return None;
            }
            let read_started = context.now();
            match take_over(&context, &mut saver).await {
                Ok(Some(inherited)) => {
                    let workers = inherited.used_workers.iter().map(|(id, _)| id.clone());
                    let mut authority = RenewalAuthority::new(read_started, workers);
                    authority.record_write(saver.confirmed_renewal());
                    break (inherited, Freshness::new(read_started, authority));
                }
                Ok(None) => return None,
                Err(error) => {
                    log::warn!(
                        code = 331, epoch = epoch, error:% = error;
                        "state of the former owner cannot be read from the store; retrying"
                    );
                    // The process is stopping: the ownership is left to expire.
                    if context.stopping() {
                        return None;
                    }
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
        };
        let wall = context.wall_time().saturating_sub(context.now());
        let policy = context.settings.policy();
        let planner = Planner::new(policy, epoch, context.now(), wall);
        let (result_sender, write_results) = mpsc::channel(RESULT_CAPACITY);
        let mut pool = Pool {
            write_results,
            result_sender,
            planner,
            epoch,
            sender,
            messages,
            links: HashMap::new(),
            fencing_table: FencingTable::default(),
            saver,
            helpers: Helpers::default(),
            liveness: LivenessCheck::default(),
            retention: Retention::default(),
            marks: Marks::default(),
            early_cancels: EarlyCancels::default(),
            used_workers: HashSet::new(),
            unreadable_jobs: inherited.unreadable_jobs,
            unreadable_keys: HashSet::new(),
            unread_progress: HashMap::new(),
            freshness,
            overload: Overload::default(),
            queue_counts: QueueCounts::default(),
            delay_sender: watch::Sender::new(max_reply_delay(0, 1.0, 1.0)),
            claim_permits: Arc::new(Semaphore::new(MAX_CLAIMS)),
            latency: Arc::default(),
            start_window: StartWindow::new(context.settings.link_mbps),
            config: None,
            tasks: JoinSet::new(),
            load_logged: Duration::ZERO,
            registrations_read: context.now(),
            store_contact: StoreContact::default(),
            starts_held: false,
            start_ages: Arc::new(StartAges::new(context.metrics.start_age.clone())),
            has_successor: false,
            context,
        };
        for cancel in inherited.early_cancels {
            let now = pool.context.now();
            pool.early_cancels.restore(cancel, now);
        }
        // The jobs are added first: an end in a worker report would be ignored if its job had
        // not been added, and the task would run again.
        for row in &inherited.jobs {
            pool.handle_job(row, Some(&inherited.progress));
        }
        for &id in &pool.unreadable_jobs {
            pool.planner.add_unreadable_job(id);
        }
        for _ in 0..inherited.undecodable_workers {
            pool.planner.add_unreadable_worker();
        }
        pool.restore_learnt(inherited.learnt.as_ref());
        for (id, worker) in inherited.used_workers {
            pool.restore_worker(&id, worker);
        }
        pool.spawn_followers(inherited.follower);
        let took = pool.context.now().saturating_sub(started);
        log::info!(
            code = 330, epoch = epoch, workers = pool.used_workers.len(), jobs = inherited.jobs.len(),
            unfinished = pool.planner.unfinished(), suspects = pool.planner.suspect_count(),
            ms = took.as_millis();
            "pool opened: state of the former owner read from the store; claiming its workers"
        );
        Some(pool)
    }

    fn spawn_followers(&mut self, jobs: Follower) {
        let jobs = follow_jobs(self.context.clone(), jobs, self.sender.clone());
        self.tasks.spawn(jobs);
        let workers = follow_workers(self.context.clone(), self.sender.clone());
        self.tasks.spawn(workers);
    }

    /// Adds a worker that the former owner may have sent tasks to.
    fn restore_worker(&mut self, id: &str, worker: UsedWorker) {
        self.planner.restore_share(worker.share());
        let info = WorkerInfo {
            id: id.to_owned(),
            incarnation: worker.incarnation,
            service: worker.service,
            address: worker.address,
            capacity: worker.capacity,
            labels: worker.labels,
            draining: false,
            remaining: None,
        };
        self.used_workers.insert(id.to_owned());
        if let Some(key) = self.planner.restore_worker(info) {
            self.open_link(key);
        }
    }

    pub(super) fn open_link(&mut self, key: WorkerKey) {
        self.open_link_at(key, None);
    }

    /// Opens a link to a worker, at `new_address` if that is given, otherwise at the address
    /// of its row or registration.
    pub(super) fn open_link_at(&mut self, key: WorkerKey, new_address: Option<SocketAddr>) {
        let Some(info) = self.planner.worker_info(key) else {
            return;
        };
        let mut info = info.clone();
        info.address = new_address.unwrap_or(info.address);
        let fencing = self.fencing_table.open(self.epoch, &info.id);
        let shared = LinkShared {
            owned_until: self.freshness.subscribe_owned_until(),
            reply_delay: self.delay_sender.subscribe(),
            claim_permits: self.claim_permits.clone(),
            latency: self.latency.clone(),
        };
        let sender = self.sender.clone();
        let link = Link::open(&self.context, key, &info, fencing, sender, shared);
        self.links.insert(key, link);
    }

    /// Publishes how long workers may delay their replies, which depends on the number of links.
    fn publish_reply_delay(&self) {
        let settings = &self.context.settings;
        let delay = max_reply_delay(self.links.len(), settings.cores, settings.link_mbps);
        self.delay_sender.send_if_modified(|current| {
            let changed = *current != delay;
            *current = delay;
            changed
        });
    }

    /// Serves the pool until the ownership is lost or the process stops.
    pub(crate) async fn run(mut self) {
        if self.serve().await {
            self.release().await;
        }
        self.close();
    }

    /// Closes the links. Links that are left open to workers which the successor has not
    /// reached would renew the leases of these workers without end; this shows as workers that
    /// answer two owners. The successor waits until these leases should have expired and then
    /// starts the workers' tasks elsewhere, although they are still running.
    fn close(self) {
        for link in self.links.into_values() {
            link.close();
        }
    }

    /// Serves the pool; returns whether this process still owns it when it stops.
    async fn serve(&mut self) -> bool {
        let mut next_plan = self.context.now();
        let mut plan_due = true;
        let mut ownership = self.context.ownership.clone();
        loop {
            let now = self.context.now();
            let wake = if plan_due {
                next_plan
            } else {
                now + IDLE_INTERVAL
            };
            tokio::select! {
                message = self.write_results.recv() => {
                    self.handle_all(message);
                    plan_due = true;
                }
                message = self.messages.recv() => {
                    self.handle_all(message);
                    plan_due = true;
                }
                () = tokio::time::sleep(wake.saturating_sub(now)) => {}
                _ = ownership.changed() => {}
                () = self.context.stopped() => return true,
            }
            let run_at = self.context.now();
            let lag = run_at.saturating_sub(wake.max(now));
            self.store_contact.record_lag(run_at, lag);
            if self.has_successor || ownership_lost(&self.context, self.epoch) {
                log::warn!(
                    code = 332, epoch = self.epoch;
                    "pool lost: another process owns it; this process stops serving it"
                );
                return false;
            }
            let now = self.context.now();
            if now >= next_plan {
                self.plan_cycle(now);
                let end = self.context.now();
                // A long planning cycle is followed by a long pause, which leaves processor
                // time for replies to workers, helpers and callers.
                let pause = end.saturating_sub(now) * PAUSE_FACTOR;
                next_plan = end + pause.max(MIN_CYCLE_GAP);
                plan_due = false;
            }
        }
    }

    /// Handles a message and all others that have arrived by then, results of writes first.
    fn handle_all(&mut self, message: Option<OwnerMessage>) {
        let mut next = message;
        while let Some(message) = next {
            // The clock is advanced for each message. With one time for the whole batch, a
            // start that was confirmed while the batch was handled seemed older than a worker
            // report that had been requested before it; the report did not list the run, so the
            // run counted as ended, and the worker was booked over its capacity.
            self.planner.advance(self.context.now());
            self.dispatch(message);
            let next_result = self.write_results.try_recv();
            next = next_result.or_else(|_| self.messages.try_recv()).ok();
        }
    }

    /// One planning cycle: decides, sends commands and saves progress.
    fn plan_cycle(&mut self, now: Duration) {
        let config = self.context.config.borrow().clone();
        if let Some(config) = config
            && self.config.as_ref().map(|current| current.version) != Some(config.version)
        {
            self.planner.configure(&config);
            self.config = Some(config);
        }
        self.check_freshness(now);
        self.publish_owned_until(now);
        self.publish_reply_delay();
        self.planner.advance(now);
        self.check_registration_age();
        self.check_limits_age();
        let recovering = self.planner.recovering();
        if self.owned() && !self.saver.holds_starts(now) {
            let budget = if self.starts_admitted(now) {
                self.start_window.available()
            } else {
                0
            };
            self.planner.set_start_budget(budget);
            self.planner.plan();
        } else {
            self.planner.process_timeouts();
        }
        if recovering && !self.planner.recovering() {
            let unclaimed = self.planner.unclaimed_workers();
            log::info!(
                code = 333, epoch = self.epoch, silent = unclaimed, ms = millis(self.planner.uptime());
                "take-over finished: no unreported run is active; tasks of the former owner may start again"
            );
        }
        self.check_overload(now);
        self.log_load(now);
        self.log_losses();
        self.log_unknown_ends();
        self.log_suspects();
        self.send_commands();
        self.record_first_starts();
        self.assign_calls(now);
        self.move_links();
        self.check_liveness(now);
        self.remove_expired_jobs(now);
        self.remove_marks(now);
        self.start_save(now);
    }

    /// Time since the start of the newest read of the registrations that was handled.
    pub(super) fn registrations_age(&self) -> Duration {
        let now = self.context.now();
        now.saturating_sub(self.registrations_read)
    }

    /// Until when a start may reach its worker.
    pub(super) fn start_deadline(&self) -> StartDeadline {
        let may_serve = self.store_contact.may_serve(
            self.context.now(),
            self.context.store_answered_at(),
            self.context.store_unreachable(),
        );
        let bound = self.context.settings.drain_bound();
        StartDeadline::new(self.registrations_read, bound, may_serve)
    }

    /// Whether a start that is sent now is expected to reach its worker in time.
    fn starts_admitted(&mut self, now: Duration) -> bool {
        let delivery = self.latency.mean_latency();
        let admitted = self.start_deadline().admits(now, delivery);
        if admitted == self.starts_held {
            self.starts_held = !admitted;
            log::warn!(
                code = 390, epoch = self.epoch, held = !admitted, read_ms = millis(self.registrations_age()),
                answer_ms = millis(delivery);
                "worker registrations became too old to start tasks on, or current again; while held, nothing starts"
            );
        }
        admitted
    }

    /// While the registrations cannot be read, tasks are only started within the capacity to
    /// which a worker may have shrunk.
    fn check_registration_age(&mut self) {
        let age = self.registrations_age();
        let stale = age > STALE_AGE;
        if self.planner.set_registrations_stale(stale) {
            log::warn!(
                code = 383, epoch = self.epoch, stale = stale, read_ms = millis(age),
                share = self.planner.smallest_share();
                "worker registrations became stale or current; while stale, starts use a reduced capacity"
            );
        }
    }

    /// While the configuration cannot be read, a lower limit of an organisation may be in force, so
    /// its work does not start.
    fn check_limits_age(&mut self) {
        // A start takes effect when it reaches its worker.
        let age = self.context.config_age() + self.latency.mean_latency();
        let outdated = age > self.context.config_ages().usable;
        if self.planner.set_limits_outdated(outdated) {
            log::warn!(
                code = 388, epoch = self.epoch, outdated = outdated, age_ms = millis(age);
                "configuration became outdated or current; while outdated, no work of organisations starts"
            );
        }
    }

    pub(super) fn worker_id(&self, key: WorkerKey) -> &str {
        self.planner
            .worker_info(key)
            .map_or("", |info| info.id.as_str())
    }

    /// Releases the pool, so that a successor need not wait for the ownership to expire, and
    /// serves it until the release is written. An owner that started no more tasks from the
    /// moment it was asked to stop left the pool idle for 5.3 s while a slow store took its
    /// last write, and 324 of 2,154 lookup jobs failed.
    async fn release(&mut self) {
        let end = self.context.now() + self.context.settings.grace().mul_f64(RELEASE_SHARE);
        self.planner.begin_release();
        self.saver.request_release();
        while self.context.now() < end && !self.saver.released() && !self.has_successor {
            let now = self.context.now();
            if ownership_lost(&self.context, self.epoch) {
                break;
            }
            self.plan_cycle(now);
            let next = self.context.now() + MIN_CYCLE_GAP;
            let message = tokio::select! {
                message = self.write_results.recv() => message,
                message = self.messages.recv() => message,
                () = tokio::time::sleep(IDLE_INTERVAL) => None,
            };
            self.planner.advance(self.context.now());
            self.handle_all(message);
            let gap = next.saturating_sub(self.context.now());
            tokio::time::sleep(gap).await;
        }
        log::info!(
            code = 336, epoch = self.epoch, released = self.saver.released();
            "release of the pool ended; unless it is released, a successor waits for its expiry"
        );
    }
}

/// Whether the ownership row, as last read, names a higher epoch than `epoch`.
fn ownership_lost(context: &Context, epoch: Epoch) -> bool {
    let view = context.ownership.borrow();
    view.ownership
        .as_ref()
        .is_some_and(|ownership| ownership.epoch > epoch)
}
