//! Writer of one shard's journal. At most one commit is in flight; records that
//! arrive meanwhile go into the next batch. Commits are limited to the
//! process's share of the write rate.

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

/// Limit on the records in one batch, which keeps journal rows small.
const BATCH_RECORDS: usize = 2000;

/// First pause between two tries of a commit; it doubles with each try.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two tries of a commit.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Commands to the journal writer.
#[derive(Debug)]
pub enum JournalCommand {
    /// Commit records, identified by a ticket.
    Append(Ticket, Vec<Record>),
    /// Write the new segment list to the table with the next commit; the
    /// journal rows that its segments cover may be reused after that.
    Segments(SegmentList),
    /// Commit the queued records, then end.
    Close,
}

/// Events that the journal writer reports to the shard's task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalEvent {
    /// All records up to this ticket are in the table; the second value is the
    /// number of the last batch.
    Written(Ticket, Seq),
    /// The table has not confirmed a commit; the writer keeps retrying.
    Stalled,
    /// Another process owns the shard, or this process owns it at another
    /// epoch. The writer has ended.
    Fenced,
}

/// Position at which the writer continues the journal, as read by recovery.
#[derive(Clone, Debug)]
pub struct JournalPosition {
    /// The journal's shard.
    pub shard: ShardId,
    /// Incarnation of the process that writes.
    pub process: Incarnation,
    /// Epoch of this ownership of the shard.
    pub epoch: Epoch,
    /// Version of the shard's row; every commit checks it.
    pub fence: RowVersion,
    /// Number of the next batch.
    pub next_seq: Seq,
    /// Versions of the journal rows; 0 for a row that was never written.
    pub row_versions: Vec<RowVersion>,
    /// The segment list as stored in the table.
    pub segments: SegmentList,
    /// Version of the row that holds the segment list.
    pub list_version: RowVersion,
}

/// Result of one try to commit.
enum WriteOutcome {
    /// The batch is in the table.
    Done,
    /// The batch is not in the table; try again.
    Retry,
    /// The shard has another owner or epoch.
    Fenced,
}

/// Writer of one shard's journal.
#[derive(Debug)]
pub struct Journal<T> {
    table: T,
    pacer: Pacer,
    position: JournalPosition,
    commands: mpsc::UnboundedReceiver<JournalCommand>,
    events: mpsc::UnboundedSender<JournalEvent>,
    /// Newest segment list of the shard's task; differs from the stored one
    /// until the next commit.
    latest_segments: SegmentList,
    /// Whether to end once the queued records are committed.
    closing: bool,
}

impl<T: Table> Journal<T> {
    /// A writer that receives `commands` and reports to `events`.
    #[must_use]
    pub fn new(
        table: T,
        pacer: Pacer,
        position: JournalPosition,
        commands: mpsc::UnboundedReceiver<JournalCommand>,
        events: mpsc::UnboundedSender<JournalEvent>,
    ) -> Journal<T> {
        Journal {
            table,
            pacer,
            latest_segments: position.segments.clone(),
            position,
            commands,
            events,
            closing: false,
        }
    }

    /// Runs until closed, fenced, or until the shard's task has ended.
    pub async fn run(mut self) {
        let mut records = Vec::new();
        let mut last_ticket = 0;
        loop {
            if records.is_empty() && !self.closing {
                let Some(command) = self.commands.recv().await else {
                    return;
                };
                self.apply(command, &mut records, &mut last_ticket);
            }
            while records.len() < BATCH_RECORDS {
                let Ok(command) = self.commands.try_recv() else {
                    break;
                };
                self.apply(command, &mut records, &mut last_ticket);
            }
            if records.is_empty() && self.closing {
                return;
            }
            if records.is_empty() && self.latest_segments == self.position.segments {
                continue;
            }
            if !self.write(std::mem::take(&mut records)).await {
                let _ = self.events.send(JournalEvent::Fenced);
                return;
            }
            let written = JournalEvent::Written(last_ticket, self.position.next_seq - 1);
            if self.events.send(written).is_err() {
                return;
            }
        }
    }

    /// Handles one command: collects its records and their ticket, the new
    /// segment list, or the request to end.
    fn apply(
        &mut self,
        command: JournalCommand,
        records: &mut Vec<Record>,
        last_ticket: &mut Ticket,
    ) {
        match command {
            JournalCommand::Append(ticket, mut added) => {
                records.append(&mut added);
                *last_ticket = ticket;
            }
            JournalCommand::Segments(newer) => self.latest_segments = newer,
            JournalCommand::Close => self.closing = true,
        }
    }

