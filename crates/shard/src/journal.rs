//! Writer of one shard's journal: one commit in flight, with everything that
//! queued behind the one before, within the process's share of the writes.

use std::time::Duration;

use model::Epoch;
use model::Incarnation;
use model::ShardId;
use rand::RngExt;
use store::Commit;
use store::CommitOutcome;
use store::RowVersion;
use store::StoreError;
use store::Table;
use tokio::sync::mpsc;

use crate::Batch;
use crate::FORMAT;
use crate::JOURNAL_ROWS;
use crate::Pacer;
use crate::Record;
use crate::SegmentList;
use crate::Seq;
use crate::ShardRow;
use crate::Ticket;
use crate::decode_row;
use crate::encode_row;
use crate::journal_key;
use crate::segments_key;
use crate::shard_key;

/// Most records in one batch, so that a row stays small.
const BATCH_RECORDS: usize = 2000;

/// First and longest pause between tries of a commit.
const RETRY_FIRST: Duration = Duration::from_millis(50);
const RETRY_LONGEST: Duration = Duration::from_secs(1);

/// Orders to the writer.
#[derive(Debug)]
pub enum JournalOrder {
    /// Commit records.
    Append(Ticket, Vec<Record>),
    /// Name new segments; the rows that they cover may be reused.
    Segments(SegmentList),
    /// Commit what is queued, then end.
    Close,
}

/// News from the writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalNews {
    /// All records up to a ticket are in the table; the last batch's number.
    Written(Ticket, Seq),
    /// The table takes no records for now.
    Stalled,
    /// Another process owns the shard.
    Fenced,
}

/// Where the journal goes on.
#[derive(Clone, Debug)]
pub struct JournalStart {
    /// Shard.
    pub shard: ShardId,
    /// Process run that writes.
    pub process: Incarnation,
    /// Epoch of the shard.
    pub epoch: Epoch,
    /// Version of the shard's row, on which every commit is conditional.
    pub fence: RowVersion,
    /// Number of the next batch.
    pub next: Seq,
    /// Versions of the journal rows.
    pub rows: Vec<RowVersion>,
    /// Segments so far.
    pub segments: SegmentList,
    /// Version of the row that lists them.
    pub list_version: RowVersion,
}

/// What became of one try.
enum Tried {
    Done,
    Again,
    Fenced,
}

/// Writer of one shard's journal.
#[derive(Debug)]
pub struct Journal<T> {
    table: T,
    pacer: Pacer,
    start: JournalStart,
    orders: mpsc::UnboundedReceiver<JournalOrder>,
    news: mpsc::UnboundedSender<JournalNews>,
    listed: SegmentList,
    closing: bool,
}

impl<T: Table> Journal<T> {
    /// A writer that takes `orders` and reports to `news`.
    #[must_use]
    pub fn new(
        table: T,
        pacer: Pacer,
        start: JournalStart,
        orders: mpsc::UnboundedReceiver<JournalOrder>,
        news: mpsc::UnboundedSender<JournalNews>,
    ) -> Journal<T> {
        Journal {
            table,
            pacer,
            listed: start.segments.clone(),
            start,
            orders,
            news,
            closing: false,
        }
    }

    /// Runs until closed, fenced, or abandoned by its shard.
    pub async fn run(mut self) {
        let mut records = Vec::new();
        let mut last = 0;
        loop {
            if records.is_empty() && !self.closing {
                let Some(order) = self.orders.recv().await else {
                    return;
                };
                self.take(order, &mut records, &mut last);
            }
            while records.len() < BATCH_RECORDS {
                let Ok(order) = self.orders.try_recv() else {
                    break;
                };
                self.take(order, &mut records, &mut last);
            }
            if records.is_empty() && self.closing {
                return;
            }
            if records.is_empty() && self.listed == self.start.segments {
                continue;
            }
            if !self.write(std::mem::take(&mut records)).await {
                let _ = self.news.send(JournalNews::Fenced);
                return;
            }
            let written = JournalNews::Written(last, self.start.next - 1);
            if self.news.send(written).is_err() {
                return;
            }
        }
    }

    fn take(&mut self, order: JournalOrder, records: &mut Vec<Record>, last: &mut Ticket) {
        match order {
            JournalOrder::Append(ticket, mut more) => {
                records.append(&mut more);
                *last = ticket;
            }
            JournalOrder::Segments(newer) => self.listed = newer,
            JournalOrder::Close => self.closing = true,
        }
    }

