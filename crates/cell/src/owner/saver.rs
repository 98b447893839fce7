//! Writes the owner's durable state: progress, the used workers and the renewal of the
//! ownership.
//!
//! Every transaction is conditional on the guard row and writes it, so the transactions form a
//! chain: one that is carried out late, after its reply was lost, finds the guard row changed
//! and does nothing. Without that, old progress would replace newer.

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
use crate::Context;
use crate::Guard;
use crate::OwnerMessage;
use crate::Save;
use crate::Seat;
use crate::UsedWorker;
use crate::callers::millis;
use crate::decode_row;
use crate::encode_row;
use crate::guard_row;
use crate::metrics::count;
use crate::metrics::observe;
use crate::progress_row;
use crate::seat_row;
use crate::used_row;

/// Time between two renewals of the ownership.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// Shortest time between two transactions: changes that come up meanwhile share the next one.
/// Ends of runs wait 15 ms longer on average, and a tenth of the calls to the store are saved.
const SAVE_GAP: Duration = Duration::from_millis(30);

/// Most jobs in one transaction; the store takes 100 entries, a few of which are the guard row,
/// the renewal and workers.
const MOST_JOBS: usize = 60;

/// Most workers whose rows are written or removed in one transaction.
const MOST_WORKERS: usize = 35;

/// Longest time for which an owner renews the ownership while it still reads the state of its
/// predecessor. A megabyte takes 4 s on a link of 2 Mbit/s; a host that has not read everything
/// by then leaves the pool to another.
const TAKE_OVER_LIMIT: Duration = Duration::from_secs(20);

/// Reading time at take-over after which a larger host may take the pool; a host with half a
/// core reads 4,000 jobs in 0.4 s.
const LONG_TAKE_OVER: Duration = Duration::from_secs(1);

/// Timeout of one transaction; a slow store takes up to 1.2 s.
const SAVE_TIMEOUT: Duration = Duration::from_millis(1600);

/// Pause after a transaction that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

/// Whether the ownership of the pool is being released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// The pool is owned, and no release was requested.
    Held,
    /// The next transaction releases the pool.
    Wanted,
    /// The store has confirmed the release.
    Done,
}

/// State of the owner's writes.
pub(crate) struct Saver {
    context: Context,
    epoch: Epoch,
    guard: Version,
    beat: u64,
    /// A transaction, or a read of the guard row, is in progress.
    busy: bool,
    /// No transaction starts before this time.
    after: Duration,
    renewed: Duration,
    /// When the newest confirmed renewal during the take-over started.
    written: Duration,
    workers: WorkerRows,
    release: Release,
    /// The owner cannot keep up with the pool; its renewals say so.
    strained: bool,
}

impl Saver {
    pub(crate) fn new(context: &Context, epoch: Epoch) -> Saver {
        Saver {
            context: context.clone(),
            epoch,
            guard: 0,
            beat: 0,
            busy: false,
            after: Duration::ZERO,
            renewed: context.now(),
            written: Duration::ZERO,
            workers: WorkerRows::default(),
            release: Release::Held,
            strained: false,
        }
    }

    /// Reads the guard row; returns whether this process still owns the pool.
    pub(crate) async fn read_guard(&mut self) -> Result<bool, StoreError> {
        let version = find_guard(&self.context, self.epoch).await?;
        self.guard = version.unwrap_or(self.guard);
        Ok(version.is_some())
    }

    /// Renews the ownership until `reading` is closed, for [`TAKE_OVER_LIMIT`] at most. Returns
    /// false if another process owns the pool, or if the pool was released since this process
    /// has to stop: when it was held until everything was read, the pool stood idle for as
    /// long.
    pub(super) async fn renew_until(&mut self, mut reading: oneshot::Receiver<()>) -> bool {
        let begin = self.context.now();
        let end = begin + TAKE_OVER_LIMIT;
        loop {
            tokio::select! {
                _ = &mut reading => return true,
                () = tokio::time::sleep(RENEW_EVERY) => {}
                () = self.context.stopped() => {
                    self.give_up();
                    self.renew(self.context.now()).await;
                    return false;
                }
            }
            let now = self.context.now();
            self.strained = now > begin + LONG_TAKE_OVER;
            if now < end && !self.renew(now).await {
                return false;
            }
        }
    }

