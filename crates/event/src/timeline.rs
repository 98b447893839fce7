//! The events of one process: a bounded ring in memory, and a log line each.

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

/// Events kept in memory; older ones are dropped, and counted as lost if they
/// were not stored before.
pub const RING_EVENTS: usize = 16 * 1024;

/// Records events and hands them out to the timeline's readers.
#[derive(Debug)]
pub struct Timeline {
    process: Incarnation,
    clock: Hlc,
    ring: Mutex<VecDeque<Event>>,
    /// Stamp of the newest event that is stored.
    stored: AtomicU64,
    lost: AtomicU64,
}

impl Timeline {
    /// The timeline of one process run.
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

    /// The causal clock of the process.
    pub fn clock(&self) -> &Hlc {
        &self.clock
    }

    /// Stamps, logs and keeps an event.
    pub fn record(&self, mut event: Event) {
        event.stamp = self.clock.tick();
        event.process.clone_from(&self.process);
        write_line(&event);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == RING_EVENTS
            && let Some(oldest) = ring.pop_front()
            && oldest.stamp > self.stored.load(Ordering::Acquire)
        {
            self.lost.fetch_add(1, Ordering::AcqRel);
        }
        ring.push_back(event);
    }

    /// All events up to `stamp` are stored.
    pub fn note_stored(&self, stamp: Stamp) {
        self.stored.fetch_max(stamp, Ordering::AcqRel);
    }

    /// Events that were dropped before they were stored.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Acquire)
    }

    /// Events stamped later than `after`, oldest first, at most `limit`.
    pub fn since(&self, after: Stamp, limit: usize) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let from = ring.partition_point(|event| event.stamp <= after);
        ring.iter().skip(from).take(limit).cloned().collect()
    }
}

/// Events of single requests are too many for the default log level.
fn write_line(event: &Event) {
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