    /// Writes one batch, however long it takes; false when fenced.
    async fn write(&mut self, records: Vec<Record>) -> bool {
        let batch = Batch {
            format: FORMAT,
            seq: self.start.next,
            epoch: self.start.epoch,
            records,
        };
        let mut pause = RETRY_FIRST;
        loop {
            self.pacer.take(1).await;
            match self.attempt(&batch).await {
                Ok(Tried::Done) => {
                    self.start.next += 1;
                    return true;
                }
                Ok(Tried::Fenced) => return false,
                Ok(Tried::Again) => {}
                Err(error) => {
                    log::debug!("journal of shard {}: {error}", self.start.shard);
                    if self.news.send(JournalNews::Stalled).is_err() {
                        return false;
                    }
                }
            }
            // Jitter keeps the processes from returning together after an
            // outage.
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(RETRY_LONGEST);
        }
    }

    /// One try. A try whose answer was lost is repeated as it is: it can take
    /// effect only once, since it names the version of the row that it
    /// replaces, and the row itself tells whether it did.
    async fn attempt(&mut self, batch: &Batch) -> Result<Tried, StoreError> {
        if batch.seq > self.start.segments.covered() + JOURNAL_ROWS {
            return self.attempt_segments().await;
        }
        let key = journal_key(self.start.shard, batch.seq);
        let slot = slot_of(batch.seq);
        let mut commit = Commit::default()
            .check(shard_key(self.start.shard), self.start.fence)
            .check(key.clone(), self.start.rows[slot])
            .put(key.clone(), encode_row(batch));
        let lists = self.listed != self.start.segments;
        if lists {
            commit = self.with_segments(commit);
        }
        match self.table.commit(&commit).await? {
            CommitOutcome::Done(versions) => {
                self.start.rows[slot] = versions.first().copied().unwrap_or_default();
                if lists {
                    self.start.list_version = versions.get(1).copied().unwrap_or_default();
                    self.start.segments = self.listed.clone();
                }
                Ok(Tried::Done)
            }
            CommitOutcome::Conflict(_) => self.resolve(batch, lists).await,
        }
    }

    fn with_segments(&self, commit: Commit) -> Commit {
        let key = segments_key(self.start.shard);
        commit
            .check(key.clone(), self.start.list_version)
            .put(key, encode_row(&self.listed))
    }

    /// Every row holds a batch that no segment covers yet: the list of
    /// segments has to move first.
    async fn attempt_segments(&mut self) -> Result<Tried, StoreError> {
        if self.listed == self.start.segments {
            while let Ok(order) = self.orders.try_recv() {
                if let JournalOrder::Segments(newer) = order {
                    self.listed = newer;
                }
            }
            return Ok(Tried::Again);
        }
        let fence = Commit::default().check(shard_key(self.start.shard), self.start.fence);
        match self.table.commit(&self.with_segments(fence)).await? {
            CommitOutcome::Done(versions) => {
                self.start.list_version = versions.first().copied().unwrap_or_default();
                self.start.segments = self.listed.clone();
                Ok(Tried::Again)
            }
            CommitOutcome::Conflict(_) => self.refresh().await,
        }
    }

    /// A condition did not hold: either an earlier try has taken effect, or
    /// the shard has another owner.
    async fn resolve(&mut self, batch: &Batch, lists: bool) -> Result<Tried, StoreError> {
        let key = journal_key(self.start.shard, batch.seq);
        let row = self.table.get(&key).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let found = row.and_then(|row| decode_row::<Batch>(&row).ok());
        if found.as_ref() == Some(batch) {
            self.start.rows[slot_of(batch.seq)] = version;
            if lists {
                self.start.segments = self.listed.clone();
                self.refresh().await?;
            }
            return Ok(Tried::Done);
        }
        self.refresh().await
    }

    /// Reads the versions of the shard's row and of the list again.
    async fn refresh(&mut self) -> Result<Tried, StoreError> {
        let Some(row) = self.table.get(&shard_key(self.start.shard)).await? else {
            return Ok(Tried::Fenced);
        };
        let Ok(shard) = decode_row::<ShardRow>(&row) else {
            return Ok(Tried::Fenced);
        };
        // The same process at another epoch is another writer: the shard went
        // away and came back while this one was still busy, and what it has
        // left would overwrite the rows of its successor.
        if shard.owner != self.start.process || shard.epoch != self.start.epoch {
            return Ok(Tried::Fenced);
        }
        self.start.fence = row.version;
        let list = self.table.get(&segments_key(self.start.shard)).await?;
        self.start.list_version = list.map_or(0, |row| row.version);
        Ok(Tried::Again)
    }
}

fn slot_of(seq: Seq) -> usize {
    usize::try_from(seq % JOURNAL_ROWS).unwrap_or_default()
}
