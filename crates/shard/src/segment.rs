//! Segments: objects that replace journal rows before these are reused.
//!
//! A segment contains every open request, and the answers given since the previous
//! segment. Recovery therefore reads the newest segment and the journal rows
//! after it, and for the answers also the older segments within the retention
//! period. Writing a segment costs no more than the open requests and what has
//! happened since the previous one.

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
    /// Format version of the object.
    pub format: u16,
    /// Number of the last batch that it covers.
    pub seq: Seq,
    /// Records of the answers given since the previous segment.
    pub ended: Vec<Record>,
    /// Records of the open requests.
    pub open: Vec<Record>,
}

impl Formatted for Segment {
    fn format(&self) -> u16 {
        self.format
    }
}

/// Reference to a segment in the segment list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Name of the segment's object.
    pub name: String,
    /// Number of the last batch that it covers.
    pub seq: Seq,
    /// Time of its creation, in milliseconds since 1970.
    pub at_millis: u64,
}

/// Row with the list of a shard's segments, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentList {
    /// Format version of the row.
    pub format: u16,
    /// Segments within the retention period.
    pub segments: Vec<SegmentRef>,
}

impl Formatted for SegmentList {
    fn format(&self) -> u16 {
        self.format
    }
}

impl SegmentList {
    /// Number of the last batch covered by a segment; 0 if there is no segment.
    #[must_use]
    pub fn covered(&self) -> Seq {
        self.segments.last().map_or(0, |segment| segment.seq)
    }
}

/// Key of the row with a shard's segment list.
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

/// Name of a segment's object. It contains the process incarnation, so that a
/// fenced owner can never overwrite an object of its successor.
#[must_use]
pub fn segment_name(shard: ShardId, seq: Seq, process: &Incarnation) -> String {
    format!("segment/{shard:04}/{seq:012}-{process}")
}
