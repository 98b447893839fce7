//! What a new owner reads before it serves a shard. All of it is read after
//! the claim, so that nothing older can be committed any more.

use model::Incarnation;
use model::ShardId;
use store::ObjectStore;
use store::Row;
use store::RowVersion;
use store::Table;

use crate::Batch;
use crate::FORMAT;
use crate::JOURNAL_ROWS;
use crate::JournalStart;
use crate::Ledger;
use crate::Segment;
use crate::SegmentList;
use crate::SegmentName;
use crate::ShardError;
use crate::Times;
use crate::decode_row;
use crate::journal_prefix;
use crate::segments_key;

/// A claimed shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Shard.
    pub shard: ShardId,
    /// Process run that owns it.
    pub process: Incarnation,
    /// Epoch of the claim.
    pub epoch: model::Epoch,
    /// Version of the shard's row.
    pub fence: RowVersion,
}

/// What earlier owners left.
#[derive(Debug)]
pub struct Recovered {
    /// Requests.
    pub ledger: Ledger,
    /// Where the journal goes on.
    pub start: JournalStart,
}

/// Reads what earlier owners of a shard left.
///
/// # Errors
/// The platform's service fails, or something stored cannot be read; then
/// nothing is changed.
pub async fn recover<T: Table, O: ObjectStore>(
    table: &T,
    objects: &O,
    claim: &Claim,
    times: Times,
) -> Result<Recovered, ShardError> {
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
    let (batches, versions) = read_rows(&rows)?;
    let covered = segments.covered();
    let mut last = covered;
    for batch in batches.iter().filter(|batch| batch.seq > covered) {
        for record in &batch.records {
            ledger.replay(record, times);
        }
        last = batch.seq;
    }
    let start = JournalStart {
        shard: claim.shard,
        process: claim.process.clone(),
        epoch: claim.epoch,
        fence: claim.fence,
        next: last + 1,
        rows: versions,
        segments,
        list_version,
    };
    Ok(Recovered { ledger, start })
}

/// Ended requests of all segments, open ones of the newest.
async fn read_segments<O: ObjectStore>(
    objects: &O,
    list: &SegmentList,
    ledger: &mut Ledger,
    times: Times,
) -> Result<(), ShardError> {
    let newest = list.segments.len().saturating_sub(1);
    for (index, name) in list.segments.iter().enumerate() {
        let segment = read_segment(objects, name).await?;
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

async fn read_segment<O: ObjectStore>(
    objects: &O,
    name: &SegmentName,
) -> Result<Segment, ShardError> {
    let damaged = |reason: &str| ShardError::Damaged {
        key: name.name.clone(),
        reason: reason.to_owned(),
    };
    let body = objects.fetch(&name.name).await?;
    let body = body.ok_or_else(|| damaged("the object is missing"))?;
    let value = String::from_utf8(body).map_err(|_| damaged("it is not text"))?;
    let row = Row {
        key: name.name.clone(),
        version: 0,
        value,
    };
    decode_row(&row)
}

fn read_rows(rows: &[Row]) -> Result<(Vec<Batch>, Vec<RowVersion>), ShardError> {
    let count = usize::try_from(JOURNAL_ROWS).unwrap_or_default();
    let mut versions = vec![0; count];
    let mut batches = Vec::new();
    for row in rows {
        let batch: Batch = decode_row(row)?;
        let slot = usize::try_from(batch.seq % JOURNAL_ROWS).unwrap_or_default();
        versions[slot] = row.version;
        batches.push(batch);
    }
    batches.sort_by_key(|batch| batch.seq);
    Ok((batches, versions))
}
