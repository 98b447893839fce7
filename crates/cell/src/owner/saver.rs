//! Writes the owner's durable state: progress, the used workers and the renewal of the
//! ownership. The methods of [`Pool`], the state of the owner's task, start these writes and
//! handle their results.
//!
//! Every transaction is conditional on the guard row and writes it, so the transactions form a
//! chain: one that is carried out late, after its reply was lost, finds the guard row changed
//! and does nothing. Without that, old progress would replace newer. If a reply is overdue, the
//! version of the guard row shows whether the transaction was carried out.

use std::sync::Arc;
use std::time::Duration;

use job::Epoch;
use job::JobId;
use job::Outcome;
use platform::Committed;
use platform::RowName;
use platform::StoreError;
use platform::Transaction;
use platform::Version;
use tokio::sync::oneshot;

use super::Pool;
use super::WorkerRows;
use super::guarded_commit::GuardedCommit;
use super::guarded_commit::read_guard_version;
use super::reply_wait::ReplyWait;
use crate::Context;
use crate::Guard;
use crate::LearntWrites;
use crate::OwnerMessage;
use crate::Ownership;
use crate::Save;
use crate::UsedWorker;
use crate::callers::millis;
use crate::encode_row;
use crate::guard_row;
use crate::metrics::count;
use crate::metrics::observe;
use crate::ownership_row;
use crate::progress_row;
use crate::used_worker_row;

/// Time between two renewals of the ownership.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest time between two transactions: changes that come up meanwhile share the next one.
/// This saves a tenth of the calls to the store, while ends of runs wait only 15 ms longer on
/// average.
const MIN_SAVE_GAP: Duration = Duration::from_millis(30);

/// Maximum number of entries of a transaction.
pub(super) const MAX_ENTRIES: usize = 100;

/// Maximum number of rows of jobs, workers and early cancellations in one transaction: the other
/// entries are the condition, the guard row and the ownership row.
const MAX_ROWS: usize = MAX_ENTRIES - 3;

/// Maximum number of workers whose rows are written or removed in one transaction.
const MAX_WORKERS: usize = 35;

/// Longest time for which a new owner renews the ownership while it still reads the state of
/// the former owner; a megabyte takes 4 s on a link of 2 Mbit/s. A host that needs longer lets the
/// ownership expire, so that another host takes the pool; the guard row then makes the writes of
/// the slow host fail.
const TAKE_OVER_LIMIT: Duration = Duration::from_secs(20);

/// Reading time at take-over after which the owner counts as overloaded, so that a larger host may
/// take the pool. Even a host with half a core reads 4,000 jobs in 0.4 s.
const LONG_TAKE_OVER: Duration = Duration::from_secs(1);

/// Longest time for which starts wait for the release of the pool: several times what a write takes
/// unless the store is slow. While it is slow, the pool would stand idle for a second.
const RELEASE_HOLD: Duration = Duration::from_millis(100);

/// Pause after a transaction that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Whether the ownership of the pool is being released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// The pool is owned, and no release was requested.
    NotRequested,
    /// The next transaction without unsaved ends releases the pool.
    Requested,
    /// The transaction that releases the pool has been in progress since this time.
    InProgress(Duration),
    /// The store has confirmed the release.
    Confirmed,
}

