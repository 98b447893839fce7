//! Follows the registrations of workers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use job::Config;
use job::WorkerInfo;
use platform::Row;
use platform::StoreError;
use platform::WORKER_TABLE;
use platform::decode_worker;
use tokio::sync::mpsc;

use crate::CellMetrics;
use crate::Change;
use crate::Context;
use crate::Follower;
use crate::OwnerMessage;
use crate::RegistrationChange;
use crate::metrics::count;

/// Time between two reads. Each worker writes its registration about once a second, so a feed
/// that waits for changes would return dozens of times a second, almost always with heartbeats
/// alone.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Registrations that expired during an outage of the store are written again within about two
/// seconds of its recovery; only after that does a missing registration count as removed.
const RECOVERY_TIME: Duration = Duration::from_millis(2600);

/// Maximum number of keys of unreadable rows that are kept, so that each of them is logged
/// once.
pub(super) const MAX_UNREADABLE: usize = 1000;

/// Registrations of workers, as read from the store.
#[derive(Default)]
struct Registrations {
    /// Registrations that were passed to the owner, by worker.
    published: HashMap<String, WorkerInfo>,
    /// Published workers whose registration was removed, or was not in the last full read.
    missing: HashSet<String>,
    /// Registrations for services that the configuration does not name: not written by a
    /// worker of this pool, or for a version of the configuration that was not read yet.
    unconfigured: HashMap<String, WorkerInfo>,
    /// Keys of registrations that were found unreadable, and logged.
    unreadable_keys: HashSet<String>,
}

impl Registrations {
    /// Applies a read of the registrations. A worker that is not in a full read counts as missing;
    /// [`Registrations::drain_missing`] decides that it was removed. The update that is returned is
    /// still empty.
    fn apply_change(&mut self, change: Change, metrics: &CellMetrics) -> RegistrationChange {
        let update = RegistrationChange::default();
        if let Change::Snapshot(rows) = &change {
            let present: HashSet<&String> = rows.iter().map(|row| &row.name.key).collect();
            let gone = self.published.keys().filter(|id| !present.contains(id));
            self.missing.extend(gone.cloned());
        }
        let (Change::Snapshot(rows) | Change::Delta(rows)) = change;
        for row in rows {
            self.apply_row(&row, metrics);
        }
        update
    }

    fn apply_row(&mut self, row: &Row, metrics: &CellMetrics) {
        if row.removed {
            self.unconfigured.remove(&row.name.key);
            if self.published.contains_key(&row.name.key) {
                self.missing.insert(row.name.key.clone());
            }
            return;
        }
        // The last readable registration stays valid: the worker writes it again with its next
        // heartbeat.
        let Some(info) = decode_worker(row) else {
            self.log_unreadable(&row.name.key, metrics);
            return;
        };
        self.unconfigured.insert(info.id.clone(), info);
    }

    /// Publishes the registrations whose service the configuration names.
    fn add_configured(&mut self, config: Option<&Config>, update: &mut RegistrationChange) {
        let is_configured = |service: &str| config.is_none_or(|config| config.has_service(service));
        let configured = self
            .unconfigured
            .extract_if(|_, info| is_configured(&info.service));
        for (id, info) in configured {
            self.missing.remove(&id);
            if self.published.get(&id) != Some(&info) {
                self.published.insert(id, info.clone());
                update.updated.push(info);
            }
        }
    }

    fn log_unreadable(&mut self, key: &str, metrics: &CellMetrics) {
        if self.unreadable_keys.len() < MAX_UNREADABLE
            && self.unreadable_keys.insert(key.to_owned())
        {
            log::error!(
                code = 345, worker = key;
                "worker's registration cannot be decoded; the last readable one stays in use"
            );
            count(&metrics.unreadable, WORKER_TABLE);
        }
    }

    /// Takes the missing workers, which then count as removed.
    fn drain_missing(&mut self) -> Vec<String> {
        let gone: Vec<String> = self.missing.drain().collect();
        for id in &gone {
            self.published.remove(id);
        }
        gone
    }
}

/// Notifies the owner of changes among the registered workers.
pub(crate) async fn follow_workers(context: Context, sender: mpsc::Sender<OwnerMessage>) {
    let mut follower = Follower::new(&context.store, WORKER_TABLE, false).with_long_timeouts();
    let mut registrations = Registrations::default();
    let mut settled_at = context.now();
    let mut unavailable = false;
    loop {
        let read = follower.next(Duration::ZERO);
        match context.abandon_on_recovery(read).await {
            Ok(change) => {
                if std::mem::take(&mut unavailable) {
                    settled_at = context.now() + RECOVERY_TIME;
                }
                let mut update = registrations.apply_change(change, &context.metrics);
                let config = context.config.borrow().clone();
                registrations.add_configured(config.as_deref(), &mut update);
                if context.now() >= settled_at {
                    update.deleted = registrations.drain_missing();
                }
                // Also sent without changes: the owner derives the age of its registrations
                // from it.
                update.read_started = context.current_at(&follower);
                update.read_ended = context.now();
                if sender
                    .send(OwnerMessage::Registrations(update))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            // The store answers again, and may never answer the read that was sent before.
            Err(StoreError::Abandoned) => {
                unavailable = true;
                continue;
            }
            Err(error) => {
                if !unavailable {
                    log::warn!(
                        code = 346, error:% = error;
                        "registrations of workers cannot be read from the store; retrying"
                    );
                }
                unavailable = true;
            }
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
