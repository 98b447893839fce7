//! The row of what an owner has learnt for its successor: its encoding, and when it is written.
//!
//! Load: the owner changes while the pool is full, on links of 2 Mbit/s and a store that charges
//! for bytes. The row is optional: a successor without it is slower for a while, and never unsafe.

use std::time::Duration;

use job::LearntState;
use platform::RowName;
use serde::Serialize;
use snafu::Snafu;

use crate::OWNER_PART;
use crate::decode_row;
use crate::encode_row;

/// Table of the row, which has one row.
pub const LEARNT_TABLE: &str = "learnt";

/// First byte of the row. A later version with another encoding has another one.
const VERSION: u8 = 1;

/// Largest size of the row in bytes; the store takes 65,536.
pub const MAX_LEARNT_BYTES: usize = 60_000;

/// Shortest time between two writes: a successor lacks what was learnt since the last one.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Mean rate of the writes in bytes per second, 2 % of a link of 2 Mbit/s: larger rows are written
/// less often.
const WRITE_RATE: f64 = 4096.0;

/// Why a row is not used.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum LearntError {
    /// The row is of another version.
    #[snafu(display("version: found {found:?}, allowed: {VERSION}"))]
    OtherVersion {
        /// First byte of the row; `None` if the row is empty.
        found: Option<u8>,
    },
    /// The row is damaged.
    #[snafu(display("row of version {VERSION} cannot be decoded: {reason}"))]
    Damaged {
        /// Error of the decoder.
        reason: String,
    },
}

/// Returns the name of the row.
#[must_use]
pub fn learnt_row() -> RowName {
    RowName::new(LEARNT_TABLE, OWNER_PART, "owner")
}

/// Encodes the row. Of a state that is too large, the last speeds are left out, and of usage that
/// takes more than half of the row, the last entries.
#[must_use]
pub fn encode_learnt(mut state: LearntState) -> Vec<u8> {
    /// Version, and number of entries of each list.
    const HEAD: usize = 1 + 2 * 5;
    let room = MAX_LEARNT_BYTES - HEAD;
    let used = truncate(&mut state.usage, room / 2);
    truncate(&mut state.speeds, room - used);
    let mut row = vec![VERSION];
    row.extend(encode_row(&state));
    row
}

/// Shortens `entries` to those that fit into `room` bytes; returns their size.
fn truncate<T: Serialize>(entries: &mut Vec<T>, room: usize) -> usize {
    let (mut used, mut count) = (0, 0);
    for entry in entries.iter() {
        let size = encode_row(entry).len();
        if used + size > room {
            break;
        }
        used += size;
        count += 1;
    }
    entries.truncate(count);
    used
}

/// Decodes the row.
///
/// # Errors
/// The row is of another version, or damaged.
pub fn decode_learnt(row: &[u8]) -> Result<LearntState, LearntError> {
    match row.split_first() {
        Some((&VERSION, state)) => decode_row(state).map_err(|error| LearntError::Damaged {
            reason: error.to_string(),
        }),
        other => Err(LearntError::OtherVersion {
            found: other.map(|(&found, _)| found),
        }),
    }
}

/// Decides when the row is written.
#[derive(Debug)]
pub struct LearntWrites {
    /// Row that the store has, if that is known.
    stored: Option<Vec<u8>>,
    /// No write starts before this time.
    not_before: Duration,
}

impl LearntWrites {
    /// Creates the writes of an owner that takes the pool at `now`; it has learnt nothing yet.
    #[must_use]
    pub fn new(now: Duration) -> LearntWrites {
        LearntWrites {
            stored: None,
            not_before: now + WRITE_INTERVAL,
        }
    }

    /// Returns whether the row may be written in a transaction that has room for this number of
    /// entries more.
    #[must_use]
    pub fn due(&self, now: Duration, room: usize) -> bool {
        room > 0 && now >= self.not_before
    }

    /// Returns the row to write, or `None` if the store has it. Until [`LearntWrites::saved`] is
    /// called, it is not known which row the store has.
    pub fn take(&mut self, now: Duration, row: Vec<u8>) -> Option<Vec<u8>> {
        #[allow(clippy::cast_precision_loss)]
        let bytes = row.len() as f64;
        let interval = Duration::from_secs_f64(bytes / WRITE_RATE);
        self.not_before = now + interval.max(WRITE_INTERVAL);
        if self.stored.as_ref() == Some(&row) {
            return None;
        }
        self.stored = None;
        Some(row)
    }

    /// Records that the store has this row.
    pub fn saved(&mut self, row: Vec<u8>) {
        self.stored = Some(row);
    }
}