/// State of the owner's writes.
pub(crate) struct Saver {
    context: Context,
    epoch: Epoch,
    guard_version: Version,
    /// An earlier transaction that is conditional on `guard_version` may still be carried out, so
    /// a newer guard row does not show which transaction wrote it.
    ambiguous: bool,
    /// Time after which the reply to a transaction is overdue.
    reply_wait: ReplyWait,
    /// Number of renewals, which is written with each of them.
    renewals: u64,
    /// A transaction, or a read of the guard row, is in progress.
    in_progress: bool,
    /// No transaction starts before this time.
    not_before: Duration,
    /// When the current [`RENEW_INTERVAL`] began: at the creation of this state, at the sending of
    /// the newest confirmed renewal during the take-over, or after the take-over at the arrival of
    /// its reply, or at its sending if no reply came.
    last_renewal: Duration,
    /// When the newest confirmed renewal during the take-over was sent; zero if there was none.
    /// The time for which the new owner may renew the leases of workers counts from then.
    confirmed_renewal: Duration,
    /// Rows of used workers that are still to be written or removed.
    row_changes: WorkerRows,
    /// Writes of the row of learnt state.
    pub(super) learnt_writes: LearntWrites,
    release: Release,
    /// The owner cannot keep up with the pool, or has been reading the state of the former owner
    /// for longer than [`LONG_TAKE_OVER`]. Its renewals say so, and a larger host may take the
    /// pool.
    overloaded: bool,
}

impl Saver {
    pub(crate) fn new(context: &Context, epoch: Epoch) -> Saver {
        Saver {
            context: context.clone(),
            epoch,
            guard_version: 0,
            ambiguous: false,
            reply_wait: ReplyWait::default(),
            renewals: 0,
            in_progress: false,
            not_before: Duration::ZERO,
            last_renewal: context.now(),
            confirmed_renewal: Duration::ZERO,
            row_changes: WorkerRows::default(),
            learnt_writes: LearntWrites::new(context.now()),
            release: Release::NotRequested,
            overloaded: false,
        }
    }

    /// Reads the guard row, and makes the next transaction conditional on the version found;
    /// returns whether this process still owns the pool.
    pub(crate) async fn refresh_guard(&mut self) -> Result<bool, StoreError> {
        let version = read_guard_version(&self.context, self.epoch).await?;
        if let Some(version) = version {
            self.set_guard_version(version);
        }
        Ok(version.is_some())
    }

    /// Makes the next transaction conditional on `version`. Transactions that are conditional on
    /// an older version cannot be carried out any more.
    fn set_guard_version(&mut self, version: Version) {
        if version != self.guard_version {
            self.ambiguous = false;
        }
        self.guard_version = version;
    }

    /// A commit of `transaction`, which was built last.
    fn guarded_commit(&self, transaction: Transaction) -> GuardedCommit {
        GuardedCommit {
            transaction: Arc::new(transaction),
            epoch: self.epoch,
            guard_version: self.guard_version,
            ambiguous: self.ambiguous,
            wait: self.reply_wait.current(),
        }
    }

    /// Records the result of a commit; `reply_time` is the time that its reply took, if it came.
    fn record_result(
        &mut self,
        result: &Result<Committed, StoreError>,
        reply_time: Option<Duration>,
    ) {
        match result {
            Ok(Committed::Done(version)) => self.set_guard_version(*version),
            Ok(Committed::Conflict) => {}
            Err(error) if error.certainly_not_done() => {}
            Err(_) => {
                self.ambiguous = true;
                self.reply_wait.record_lost();
            }
        }
        if let Some(time) = reply_time {
            self.reply_wait.record(time);
        }
    }

    /// Waits until `reading` is closed and returns true; until then, but for [`TAKE_OVER_LIMIT`]
    /// at most, renews the ownership. Returns false at once if another process owns the pool, or
    /// if this process has to stop and has therefore tried to release the pool. If it released the
    /// pool only after it has read all rows, no task would start until then.
    pub(super) async fn renew_until(&mut self, mut reading: oneshot::Receiver<()>) -> bool {
        let start = self.context.now();
        let end = start + TAKE_OVER_LIMIT;
        loop {
            tokio::select! {
                _ = &mut reading => return true,
                () = tokio::time::sleep(RENEW_INTERVAL) => {}
                () = self.context.stopped() => {
                    self.request_release();
                    self.renew(self.context.now()).await;
                    return false;
                }
            }
            let now = self.context.now();
            self.overloaded = now > start + LONG_TAKE_OVER;
            if now < end && !self.renew(now).await {
                return false;
            }
        }
    }

