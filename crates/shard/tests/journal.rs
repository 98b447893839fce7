//! Tests of the journal writer against an in-memory table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use shard::FORMAT;
use shard::JOURNAL_ROWS;
use shard::Journal;
use shard::JournalCommand;
use shard::JournalEvent;
use shard::JournalPosition;
use shard::Pacer;
use shard::Record;
use shard::SegmentList;
use shard::ShardRow;
use shard::encode_row;
use shard::shard_key;
use store::Commit;
use store::CommitOutcome;
use store::Conflict;
use store::Row;
use store::StoreError;
use store::Table;
use tokio::sync::mpsc;

/// An in-memory table that carries out the next `lost_replies` commits without a
/// reply.
#[derive(Clone, Debug, Default)]
struct MemoryTable {
    rows: Arc<Mutex<BTreeMap<String, Row>>>,
    lost_replies: Arc<Mutex<u32>>,
}

impl MemoryTable {
    fn put(&self, key: &str, value: String) -> u64 {
        let mut rows = self.rows.lock().expect("rows");
        let version = rows.values().map(|row| row.version).max().unwrap_or(0) + 1;
        let key = key.to_owned();
        rows.insert(
            key.clone(),
            Row {
                key,
                version,
                value,
            },
        );
        version
    }
}

impl Table for MemoryTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(self.rows.lock().expect("rows").get(key).cloned())
    }

    async fn range(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        let rows = self.rows.lock().expect("rows");
        Ok(rows
            .values()
            .filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect())
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, StoreError> {
        for check in &commit.checks {
            let found = self.get(&check.key).await?.map_or(0, |row| row.version);
            if found != check.version {
                let key = check.key.clone();
                return Ok(CommitOutcome::Conflict(Conflict { key, found }));
            }
        }
        let mut versions = Vec::new();
        for write in &commit.writes {
            versions.push(self.put(&write.key, write.value.clone().unwrap_or_default()));
        }
        let mut lost_replies = self.lost_replies.lock().expect("lost");
        if *lost_replies > 0 {
            *lost_replies -= 1;
            let reason = "reply lost".to_owned();
            return Err(StoreError::Unknown { reason });
        }
        Ok(CommitOutcome::Done(versions))
    }
}

fn shard_row(epoch: u64) -> String {
    encode_row(&ShardRow {
        format: FORMAT,
        owner: "a-1".to_owned(),
        epoch,
    })
}

fn cancel(key: &str) -> Vec<Record> {
    vec![Record::Cancel {
        keys: vec![key.to_owned()],
        at_millis: 1,
    }]
}

/// Starts a writer for shard 0 in epoch 1, which expects the row of the shard in
/// version `fence`; returns its command and event channels.
fn start_writer(
    table: &MemoryTable,
    fence: u64,
) -> (
    mpsc::UnboundedSender<JournalCommand>,
    mpsc::UnboundedReceiver<JournalEvent>,
) {
    let (commands, receiver) = mpsc::unbounded_channel();
    let (sender, events) = mpsc::unbounded_channel();
    let position = JournalPosition {
        shard: 0,
        process: "a-1".to_owned(),
        epoch: 1,
        fence,
        next_seq: 1,
        row_versions: vec![
            0;
            usize::try_from(JOURNAL_ROWS)
                .expect("the number of rows fits in a usize")
        ],
        segments: SegmentList::default(),
        list_version: 0,
    };
    let pacer = Pacer::new(1000.0);
    tokio::spawn(Journal::new(table.clone(), pacer, position, receiver, sender).run());
    (commands, events)
}

// Guards against a batch being written twice, or a writer treating itself as
// fenced, when a commit takes effect but its reply is lost and the commit is
// sent again. The writer must read the row back instead of guessing the
// outcome.
#[tokio::test]
async fn a_batch_whose_reply_was_lost_is_read_back() {
    let table = MemoryTable::default();
    let fence = table.put(&shard_key(0), shard_row(1));
    let (commands, mut events) = start_writer(&table, fence);
    *table.lost_replies.lock().expect("lost") = 1;

    commands
        .send(JournalCommand::Append(7, cancel("x")))
        .expect("the journal writer has ended");

    assert_eq!(events.recv().await, Some(JournalEvent::Stalled));
    assert_eq!(events.recv().await, Some(JournalEvent::Written(7, 1)));
    let rows = table.range("journal/").await.expect("rows");
    assert_eq!(rows.len(), 1);
}

// Guards against journal rows being overwritten by an earlier writer of the
// same process: the shard is released to another process and claimed again while
// the earlier writer is still retrying. The fence must compare the epoch, not
// only the owner.
#[tokio::test]
async fn a_writer_of_an_earlier_epoch_is_fenced_even_by_its_own_process() {
    let table = MemoryTable::default();
    let fence = table.put(&shard_key(0), shard_row(1));
    let (commands, mut events) = start_writer(&table, fence);
    table.put(&shard_key(0), shard_row(3));

    commands
        .send(JournalCommand::Append(7, cancel("x")))
        .expect("the journal writer has ended");

    assert_eq!(events.recv().await, Some(JournalEvent::Fenced));
    assert!(table.range("journal/").await.expect("rows").is_empty());
}

// Guards against overwriting a batch that no segment covers: the object store
// is down while the journal has used all of its rows. Rows must not be reused
// by count alone.
#[tokio::test(start_paused = true)]
async fn rows_are_not_reused_before_a_segment_covers_them() {
    let table = MemoryTable::default();
    let fence = table.put(&shard_key(0), shard_row(1));
    let (commands, mut events) = start_writer(&table, fence);

    for ticket in 1..=JOURNAL_ROWS {
        commands
            .send(JournalCommand::Append(ticket, cancel("x")))
            .expect("the journal writer has ended");
        assert_eq!(
            events.recv().await,
            Some(JournalEvent::Written(ticket, ticket))
        );
    }
    commands
        .send(JournalCommand::Append(99, cancel("y")))
        .expect("the journal writer has ended");
    let waited = tokio::time::timeout(std::time::Duration::from_secs(30), events.recv()).await;

    assert!(waited.is_err(), "{waited:?}");
    let rows = table.range("journal/").await.expect("rows");
    assert!(rows.iter().all(|row| !row.value.contains("\"y\"")));
}
