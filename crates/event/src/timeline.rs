//! Events of one process: written to the log and kept in a bounded ring buffer,
//! from which they are served to callers and written to the object store.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use model::Incarnation;

use crate::Event;
use crate::Hlc;
use crate::Kind;
use crate::Stamp;

/// Maximum number of events kept in memory. Beyond it, the oldest event is
/// dropped, and counted as lost if it was not yet written to the object store.
pub const RING_CAPACITY: usize = 16 * 1024;

/// Records the events of a process and returns them to readers.
#[derive(Debug)]
pub struct Timeline {
    process: Incarnation,
    clock: Hlc,
    ring: Mutex<VecDeque<Event>>,
    /// Timestamp of the newest event written to the object store.
    stored: AtomicU64,
    /// Number of events dropped before they were written to the object store.
    lost: AtomicU64,
}

impl Timeline {
    /// Creates an empty timeline for one incarnation of a process.
    #[must_use]
    pub fn new(process: &str) -> Timeline {
        Timeline {
            process: process.to_owned(),
            clock: Hlc::default(),
            ring: Mutex::new(VecDeque::new()),
            stored: AtomicU64::new(0),
            lost: AtomicU64::new(0),
        }
    }

    /// Hybrid logical clock of the process. Callers advance it with the timestamps
    /// of the messages that they receive.
    pub fn clock(&self) -> &Hlc {
        &self.clock
    }

    /// Sets the timestamp and the process of an event, writes the event to the log
    /// and keeps it in memory.
    pub fn record(&self, mut event: Event) {
        event.stamp = self.clock.tick();
        event.process.clone_from(&self.process);
        log_event(&event);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == RING_CAPACITY
            && let Some(oldest) = ring.pop_front()
            && oldest.stamp > self.stored.load(Ordering::Acquire)
        {
            self.lost.fetch_add(1, Ordering::AcqRel);
        }
        ring.push_back(event);
    }

    /// Marks all events up to `stamp` as written to the object store.
    pub fn mark_stored(&self, stamp: Stamp) {
        self.stored.fetch_max(stamp, Ordering::AcqRel);
    }

    /// Number of events dropped before they were written to the object store.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Acquire)
    }

    /// Returns at most `limit` events with timestamps after `after`, oldest first.
    pub fn events_after(&self, after: Stamp, limit: usize) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let from = ring.partition_point(|event| event.stamp <= after);
        ring.iter().skip(from).take(limit).cloned().collect()
    }
}

/// Writes an event to the log. Events of single requests are logged at debug
/// level, because there are too many of them for the default level.
fn log_event(event: &Event) {
    let level = match event.kind {
        Kind::TaskCrashed | Kind::RowDamaged => log::Level::Error,
        Kind::LeaseExpired
        | Kind::OutageUnconfirmed
        | Kind::ShardFenced
        | Kind::WorkerLost
        | Kind::WorkerRefused
        | Kind::PatchUnknown => log::Level::Warn,
        kind if (400..500).contains(&kind.number()) => log::Level::Debug,
        _ => log::Level::Info,
    };
    log::log!(
        level,
        "event={} name={} stamp={} process={} request={} shard={} worker={} detail={:?}",
        event.kind.number(),
        event.kind,
        event.stamp,
        event.process,
        event.request.as_deref().unwrap_or("-"),
        event
            .shard
            .map_or_else(|| "-".to_owned(), |id| id.to_string()),
        event.worker.as_deref().unwrap_or("-"),
        event.detail
    );
}
