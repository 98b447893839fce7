//! Recovery: reads the state that former owners recorded, before a new owner
//! serves a shard. Everything is read after the claim, so that no former owner
//! can commit to it any more.

use model::Incarnation;
use model::ShardId;
use store::ObjectStore;
use store::Row;
use store::RowVersion;
use store::Table;

use crate::Batch;
use crate::FORMAT;
use crate::JOURNAL_ROWS;
use crate::JournalPosition;
use crate::Ledger;
use crate::Segment;
use crate::SegmentList;
use crate::SegmentRef;
use crate::ShardError;
use crate::Times;
use crate::decode_row;
use crate::journal_prefix;
use crate::segments_key;

/// A shard that this process has claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardClaim {
    /// Number of the shard.
    pub shard: ShardId,
    /// Incarnation of the process that owns the shard.
    pub process: Incarnation,
    /// Epoch of the claim.
    pub epoch: model::Epoch,
    /// Version of the shard's row.
    pub fence: RowVersion,
}

/// State of a shard recorded by its former owners.
#[derive(Debug)]
pub struct RecoveredShard {
    /// Requests of the shard.
    pub ledger: Ledger,
    /// Position at which the journal continues.
    pub position: JournalPosition,
}

/// Reads the state of a shard recorded by its former owners.
///
/// # Errors
/// The table or the object store fails, or a row or segment cannot be decoded;
/// nothing is changed then.
pub async fn recover<T: Table, O: ObjectStore>(
    table: &T,
    objects: &O,
    claim: &ShardClaim,
    times: Times,
) -> Result<RecoveredShard, ShardError> {
    let list_row = table.get(&segments_key(claim.shard)).await?;
    let list_version = list_row.as_ref().map_or(0, |row| row.version);
    let segments = match &list_row {
        Some(row) => decode_row::<SegmentList>(row)?,
        None => SegmentList {
            format: FORMAT,
            segments: Vec::new(),
        },
    };
    let mut ledger = Ledger::default();
    read_segments(objects, &segments, &mut ledger, times).await?;
    let rows = table.range(&journal_prefix(claim.shard)).await?;
    let (batches, versions) = read_journal_rows(&rows)?;
    let covered = segments.covered();
    let mut last_seq = covered;
    for batch in batches.iter().filter(|batch| batch.seq > covered) {
        for record in &batch.records {
            ledger.replay(record, times);
        }
        last_seq = batch.seq;
    }
    let position = JournalPosition {
        shard: claim.shard,
        process: claim.process.clone(),
        epoch: claim.epoch,
        fence: claim.fence,
        next_seq: last_seq + 1,
        row_versions: versions,
        segments,
        list_version,
    };
    Ok(RecoveredShard { ledger, position })
}

/// Reads the ended requests of all segments, and the open requests of the
/// newest one.
async fn read_segments<O: ObjectStore>(
    objects: &O,
    list: &SegmentList,
    ledger: &mut Ledger,
    times: Times,
) -> Result<(), ShardError> {
    let newest = list.segments.len().saturating_sub(1);
    for (index, segment_ref) in list.segments.iter().enumerate() {
        let segment = read_segment(objects, segment_ref).await?;
        if index == newest {
            for record in &segment.open {
                ledger.replay(record, times);
            }
        }
        for record in &segment.ended {
            ledger.replay(record, times);
        }
    }
    Ok(())
}

/// Fetches and decodes one segment.
async fn read_segment<O: ObjectStore>(
    objects: &O,
    segment_ref: &SegmentRef,
) -> Result<Segment, ShardError> {
    let damaged = |reason: &str| ShardError::Damaged {
        key: segment_ref.name.clone(),
        reason: reason.to_owned(),
    };
    let body = objects.fetch(&segment_ref.name).await?;
    let body = body.ok_or_else(|| damaged("the object is missing"))?;
    let value = String::from_utf8(body).map_err(|_| damaged("the object is not valid UTF-8"))?;
    let row = Row {
        key: segment_ref.name.clone(),
        version: 0,
        value,
    };
    decode_row(&row)
}

/// Decodes the journal rows: the batches in order, and the version of each row.
fn read_journal_rows(rows: &[Row]) -> Result<(Vec<Batch>, Vec<RowVersion>), ShardError> {
    let row_count = usize::try_from(JOURNAL_ROWS).unwrap_or_default();
    let mut versions = vec![0; row_count];
    let mut batches = Vec::new();
    for row in rows {
        let batch: Batch = decode_row(row)?;
        let index = usize::try_from(batch.seq % JOURNAL_ROWS).unwrap_or_default();
        versions[index] = row.version;
        batches.push(batch);
    }
    batches.sort_by_key(|batch| batch.seq);
    Ok((batches, versions))
}