    /// Renews the ownership; returns false if another process owns the pool, and true if it
    /// does not or if the store does not show it.
    async fn renew(&mut self, now: Duration) -> bool {
        let mut save = Save::default();
        // No worker report has been handled yet, so there is no unsaved end.
        save.batch.ends_complete = true;
        let transaction = self.build_transaction(&mut save, now);
        let commit = self.guarded_commit(transaction);
        let (result, reply_time) = commit.run(&self.context).await;
        self.record_result(&result, reply_time);
        match result {
            Ok(Committed::Done(_)) => {
                self.last_renewal = now;
                self.confirmed_renewal = now;
                true
            }
            // The guard row was changed by an earlier renewal whose reply was lost, or by a
            // successor.
            Ok(Committed::Conflict) => self.refresh_guard().await.unwrap_or(true),
            Err(error) => {
                log::warn!(
                    code = 308, epoch = self.epoch, error:% = error;
                    "renewal of the ownership failed during take-over; the take-over goes on"
                );
                true
            }
        }
    }

    /// When the newest confirmed renewal during the take-over was sent; zero if there was none.
    pub(super) fn confirmed_renewal(&self) -> Duration {
        self.confirmed_renewal
    }

    /// Queues the row of a worker that is about to be used: the row is written first, so that
    /// a successor asks this worker for a report.
    pub(crate) fn queue_row(&mut self, id: String, worker: UsedWorker) {
        self.row_changes.put(id, worker);
    }

    /// Queues the removal of the row of a worker on which no run can be running any more.
    pub(crate) fn queue_removal(&mut self, id: String) {
        self.row_changes.remove(id);
    }

    /// Sets whether the next renewal says that the owner cannot keep up.
    pub(super) fn set_overloaded(&mut self, overloaded: bool) {
        self.overloaded = overloaded;
    }

    /// Makes the next transaction that leaves no unsaved end behind release the pool.
    pub(crate) fn request_release(&mut self) {
        self.release = Release::Requested;
    }

    pub(crate) fn released(&self) -> bool {
        self.release == Release::Confirmed
    }

    /// Whether starts wait for the transaction that releases the pool, since they would not be saved
    /// any more and a successor would not count a crash under them. They wait for [`RELEASE_HOLD`] at
    /// most.
    pub(super) fn holds_starts(&self, now: Duration) -> bool {
        matches!(self.release, Release::InProgress(since) if now < since + RELEASE_HOLD)
    }

    /// Whether a transaction is to be started; `unsaved` says whether the planner has unsaved
    /// progress.
    fn due(&self, now: Duration, unsaved: bool) -> bool {
        let renewal = now.saturating_sub(self.last_renewal) >= RENEW_INTERVAL;
        let row_changes = !self.row_changes.is_empty();
        let wanted = renewal || row_changes || unsaved || self.release == Release::Requested;
        wanted && !self.in_progress && !self.released() && now >= self.not_before
    }

    /// Returns the number of rows that fit into the next transaction beside the rows of workers.
    fn max_other_rows(&self) -> usize {
        MAX_ROWS - self.row_changes.len().min(MAX_WORKERS)
    }