    /// Renews the ownership; returns false if another process owns the pool.
    async fn renew(&mut self, now: Duration) -> bool {
        let mut save = Save::default();
        // No worker report was handled yet, so there is no unsaved end.
        save.batch.ends_complete = true;
        let transaction = self.transaction(&mut save, now);
        match self.context.store.commit(&transaction, SAVE_TIMEOUT).await {
            Ok(Committed::Done(version)) => {
                self.guard = version;
                self.renewed = now;
                self.written = now;
                true
            }
            // The guard row was changed by an earlier renewal whose reply was lost, or by a
            // successor.
            Ok(Committed::Conflict) => self.read_guard().await.unwrap_or(true),
            Err(error) => {
                log::warn!(code = 308, epoch = self.epoch, error:% = error; "no renewal while reading");
                true
            }
        }
    }

    /// When the newest confirmed renewal during the take-over started.
    pub(super) fn written(&self) -> Duration {
        self.written
    }

    /// Queues the row of a worker that is about to be used: the row is written first, so that a
    /// successor knows that it has to ask this worker for a report.
    pub(crate) fn use_worker(&mut self, id: String, worker: UsedWorker) {
        self.workers.put(id, worker);
    }

    /// Queues the removal of the row of a worker on which no run can be left.
    pub(crate) fn drop_worker(&mut self, id: String) {
        self.workers.remove(id);
    }

    /// Sets whether the next renewal says that the owner cannot keep up.
    pub(super) fn set_strained(&mut self, strained: bool) {
        self.strained = strained;
    }

    /// Makes the next transaction release the pool.
    pub(crate) fn give_up(&mut self) {
        self.release = Release::Wanted;
    }

    pub(crate) fn released(&self) -> bool {
        self.release == Release::Done
    }

    fn due(&self, now: Duration, unsaved: bool) -> bool {
        let renewal = now.saturating_sub(self.renewed) >= RENEW_EVERY;
        let workers = !self.workers.is_empty();
        let wanted = renewal || workers || unsaved || self.release == Release::Wanted;
        wanted && !self.busy && !self.released() && now >= self.after
    }

    fn transaction(&mut self, save: &mut Save, now: Duration) -> Transaction {
        let guard = Guard {
            epoch: self.epoch,
            incarnation: self.context.incarnation,
        };
        let mut puts: Vec<(RowName, Vec<u8>)> = vec![(guard_row(), encode_row(&guard))];
        let progress = save.batch.jobs.iter();
        puts.extend(progress.map(|(id, progress)| (progress_row(*id), encode_row(progress))));
        (save.used, save.unused) = self.workers.take(MOST_WORKERS);
        let used = save.used.iter();
        puts.extend(used.map(|(id, worker)| (used_row(id), encode_row(worker))));
        save.release = self.release == Release::Wanted && save.batch.ends_complete;
        save.renews = save.release || now.saturating_sub(self.renewed) >= RENEW_EVERY;
        if save.renews {
            self.beat += 1;
            let seat = Seat {
                epoch: self.epoch,
                node: self.context.settings.node.clone(),
                incarnation: self.context.incarnation,
                address: self.context.settings.peer_address(),
                beat: self.beat,
                released: save.release,
                calls: self.context.settings.owner_calls(),
                strained: self.strained,
            };
            puts.push((seat_row(), encode_row(&seat)));
        }
        Transaction {
            expect: vec![(guard_row(), self.guard)],
            puts,
            removes: save.unused.iter().map(|id| used_row(id)).collect(),
        }
    }
}

/// Version of the guard row, if this ownership wrote it.
async fn find_guard(context: &Context, epoch: Epoch) -> Result<Option<Version>, StoreError> {
    let row = context.store.get(&guard_row(), SAVE_TIMEOUT).await?;
    Ok(row.and_then(|row| {
        let guard = decode_row::<Guard>(&row.value);
        if let Err(error) = &guard {
            log::error!(code = 360, error:% = error; "guard row unreadable");
        }
        let guard = guard.ok()?;
        let ours = guard.epoch == epoch && guard.incarnation == context.incarnation;
        ours.then_some(row.version)
    }))
}

