//! How old the registrations behind a start are when the start is sent, and when its worker has
//! answered it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus::Histogram;

use crate::metrics::observe;

/// Largest ages since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LargestAges {
    /// Age of the registrations when a start was sent.
    pub(super) sent: Duration,
    /// Age of the registrations when the worker had answered a start. The start reached the worker
    /// before that.
    pub(super) answered: Duration,
    /// Time that a read of the registrations waited until the owner handled it.
    pub(super) queued: Duration,
}

/// Ages of the registrations behind the starts of an owner, shared with the calls that send them.
#[derive(Debug)]
pub(super) struct StartAges {
    largest: Mutex<LargestAges>,
    histogram: Histogram,
}

impl StartAges {
    /// Creates the ages of an owner without starts; `histogram` records those of answered starts.
    pub(super) fn new(histogram: Histogram) -> StartAges {
        StartAges {
            largest: Mutex::default(),
            histogram,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LargestAges> {
        self.largest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a start was sent with registrations of this age.
    pub(super) fn record_sent(&self, age: Duration) {
        let mut largest = self.lock();
        largest.sent = largest.sent.max(age);
    }

    /// Records that a worker answered a start whose registrations had this age by then.
    pub(super) fn record_answered(&self, age: Duration) {
        observe(&self.histogram, age);
        let mut largest = self.lock();
        largest.answered = largest.answered.max(age);
    }

    /// Records that a read of the registrations waited this long until the owner handled it.
    pub(super) fn record_queued(&self, wait: Duration) {
        let mut largest = self.lock();
        largest.queued = largest.queued.max(wait);
    }

    /// Returns the largest ages since the last call, and forgets them.
    pub(super) fn take(&self) -> LargestAges {
        std::mem::take(&mut self.lock())
    }
}
