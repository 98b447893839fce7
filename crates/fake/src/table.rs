//! Stand-in of the transactional table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use store::Commit;
use store::Committed;
use store::Conflict;
use store::Row;
use store::RowVersion;
use web::Asked;
use web::Handler;
use web::StatusCode;
use web::Whole;

use crate::Faults;
use crate::token_bucket::TokenBucket;

/// Rows that count as one read in a range.
const ROWS_A_READ: usize = 10;

/// Rates of the table, for the whole cell.
#[derive(Clone, Copy, Debug)]
pub struct TableRates {
    /// Rows written a second.
    pub writes: u32,
    /// Reads a second; a range counts one for each ten rows.
    pub reads: u32,
}

impl Default for TableRates {
    fn default() -> Self {
        TableRates {
            writes: 300,
            reads: 2000,
        }
    }
}

/// Calls that the table has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Rows written.
    pub writes: u64,
    /// Transactions that took effect.
    pub commits: u64,
    /// Reads.
    pub reads: u64,
    /// Calls refused for their rate.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<String, Row>,
    version: RowVersion,
    writes: TokenBucket,
    reads: TokenBucket,
    counts: TableCounts,
    /// A guard that a test may take out, to see its checker fail.
    unchecked: Vec<String>,
}

/// Stand-in of the transactional table.
#[derive(Clone, Debug)]
pub struct FakeTable {
    state: Arc<Mutex<State>>,
    /// Faults.
    pub faults: Arc<Faults>,
}

impl FakeTable {
    /// An empty table with the given rates.
    #[must_use]
    pub fn new(rates: TableRates) -> FakeTable {
        let state = State {
            rows: BTreeMap::new(),
            version: 0,
            writes: TokenBucket::new(rates.writes),
            reads: TokenBucket::new(rates.reads),
            counts: TableCounts::default(),
            unchecked: Vec::new(),
        };
        FakeTable {
            state: Arc::new(Mutex::new(state)),
            faults: Arc::default(),
        }
    }

    /// What it has counted so far.
    #[must_use]
    pub fn counts(&self) -> TableCounts {
        self.lock().counts
    }

    /// All rows whose keys begin with `prefix`.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let state = self.lock();
        let rows = state.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Overwrites a row, as a fault of the platform would.
    pub fn overwrite(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.put(key, value.to_owned());
    }

    /// Ignores conditions on keys with this prefix from now on.
    pub fn ignore_checks(&self, prefix: &str) {
        self.lock().unchecked.push(prefix.to_owned());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, asked: &Asked) -> Whole {
        let mut state = self.lock();
        if !state.count_reads(1) {
            return too_many();
        }
        let key = asked.parameter("key").unwrap_or_default();
        web::json(StatusCode::OK, &state.rows.get(&key))
    }

    fn range(&self, asked: &Asked) -> Whole {
        let prefix = asked.parameter("prefix").unwrap_or_default();
        let after = asked.parameter("after").unwrap_or_default();
        let limit = asked.parameter("limit").and_then(|l| l.parse().ok());
        let mut state = self.lock();
        let rows: Vec<Row> = state
            .rows
            .range(prefix.clone()..)
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(&prefix))
            .filter(|row| row.key > after)
            .take(limit.unwrap_or(usize::MAX))
            .cloned()
            .collect();
        if !state.count_reads(rows.len().div_ceil(ROWS_A_READ).max(1)) {
            return too_many();
        }
        web::json(StatusCode::OK, &rows)
    }

    fn commit(&self, asked: &Asked) -> Whole {
        let commit: Commit = match serde_json::from_slice(&asked.body) {
            Ok(commit) => commit,
            Err(error) => return web::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut state = self.lock();
        match state.commit(commit) {
            Some(committed) => web::json(StatusCode::OK, &committed),
            None => too_many(),
        }
    }
}

fn too_many() -> Whole {
    web::error(StatusCode::TOO_MANY_REQUESTS, "over the rate")
}

impl State {
    fn count_reads(&mut self, reads: usize) -> bool {
        if !self.reads.try_take(reads) {
            self.counts.refused += 1;
            return false;
        }
        self.counts.reads += u64::try_from(reads).unwrap_or_default();
        true
    }

    fn put(&mut self, key: &str, value: String) -> RowVersion {
        self.version += 1;
        let row = Row {
            key: key.to_owned(),
            version: self.version,
            value,
        };
        self.rows.insert(key.to_owned(), row);
        self.version
    }

    fn commit(&mut self, commit: Commit) -> Option<Committed> {
        for check in &commit.checks {
            let found = self.rows.get(&check.key).map_or(0, |row| row.version);
            let ignored = self.unchecked.iter().any(|p| check.key.starts_with(p));
            if found != check.version && !ignored {
                let key = check.key.clone();
                return Some(Committed::Conflict(Conflict { key, found }));
            }
        }
        if !self.writes.try_take(commit.writes.len()) {
            self.counts.refused += 1;
            return None;
        }
        self.counts.commits += 1;
        self.counts.writes += u64::try_from(commit.writes.len()).unwrap_or_default();
        let mut versions = Vec::new();
        for write in commit.writes {
            if let Some(value) = write.value {
                versions.push(self.put(&write.key, value));
            } else {
                self.rows.remove(&write.key);
                self.version += 1;
                versions.push(self.version);
            }
        }
        Some(Committed::Done(versions))
    }
}

impl Handler for FakeTable {
    async fn handle(&self, asked: Asked) -> Whole {
        if let Some(refusal) = self.faults.before().await {
            return refusal;
        }

        match asked.path.as_str() {
            "/v1/row" => self.get(&asked),
            "/v1/range" => self.range(&asked),
            "/v1/commit" => {
                let whole = self.commit(&asked);
                self.faults.after().await;
                whole
            }
            _ => web::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
