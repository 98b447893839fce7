//! Objects that take over from the journal rows before these are reused.
//!
//! A segment holds every open request, and the answers that were given since
//! the segment before. So a later owner reads the newest segment, the rows
//! after it, and for the answers those older segments that are within the
//! retention; and writing one costs no more than what has happened since.

use model::Incarnation;
use model::ShardId;
use serde::Deserialize;
use serde::Serialize;

use crate::Formatted;
use crate::Record;
use crate::Seq;

/// Content of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Format of the object.
    pub format: u16,
    /// Last batch that it covers.
    pub seq: Seq,
    /// Answers given since the segment before.
    pub ended: Vec<Record>,
    /// Requests that are open.
    pub open: Vec<Record>,
}

impl Formatted for Segment {
    fn format(&self) -> u16 {
        self.format
    }
}

/// One segment, as the list names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Name of the object.
    pub name: String,
    /// Last batch that it covers.
    pub seq: Seq,
    /// When it was made, in milliseconds since 1970.
    pub at_millis: u64,
}

/// Row with the list of a shard's segments, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentList {
    /// Format of the row.
    pub format: u16,
    /// The segments within the retention.
    pub segments: Vec<SegmentRef>,
}

impl Formatted for SegmentList {
    fn format(&self) -> u16 {
        self.format
    }
}

impl SegmentList {
    /// Last batch that some segment covers.
    #[must_use]
    pub fn covered(&self) -> Seq {
        self.segments.last().map_or(0, |segment| segment.seq)
    }
}

/// Key of the list of a shard's segments.
#[must_use]
pub fn segments_key(shard: ShardId) -> String {
    format!("segments/{shard:04}")
}

/// Key of the journal row that holds a batch.
#[must_use]
pub fn journal_key(shard: ShardId, seq: Seq) -> String {
    format!("journal/{shard:04}/{:02}", seq % crate::JOURNAL_ROWS)
}

/// Prefix of a shard's journal rows.
#[must_use]
pub fn journal_prefix(shard: ShardId) -> String {
    format!("journal/{shard:04}/")
}

/// Name of a segment's object; the process run is in it so that a fenced
/// owner can never overwrite an object of its successor.
#[must_use]
pub fn segment_name(shard: ShardId, seq: Seq, process: &Incarnation) -> String {
    format!("segment/{shard:04}/{seq:012}-{process}")
}
