//! Stand-in for the transactional table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use store::Commit;
use store::CommitOutcome;
use store::Conflict;
use store::Row;
use store::RowVersion;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::StatusCode;

use crate::Faults;
use crate::token_bucket::TokenBucket;

/// Number of rows of a range query that the rate limit counts as one read.
const ROWS_PER_READ: usize = 10;

/// Rate limits of the table for the whole cell.
#[derive(Clone, Copy, Debug)]
pub struct TableRates {
    /// Row writes per second, deletions included. A transaction counts one write for each row.
    pub writes: u32,
    /// Reads per second; a range query counts one read for every 10 rows that it returns, and at
    /// least one.
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

/// Counters of the calls to the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Number of rows written or deleted.
    pub writes: u64,
    /// Number of transactions that took effect.
    pub commits: u64,
    /// Number of reads, as counted by the rate limit.
    pub reads: u64,
    /// Number of calls refused by the rate limits.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<String, Row>,
    version: RowVersion,
    writes: TokenBucket,
    reads: TokenBucket,
    counts: TableCounts,
    /// Prefixes of keys whose version checks are skipped. With them, tests can show
    /// that they detect the violations that version checks prevent.
    unchecked_prefixes: Vec<String>,
}

/// In-memory stand-in for the transactional table; clones share the rows.
#[derive(Clone, Debug)]
pub struct FakeTable {
    state: Arc<Mutex<State>>,
    /// Faults that tests inject into calls.
    pub faults: Arc<Faults>,
}

impl FakeTable {
    /// Creates an empty table with the given rate limits.
    #[must_use]
    pub fn new(rates: TableRates) -> FakeTable {
        let state = State {
            rows: BTreeMap::new(),
            version: 0,
            writes: TokenBucket::new(rates.writes),
            reads: TokenBucket::new(rates.reads),
            counts: TableCounts::default(),
            unchecked_prefixes: Vec::new(),
        };
        FakeTable {
            state: Arc::new(Mutex::new(state)),
            faults: Arc::default(),
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> TableCounts {
        self.lock().counts
    }

    /// All rows whose keys start with `prefix`, ordered by key.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let state = self.lock();
        let rows = state.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Overwrites a row without a version check. Tests use it to corrupt rows.
    pub fn overwrite(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.put(key, value.to_owned());
    }

    /// Skips the version checks of keys with this prefix in all later commits.
    pub fn ignore_checks(&self, prefix: &str) {
        self.lock().unchecked_prefixes.push(prefix.to_owned());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, request: &HttpRequest) -> HttpResponse {
        let mut state = self.lock();
        if !state.charge_reads(1) {
            return rate_limited();
        }
        let key = request.parameter("key").unwrap_or_default();
        web::json(StatusCode::OK, &state.rows.get(&key))
    }

    /// Returns the rows whose keys start with `prefix` and sort after the key `after`, at most
    /// `limit`.
    fn range(&self, request: &HttpRequest) -> HttpResponse {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let limit = request.parameter("limit").and_then(|l| l.parse().ok());
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
        if !state.charge_reads(rows.len().div_ceil(ROWS_PER_READ).max(1)) {
            return rate_limited();
        }
        web::json(StatusCode::OK, &rows)
    }

    fn commit(&self, request: &HttpRequest) -> HttpResponse {
        let commit: Commit = match serde_json::from_slice(&request.body) {
            Ok(commit) => commit,
            Err(error) => return web::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut state = self.lock();
        match state.commit(commit) {
            Some(committed) => web::json(StatusCode::OK, &committed),
            None => rate_limited(),
        }
    }
}

fn rate_limited() -> HttpResponse {
    web::error(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded")
}

impl State {
    /// Charges reads to the rate limit; returns false, and counts a refused call,
    /// if the limit does not allow them.
    fn charge_reads(&mut self, reads: usize) -> bool {
        if !self.reads.try_take(reads) {
            self.counts.refused += 1;
            return false;
        }
        self.counts.reads += u64::try_from(reads).unwrap_or_default();
        true
    }

    /// Writes a row; returns its new version.
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

    /// Applies a transaction if all its version checks succeed, and returns the new
    /// versions of its rows; returns the conflict if a check fails, and `None` if the
    /// rate limit refuses the transaction. A check of version 0 succeeds if there is
    /// no such row.
    fn commit(&mut self, commit: Commit) -> Option<CommitOutcome> {
        for check in &commit.checks {
            let found = self.rows.get(&check.key).map_or(0, |row| row.version);
            let ignored = self
                .unchecked_prefixes
                .iter()
                .any(|p| check.key.starts_with(p));
            if found != check.version && !ignored {
                let key = check.key.clone();
                return Some(CommitOutcome::Conflict(Conflict { key, found }));
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
        Some(CommitOutcome::Done(versions))
    }
}

impl Handler for FakeTable {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if let Some(refusal) = self.faults.before_call().await {
            return refusal;
        }

        match request.path.as_str() {
            "/v1/row" => self.get(&request),
            "/v1/range" => self.range(&request),
            "/v1/commit" => {
                let reply = self.commit(&request);
                // The commit has taken effect; only its reply may arrive too late.
                self.faults.delay_lost_reply().await;
                reply
            }
            _ => web::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