impl Pool {
    /// Starts a transaction if one is due and none is in progress.
    pub(super) fn begin_save(&mut self, now: Duration) {
        if !self.saver.due(now, self.planner.unsaved()) {
            return;
        }
        let mut save = Save {
            batch: self.planner.take_batch(MOST_JOBS),
            begun: now,
            ..Save::default()
        };
        let transaction = self.saver.transaction(&mut save, now);
        let used = save.used.iter().map(|(id, _)| id);
        for id in used.chain(&save.unused) {
            self.standing.tenure.changing(id);
        }
        self.saver.busy = true;
        self.saver.after = now + SAVE_GAP;
        let context = self.context.clone();
        let sender = self.result_sender.clone();
        tokio::spawn(async move {
            let commit = context.store.commit(&transaction, SAVE_TIMEOUT);
            let result = context.until_regained(commit).await;
            let _ = sender.send(OwnerMessage::Saved(save, result)).await;
        });
    }

    pub(super) fn take_saved(&mut self, save: Save, result: Result<Committed, StoreError>) {
        let now = self.context.now();
        let metrics = self.context.metrics.clone();
        match result {
            Ok(Committed::Done(version)) => {
                count(&metrics.saves, "done");
                observe(&metrics.save, now.saturating_sub(save.begun));
                self.saver.busy = false;
                self.saver.guard = version;
                self.standing.tenure.wrote(save.begun);
                if save.release {
                    self.saver.release = Release::Done;
                }
                if save.renews {
                    self.saver.renewed = now;
                }
                self.saved(save);
            }
            Ok(Committed::Conflict) => {
                count(&metrics.saves, "conflict");
                self.unsaved(save);
                self.check_guard();
            }
            Err(error) => {
                log::warn!(code = 361, epoch = self.epoch, error:% = error; "progress not saved");
                count(&metrics.saves, "failed");
                self.saver.busy = false;
                self.saver.after = now + FAILED_PAUSE;
                self.unsaved(save);
            }
        }
    }

    fn saved(&mut self, save: Save) {
        for (id, progress) in &save.batch.jobs {
            if let Some(outcome) = progress.outcome {
                self.job_ended(*id, outcome);
            }
        }
        self.planner.batch_saved(&save.batch);
        for (key, number) in &save.batch.ends {
            if let Some(link) = self.links.get(key) {
                link.set_seen(*number);
            }
        }
        for id in &save.unused {
            self.standing.tenure.removed(id);
        }
        for (id, used) in save.used {
            self.standing.tenure.added(&id);
            let key = self.planner.worker_of(&id);
            // If the row names another incarnation, a successor does not know of this one yet.
            let key = key.filter(|key| {
                let info = self.planner.worker(*key);
                info.is_some_and(|info| info.life == used.life)
            });
            if let Some(key) = key
                && !self.links.contains_key(&key)
            {
                self.used.insert(id);
                self.open_link(key);
            }
        }
    }

    fn job_ended(&self, id: JobId, outcome: Outcome) {
        let Some(timing) = self.planner.timing(id) else {
            return;
        };
        let job = &self.context.metrics.job;
        observe(&job.with_label_values(&[&outcome.to_string()]), timing.age);
        log::info!(
            code = 362, job:% = crate::hex(id), outcome:% = outcome, queue = timing.queue.as_str(),
            priority = timing.priority, ms = millis(timing.age), objective_ms = millis(timing.objective),
            chain_ms = millis(timing.chain), work_ms = timing.work;
            "job ended"
        );
    }

    /// Puts back the changes of a failed transaction.
    fn unsaved(&mut self, save: Save) {
        self.planner.batch_failed(&save.batch);
        self.saver.workers.put_back(save.used, save.unused);
    }

    /// Reads the guard row after a conflict: it was changed by an earlier transaction of this
    /// owner whose reply was lost, or by a successor.
    fn check_guard(&self) {
        let context = self.context.clone();
        let sender = self.result_sender.clone();
        let epoch = self.epoch;
        tokio::spawn(async move {
            let result = find_guard(&context, epoch).await;
            let _ = sender.send(OwnerMessage::Guard(result)).await;
        });
    }

    pub(super) fn take_guard(&mut self, result: Result<Option<Version>, StoreError>) {
        match result {
            Ok(Some(version)) => {
                self.saver.guard = version;
                self.saver.busy = false;
            }
            Ok(None) => self.deposed = true,
            Err(error) => {
                log::warn!(code = 363, epoch = self.epoch, error:% = error; "guard not readable");
                self.check_guard();
            }
        }
    }
}