    /// Builds the transaction for the batch in `save`, and adds to `save` what else it writes: rows
    /// of workers, a renewal if one is due, and the release.
    fn build_transaction(&mut self, save: &mut Save, now: Duration) -> Transaction {
        let guard = Guard {
            epoch: self.epoch,
            incarnation: self.context.incarnation,
        };
        let mut puts: Vec<(RowName, Vec<u8>)> = vec![(guard_row(), encode_row(&guard))];
        let progress = save.batch.jobs.iter();
        puts.extend(progress.map(|(id, progress)| (progress_row(*id), encode_row(progress))));
        (save.used_workers, save.unused_workers) =
            self.row_changes.take(MAX_WORKERS, save.batch.ends_complete);
        let used_workers = save.used_workers.iter();
        puts.extend(used_workers.map(|(id, worker)| (used_worker_row(id), encode_row(worker))));
        save.releases = self.release == Release::Requested && save.batch.ends_complete;
        save.renews = save.releases || now.saturating_sub(self.last_renewal) >= RENEW_INTERVAL;
        if save.renews {
            self.renewals += 1;
            let ownership = Ownership {
                epoch: self.epoch,
                node: self.context.settings.node.clone(),
                incarnation: self.context.incarnation,
                address: self.context.settings.peer_address(),
                renewals: self.renewals,
                released: save.releases,
                calls: self.context.settings.owner_calls(),
                overloaded: self.overloaded,
            };
            puts.push((ownership_row(), encode_row(&ownership)));
        }
        Transaction {
            expect: vec![(guard_row(), self.guard_version)],
            puts,
            removes: save
                .unused_workers
                .iter()
                .map(|id| used_worker_row(id))
                .collect(),
        }
    }
}

impl Pool {
    /// Starts a transaction if one is due and none is in progress.
    pub(super) fn start_save(&mut self, now: Duration) {
        let unsaved = self.planner.has_unsaved() || self.early_cancels.has_unsaved();
        if !self.saver.due(now, unsaved) {
            return;
        }
        let max_jobs = self.saver.max_other_rows() - self.early_cancels.next_writes(now);
        let mut save = Save {
            batch: self.planner.take_batch(max_jobs),
            started: now,
            ..Save::default()
        };
        let mut transaction = self.saver.build_transaction(&mut save, now);
        self.add_early_cancels(&mut save, &mut transaction);
        self.add_learnt(&mut save, &mut transaction);
        let used_workers = save.used_workers.iter().map(|(id, _)| id);
        for id in used_workers.chain(&save.unused_workers) {
            // A successor may find this row or not. So the worker counts among those of which the
            // owner needs a majority to renew leases without the store, but not towards it.
            self.freshness.authority.row_pending(id);
        }
        self.saver.in_progress = true;
        if save.releases {
            self.saver.release = Release::InProgress(now);
        }
        self.saver.not_before = now + MIN_SAVE_GAP;
        let commit = self.saver.guarded_commit(transaction);
        let context = self.context.clone();
        let sender = self.result_sender.clone();
        tokio::spawn(async move {
            // When the store answers again after an outage, the changes are put back and sent
            // again: a request from before may never be answered.
            let commit = async {
                let (result, reply_time) = commit.run(&context).await;
                save.reply_time = reply_time;
                result
            };
            let result = context.abandon_on_recovery(commit).await;
            let _ = sender.send(OwnerMessage::SaveFinished(save, result)).await;
        });
    }

    /// Handles the result of a transaction. After a conflict or an error, its changes are put back
    /// for the next one, which after a conflict has to wait until the guard row is read.
    pub(super) fn handle_saved(&mut self, save: Save, result: Result<Committed, StoreError>) {
        let now = self.context.now();
        let metrics = self.context.metrics.clone();
        self.saver.record_result(&result, save.reply_time);
        match result {
            Ok(Committed::Done(version)) => {
                count(&metrics.saves, "done");
                observe(&metrics.save, now.saturating_sub(save.started));
                self.saver.in_progress = false;
                // The time until which leases may be renewed counts from the start of the write.
                self.freshness.authority.record_write(save.started);
                if save.releases {
                    self.saver.release = Release::Confirmed;
                }
                if save.renews {
                    // Without a reply, the confirmation comes so late that the next renewal, which
                    // may have to wait for one other transaction, would be overdue.
                    let replied = save.reply_time.is_some();
                    self.saver.last_renewal = if replied { now } else { save.started };
                }
                self.early_cancels_saved(&save.early_cancels, version);
                self.apply_saved(save);
            }
            Ok(Committed::Conflict) => {
                count(&metrics.saves, "conflict");
                self.restore_save(save);
                self.reread_guard();
            }
            Err(error) => {
                log::warn!(
                    code = 361, epoch = self.epoch, error:% = error;
                    "write of the owner's state to the store failed; its changes are written again"
                );
                count(&metrics.saves, "failed");
                self.saver.in_progress = false;
                self.saver.not_before = now + RETRY_PAUSE;
                self.restore_save(save);
            }
        }
    }

