//! How many starts may be under way at the same time.
//!
//! Sent all at once, the starts of a burst fill a thin link: renewals and the answers that
//! tell of ends wait behind them for seconds, and the members of a gang come seconds
//! apart.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Time of the link that starts under way may take.
const LINK_TIME: f64 = 0.1;

/// Size of a start and of its answer, with their headers, in bytes.
const START_BYTES: f64 = 1_500.0;

/// Bytes a second of a link of 1 Mbit/s.
const BYTES_A_MBIT: f64 = 125_000.0;

/// Fewest starts under way that an owner has room for.
const LEAST: f64 = 8.0;

/// Counts the starts that are under way; clones share the count.
#[derive(Clone, Debug)]
pub struct StartWindow {
    most: usize,
    open: Arc<AtomicUsize>,
}

impl StartWindow {
    /// The window of an owner with such a link.
    #[must_use]
    pub fn new(link_mbps: f64) -> StartWindow {
        let starts = link_mbps * BYTES_A_MBIT * LINK_TIME / START_BYTES;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = starts.max(LEAST) as usize; // saturates
        StartWindow {
            most,
            open: Arc::default(),
        }
    }

    /// How many more may be sent.
    #[must_use]
    pub fn room(&self) -> usize {
        let open = self.open.load(Ordering::Relaxed);
        self.most.saturating_sub(open)
    }

    /// A start is sent.
    pub fn sent(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Its answer has come, or is late.
    pub fn settled(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