    /// Commits one batch, retrying for as long as necessary. Returns false when
    /// fenced, or when the shard's task has ended.
    async fn write(&mut self, records: Vec<Record>) -> bool {
        let batch = Batch {
            format: FORMAT,
            seq: self.position.next_seq,
            epoch: self.position.epoch,
            records,
        };
        let mut pause = FIRST_RETRY_PAUSE;
        loop {
            self.pacer.take(1).await;
            match self.try_write(&batch).await {
                Ok(WriteOutcome::Done) => {
                    self.position.next_seq += 1;
                    return true;
                }
                Ok(WriteOutcome::Fenced) => return false,
                Ok(WriteOutcome::Retry) => {}
                Err(error) => {
                    log::debug!(
                        "journal commit of shard {} failed: {error}",
                        self.position.shard
                    );
                    if self.events.send(JournalEvent::Stalled).is_err() {
                        return false;
                    }
                }
            }
            // Jitter spreads the retries of the processes after an outage of
            // the table.
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
        }
    }

    /// Tries once to commit the batch. If the reply is lost, the same commit is
    /// sent again: it can take effect only once, since it checks the version of
    /// the row that it replaces, and reading the row back shows whether it did.
    async fn try_write(&mut self, batch: &Batch) -> Result<WriteOutcome, StoreError> {
        if batch.seq > self.position.segments.covered() + JOURNAL_ROWS {
            return self.try_write_segments().await;
        }
        let key = journal_key(self.position.shard, batch.seq);
        let index = row_index(batch.seq);
        let mut commit = Commit::default()
            .check(shard_key(self.position.shard), self.position.fence)
            .check(key.clone(), self.position.row_versions[index])
            .put(key.clone(), encode_row(batch));
        let list_changed = self.latest_segments != self.position.segments;
        if list_changed {
            commit = self.add_segment_list(commit);
        }
        match self.table.commit(&commit).await? {
            CommitOutcome::Done(versions) => {
                self.position.row_versions[index] = versions.first().copied().unwrap_or_default();
                if list_changed {
                    self.position.list_version = versions.get(1).copied().unwrap_or_default();
                    self.position.segments = self.latest_segments.clone();
                }
                Ok(WriteOutcome::Done)
            }
            CommitOutcome::Conflict(_) => self.resolve_conflict(batch, list_changed).await,
        }
    }

    /// Adds the write of the newest segment list to a commit.
    fn add_segment_list(&self, commit: Commit) -> Commit {
        let key = segments_key(self.position.shard);
        commit
            .check(key.clone(), self.position.list_version)
            .put(key, encode_row(&self.latest_segments))
    }

    /// Every journal row holds a batch that the segment list in the table does
    /// not cover yet. The list must be updated before a row can be reused.
    async fn try_write_segments(&mut self) -> Result<WriteOutcome, StoreError> {
        if self.latest_segments == self.position.segments {
            while let Ok(command) = self.commands.try_recv() {
                if let JournalCommand::Segments(newer) = command {
                    self.latest_segments = newer;
                }
            }
            return Ok(WriteOutcome::Retry);
        }
        let fence = Commit::default().check(shard_key(self.position.shard), self.position.fence);
        match self.table.commit(&self.add_segment_list(fence)).await? {
            CommitOutcome::Done(versions) => {
                self.position.list_version = versions.first().copied().unwrap_or_default();
                self.position.segments = self.latest_segments.clone();
                Ok(WriteOutcome::Retry)
            }
            CommitOutcome::Conflict(_) => self.refresh_versions().await,
        }
    }

    /// A check failed: either an earlier try of the same batch has taken
    /// effect, or the shard has another owner.
    async fn resolve_conflict(
        &mut self,
        batch: &Batch,
        list_changed: bool,
    ) -> Result<WriteOutcome, StoreError> {
        let key = journal_key(self.position.shard, batch.seq);
        let row = self.table.get(&key).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let found = row.and_then(|row| decode_row::<Batch>(&row).ok());
        if found.as_ref() == Some(batch) {
            self.position.row_versions[row_index(batch.seq)] = version;
            if list_changed {
                self.position.segments = self.latest_segments.clone();
                self.refresh_versions().await?;
            }
            return Ok(WriteOutcome::Done);
        }
        self.refresh_versions().await
    }

    /// Reads the versions of the shard's row and of the segment list again.
    async fn refresh_versions(&mut self) -> Result<WriteOutcome, StoreError> {
        let Some(row) = self.table.get(&shard_key(self.position.shard)).await? else {
            return Ok(WriteOutcome::Fenced);
        };
        let Ok(shard) = decode_row::<ShardRow>(&row) else {
            return Ok(WriteOutcome::Fenced);
        };
        // The same process at another epoch is a different writer: the shard
        // was released to another process and claimed again while this writer
        // was still retrying. Its remaining commits would overwrite rows of its
        // successor.
        if shard.owner != self.position.process || shard.epoch != self.position.epoch {
            return Ok(WriteOutcome::Fenced);
        }
        self.position.fence = row.version;
        let list = self.table.get(&segments_key(self.position.shard)).await?;
        self.position.list_version = list.map_or(0, |row| row.version);
        Ok(WriteOutcome::Retry)
    }
}

/// Index of the journal row that holds a batch.
fn row_index(seq: Seq) -> usize {
    usize::try_from(seq % JOURNAL_ROWS).unwrap_or_default()
}