    /// Publishes what a transaction has saved: outcomes to callers, numbers of ends to the links,
    /// which then acknowledge them, and workers whose rows are written, to which links are opened.
    fn apply_saved(&mut self, save: Save) {
        for (id, progress) in &save.batch.jobs {
            if let Some(outcome) = progress.outcome {
                self.log_job_end(*id, outcome);
            }
        }
        self.planner.batch_saved(&save.batch);
        for (key, number) in &save.batch.ends {
            if let Some(link) = self.links.get(key) {
                link.set_saved_end(*number);
            }
        }
        for id in &save.unused_workers {
            self.freshness.authority.row_removed(id);
        }
        if let Some(row) = save.learnt {
            self.saver.learnt_writes.saved(row);
        }
        for (id, worker) in save.used_workers {
            self.freshness.authority.row_written(&id);
            let key = self.planner.worker_key(&id);
            // If the row names another incarnation, a successor would not ask this one for a
            // report yet.
            let key = key.filter(|key| {
                let info = self.planner.worker_info(*key);
                info.is_some_and(|info| info.incarnation == worker.incarnation)
            });
            if let Some(key) = key
                && !self.links.contains_key(&key)
            {
                self.used_workers.insert(id);
                self.open_link(key);
            }
        }
    }

    fn log_job_end(&self, id: JobId, outcome: Outcome) {
        let Some(timing) = self.planner.timing(id) else {
            return;
        };
        let job = &self.context.metrics.job;
        observe(&job.with_label_values(&[&outcome.to_string()]), timing.age);
        // `ms` is the time since the job was accepted, `objective_ms` the time within which callers
        // want it completed. Expected, not measured: `chain_ms`, the run time of its longest chain of
        // dependent steps, and `work_ms`, the work of all its tasks in milliseconds of one core.
        log::info!(
            code = 362, job:% = crate::hex(id), outcome:% = outcome, queue = timing.queue.as_str(),
            organisation = timing.organisation.as_deref(), priority = timing.priority, ms = millis(timing.age), objective_ms = millis(timing.objective),
            chain_ms = millis(timing.critical_path), work_ms = timing.work;
            "job ended, outcome stored"
        );
    }

    /// Puts back the changes of a failed transaction.
    fn restore_save(&mut self, save: Save) {
        if save.releases {
            self.saver.release = Release::Requested;
        }
        self.planner.batch_failed(&save.batch);
        let now = self.context.now();
        self.early_cancels.failed(save.early_cancels, now);
        self.saver
            .row_changes
            .put_back(save.used_workers, save.unused_workers);
    }

    /// Reads the guard row after a conflict: it was changed by an earlier transaction of this
    /// owner whose reply was lost, or by a successor.
    fn reread_guard(&self) {
        let context = self.context.clone();
        let sender = self.result_sender.clone();
        let epoch = self.epoch;
        tokio::spawn(async move {
            let result = read_guard_version(&context, epoch).await;
            let _ = sender.send(OwnerMessage::GuardRead(result)).await;
        });
    }

    /// Handles the guard row that was read after a conflict: allows the next transaction, or ends
    /// the ownership if a successor wrote the row. A failed read is repeated.
    pub(super) fn handle_guard(&mut self, result: Result<Option<Version>, StoreError>) {
        match result {
            Ok(Some(version)) => {
                self.saver.set_guard_version(version);
                self.saver.in_progress = false;
            }
            Ok(None) => self.has_successor = true,
            Err(error) => {
                log::warn!(
                    code = 363, epoch = self.epoch, error:% = error;
                    "guard row cannot be read after a write conflict; reading it again"
                );
                self.reread_guard();
            }
        }
    }
}
