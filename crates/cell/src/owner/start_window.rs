//! Limits how many starts may be in progress at the same time.
//!
//! If all starts of a burst are sent at once, they fill a slow link: renewals and the replies
//! that report ends are delayed by seconds, and the members of a gang start seconds apart.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Time on the link, in seconds, that the starts in progress may take.
const MAX_LINK_TIME: f64 = 0.1;

/// Size of a start and its reply, including headers, in bytes.
const START_BYTES: f64 = 1_500.0;

/// Bytes per second on a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Fewest starts that may be in progress, however slow the link is.
const MIN_STARTS: f64 = 8.0;

/// Counts the starts in progress; clones share the count.
#[derive(Clone, Debug)]
pub struct StartWindow {
    limit: usize,
    in_progress: Arc<AtomicUsize>,
}

impl StartWindow {
    /// Creates the window of an owner with a link of `link_mbps`.
    #[must_use]
    pub fn new(link_mbps: f64) -> StartWindow {
        let starts = link_mbps * BYTES_PER_MBIT * MAX_LINK_TIME / START_BYTES;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = starts.max(MIN_STARTS) as usize; // saturates
        StartWindow {
            limit,
            in_progress: Arc::default(),
        }
    }

    /// Number of starts that may still be sent.
    #[must_use]
    pub fn available(&self) -> usize {
        let in_progress = self.in_progress.load(Ordering::Relaxed);
        self.limit.saturating_sub(in_progress)
    }

    /// Records that a start was sent.
    pub fn record_sent(&self) {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a start was answered, or that its reply is late.
    pub fn record_settled(&self) {
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
