//! The journal's writer against a table in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use shard::FORMAT;
use shard::JOURNAL_ROWS;
use shard::Journal;
use shard::JournalNews;
use shard::JournalOrder;
use shard::JournalStart;
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

/// A table in memory that can lose the answers of commits.
#[derive(Clone, Debug, Default)]
struct MemoryTable {
    rows: Arc<Mutex<BTreeMap<String, Row>>>,
    lost: Arc<Mutex<u32>>,
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
        let mut lost = self.lost.lock().expect("lost");
        if *lost > 0 {
            *lost -= 1;
            let reason = "lost".to_owned();
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

/// A writer of shard 0 at epoch 1, its orders and its news.
fn open(
    table: &MemoryTable,
    fence: u64,
) -> (
    mpsc::UnboundedSender<JournalOrder>,
    mpsc::UnboundedReceiver<JournalNews>,
) {
    let (orders, receiver) = mpsc::unbounded_channel();
    let (sender, news) = mpsc::unbounded_channel();
    let start = JournalStart {
        shard: 0,
        process: "a-1".to_owned(),
        epoch: 1,
        fence,
        next: 1,
        rows: vec![0; usize::try_from(JOURNAL_ROWS).expect("small")],
        segments: SegmentList::default(),
        list_version: 0,
    };
    let pacer = Pacer::new(1000.0);
    tokio::spawn(Journal::new(table.clone(), pacer, start, receiver, sender).run());
    (orders, news)
}

// Symptom: a batch stood twice in the journal, or its owner took itself for
// fenced. Sequence: the commit takes effect, its answer is lost, it is sent
// again. Cause: guessing what became of it instead of reading it back.
#[tokio::test]
async fn a_lost_answer_is_read_back() {
    let table = MemoryTable::default();
    let fence = table.put(&shard_key(0), shard_row(1));
    let (orders, mut news) = open(&table, fence);
    *table.lost.lock().expect("lost") = 1;

    orders
        .send(JournalOrder::Append(7, cancel("x")))
        .expect("open");

    assert_eq!(news.recv().await, Some(JournalNews::Stalled));
    assert_eq!(news.recv().await, Some(JournalNews::Written(7, 1)));
    let rows = table.range("journal/").await.expect("rows");
    assert_eq!(rows.len(), 1);
}

// Symptom: rows of the journal were overwritten by an earlier writer of the
// same process. Sequence: the shard went to another process and came back
// while the earlier writer was still trying. Cause: a fence that looked at the
// owner's name and not at the epoch.
#[tokio::test]
async fn a_writer_of_an_earlier_epoch_is_fenced_even_by_its_own_process() {
    let table = MemoryTable::default();
    let fence = table.put(&shard_key(0), shard_row(1));
    let (orders, mut news) = open(&table, fence);
    table.put(&shard_key(0), shard_row(3));

    orders
        .send(JournalOrder::Append(7, cancel("x")))
        .expect("open");

    assert_eq!(news.recv().await, Some(JournalNews::Fenced));
    assert!(table.range("journal/").await.expect("rows").is_empty());
}

// Symptom: a batch that no segment covered was overwritten. Sequence: the
// object store is down, the journal goes round. Cause: reusing rows by count.
#[tokio::test(start_paused = true)]
async fn rows_are_not_reused_before_a_segment_covers_them() {
    let table = MemoryTable::default();
    let fence = table.put(&shard_key(0), shard_row(1));
    let (orders, mut news) = open(&table, fence);

    for ticket in 1..=JOURNAL_ROWS {
        orders
            .send(JournalOrder::Append(ticket, cancel("x")))
            .expect("open");
        assert_eq!(
            news.recv().await,
            Some(JournalNews::Written(ticket, ticket))
        );
    }
    orders
        .send(JournalOrder::Append(99, cancel("y")))
        .expect("open");
    let waited = tokio::time::timeout(std::time::Duration::from_secs(30), news.recv()).await;

    assert!(waited.is_err(), "{waited:?}");
    let rows = table.range("journal/").await.expect("rows");
    assert!(rows.iter().all(|row| !row.value.contains("\"y\"")));
}
