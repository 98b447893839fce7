//! One transaction of the owner, and the read of the guard row that replaces a lost reply.

use std::sync::Arc;
use std::time::Duration;

use job::Epoch;
use platform::Committed;
use platform::StoreError;
use platform::Transaction;
use platform::Version;
use tokio::task::JoinSet;

use super::reply_wait::SAVE_TIMEOUT;
use crate::Context;
use crate::Guard;
use crate::callers::millis;
use crate::decode_row;
use crate::guard_row;
use crate::ownership::SLOW_READ;

/// A transaction that is conditional on the guard row and writes it.
pub(super) struct GuardedCommit {
    pub(super) transaction: Arc<Transaction>,
    pub(super) epoch: Epoch,
    /// Version of the guard row on which the transaction is conditional.
    pub(super) guard_version: Version,
    /// An earlier transaction with the same condition may still be carried out.
    pub(super) ambiguous: bool,
    /// Time after which the reply is overdue.
    pub(super) wait: Duration,
}

/// What the guard row shows about a transaction whose reply is overdue.
enum Finding {
    /// The transaction was carried out at this version.
    Done(Version),
    /// The transaction was carried out at this version by a slow store, whose reply may still come.
    DoneSlowly(Version),
    /// The transaction cannot be carried out any more, or the row does not show which of two
    /// transactions was.
    Conflict,
    /// The transaction was not carried out yet, although the store is not slow.
    Missing,
    /// The store is slow or did not answer the read.
    Unknown,
}

/// Result of one attempt at the transaction, and the time that it took.
type Attempt = (Result<Committed, StoreError>, Duration);

impl GuardedCommit {
    /// Runs the transaction. Returns its result, and the time that the reply took if it came.
    ///
    /// If the reply is overdue, the guard row shows whether the transaction was carried out. If
    /// it was not, the same transaction is sent once more while the first reply is still awaited:
    /// of both, the store carries out one. While a lost reply was awaited until the timeout, the
    /// ownership expired.
    ///
    /// The reply of a slow store is awaited all the same: transactions that do not wait for it
    /// queue up in the owner's part until the store refuses them.
    pub(super) async fn run(
        self,
        context: &Context,
    ) -> (Result<Committed, StoreError>, Option<Duration>) {
        let started = context.now();
        let mut attempts = JoinSet::new();
        self.send(&mut attempts, context, started);
        let mut sent = 1;
        let mut wait = self.wait;
        let mut inspect_at = started + wait;
        let mut conflict = false;
        let mut failure: Option<StoreError> = None;
        let mut done_slowly = None;
        loop {
            let finding = tokio::select! {
                biased;
                Some(Ok((result, time))) = attempts.join_next() => {
                    match result {
                        Ok(Committed::Conflict) if sent > 1 => {
                            conflict = true;
                            inspect_at = context.now();
                        }
                        Ok(committed) => return (Ok(committed), Some(time)),
                        Err(error) => {
                            if failure.as_ref().is_none_or(StoreError::certainly_not_done) {
                                failure = Some(error);
                            }
                        }
                    }
                    if !attempts.is_empty() {
                        continue;
                    }
                    if let Some(version) = done_slowly {
                        return (Ok(Committed::Done(version)), None);
                    }
                    if !conflict {
                        return (Err(failure.unwrap_or(StoreError::Abandoned)), None);
                    }
                    continue;
                }
                finding = self.inspect(context, inspect_at) => finding,
            };
            match finding {
                Finding::Done(version) => {
                    log::info!(
                        code = 365, epoch = self.epoch, attempts = sent,
                        ms = millis(context.now().saturating_sub(started));
                        "reply to a write of the owner's state is overdue, but the guard row shows that it was carried out"
                    );
                    return (Ok(Committed::Done(version)), None);
                }
                Finding::DoneSlowly(version) if attempts.is_empty() => {
                    return (Ok(Committed::Done(version)), None);
                }
                Finding::DoneSlowly(version) => done_slowly = Some(version),
                Finding::Conflict => return (Ok(Committed::Conflict), None),
                Finding::Missing if !conflict => {
                    self.send(&mut attempts, context, started);
                    sent += 1;
                }
                Finding::Missing | Finding::Unknown => {
                    if attempts.is_empty() {
                        return (Ok(Committed::Conflict), None);
                    }
                }
            }
            wait *= 2;
            inspect_at = context.now() + wait;
        }
    }

    /// Sends the transaction; its reply is awaited until [`SAVE_TIMEOUT`] after `started`, when
    /// the first attempt was sent.
    fn send(&self, attempts: &mut JoinSet<Attempt>, context: &Context, started: Duration) {
        let context = context.clone();
        let transaction = self.transaction.clone();
        attempts.spawn(async move {
            let sent = context.now();
            let timeout = (started + SAVE_TIMEOUT).saturating_sub(sent);
            let result = context.store.commit(&transaction, timeout).await;
            (result, context.now().saturating_sub(sent))
        });
    }

    /// Reads from the guard row, not before `at`, whether the transaction was carried out.
    async fn inspect(&self, context: &Context, at: Duration) -> Finding {
        tokio::time::sleep(at.saturating_sub(context.now())).await;
        let read_started = context.now();
        let read = read_guard_version(context, self.epoch).await;
        let slow = context.now().saturating_sub(read_started) > SLOW_READ;
        match read {
            Ok(Some(version)) if version > self.guard_version => match (self.ambiguous, slow) {
                (true, _) => Finding::Conflict,
                (false, true) => Finding::DoneSlowly(version),
                (false, false) => Finding::Done(version),
            },
            Ok(Some(_)) if !slow => Finding::Missing,
            Ok(None) => Finding::Conflict,
            Ok(Some(_)) | Err(_) => Finding::Unknown,
        }
    }
}

/// Version of the guard row; `None` if it was not written by this process in `epoch`, or cannot be
/// decoded.
pub(super) async fn read_guard_version(
    context: &Context,
    epoch: Epoch,
) -> Result<Option<Version>, StoreError> {
    let row = context.store.read_row(&guard_row(), SAVE_TIMEOUT).await?;
    Ok(row.and_then(|row| {
        let guard = decode_row::<Guard>(&row.value);
        if let Err(error) = &guard {
            log::error!(
                code = 360, error:% = error;
                "guard row cannot be decoded; the pool counts as lost to another process"
            );
        }
        let guard = guard.ok()?;
        let ours = guard.epoch == epoch && guard.incarnation == context.incarnation;
        ours.then_some(row.version)
    }))
}
