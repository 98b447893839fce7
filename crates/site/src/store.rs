//! Fake of the platform's store: rows, transactions and the change feed, with refusals, lost
//! replies and dropped history.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::ScriptedReply;

/// Maximum number of rows in one reply of the feed.
const FEED_ROWS: usize = 500;

/// Maximum number of entries of a transaction.
const MAX_ENTRIES: usize = 100;

/// Table, part and key of a row. A part is a named subset of the rows of a table; the rows that the
/// operator and the workers write are in the unnamed part, whose name is empty.
type RowName = (String, String, String);

/// Kinds of calls that the store refuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RefusedCalls {
    /// No calls.
    #[default]
    Nothing,
    /// All calls except transactions.
    Reads,
    /// Transactions.
    Writes,
}

/// Transactions that get no reply, and are carried out late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateWrites {
    /// Table to which the transactions write.
    pub table: &'static str,
    /// One transaction in this number is late.
    pub ratio: usize,
    /// Time after which it is carried out, if its condition still holds.
    pub delay: Duration,
}

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Some calls are refused with 503; the others are served.
    pub refused_calls: RefusedCalls,
    /// Number of the next transactions that are carried out but get no reply.
    pub lost_replies: usize,
    /// Time from the arrival of each transaction until it is carried out.
    pub delay: Duration,
    /// Table, and delay of the replies with its rows, which may then be outdated.
    pub slow_rows: Option<(&'static str, Duration)>,
    /// Table, and delay of the feed replies with its changes.
    pub slow_feed: Option<(&'static str, Duration)>,
    /// The feed does not answer; other calls are served.
    pub hung_feed: bool,
    /// Calls for rows of this part are refused with 503; the others are served.
    pub refused_part: Option<&'static str>,
    /// Some transactions are carried out late, without a reply.
    pub late_writes: Option<LateWrites>,
}

#[derive(Default)]
struct Rows {
    /// Base64-encoded value and version of each row.
    live: BTreeMap<RowName, (String, u64)>,
    /// History of changes, which the feed returns: version, row and new Base64-encoded value, none
    /// if the row was removed.
    changes: Vec<(u64, RowName, Option<String>)>,
    /// Version of the store, which increases with each write or transaction.
    version: u64,
    /// Version up to which changes were dropped from the history.
    dropped_upto: u64,
    faults: StoreFaults,
    /// Number of transactions received so far, whether carried out or not, for each table that
    /// their preconditions name.
    transactions: BTreeMap<String, usize>,
    /// Number of transactions so far to the table of [`StoreFaults::late_writes`].
    late_candidates: usize,
    /// Transactions that are carried out late, and when.
    late: Vec<(Instant, Value)>,
    /// Number of reads of rows so far, for each table.
    reads: BTreeMap<String, usize>,
    /// Table, and handling of the next transactions that write to it.
    script: (String, VecDeque<ScriptedReply>),
}

/// A simulated store.
pub struct FakeStore {
    rows: Mutex<Rows>,
    /// Version of the store, which wakes waiting feed calls.
    version: watch::Sender<u64>,
}

impl FakeStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Arc<FakeStore> {
        let (version, _) = watch::channel(0);
        Arc::new(FakeStore {
            rows: Mutex::default(),
            version,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the reply to a transaction is lost, and counts it if so. This is decided
    /// when the reply is due, since the faults may have ended while a slow store processed the
    /// transaction.
    fn take_lost_reply(&self) -> bool {
        let mut rows = self.lock();
        let lost = rows.faults.lost_replies > 0;
        rows.faults.lost_replies -= usize::from(lost);
        lost
    }

    /// Sets the faults of all later calls.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Sets the handling of the next transactions that write to a table.
    pub fn set_script(&self, table: &str, replies: &[ScriptedReply]) {
        self.lock().script = (table.to_owned(), replies.iter().copied().collect());
    }

    /// Writes a row to a part, as a process of the cell would.
    pub fn write_row(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        rows.put(name, Some(STANDARD.encode(value)), version);
        drop(rows);
        self.version.send_replace(version);
    }

    /// Returns the number of transactions received so far, whether carried out or not, that have
    /// preconditions on rows of a table.
    pub fn transactions(&self, table: &str) -> usize {
        self.lock().transactions.get(table).copied().unwrap_or(0)
    }

    /// Returns whether a transaction is carried out late, and keeps it for that.
    fn take_late(&self, body: &Value) -> bool {
        let mut rows = self.lock();
        let Some(late) = rows.faults.late_writes else {
            return false;
        };
        if !list(body, "puts")
            .iter()
            .any(|put| put["table"] == late.table)
        {
            return false;
        }
        rows.late_candidates += 1;
        if !rows.late_candidates.is_multiple_of(late.ratio) {
            return false;
        }
        rows.late.push((Instant::now() + late.delay, body.clone()));
        true
    }

    /// Carries out the late transactions that are due.
    fn carry_out_late(&self) {
        let now = Instant::now();
        let due: Vec<Value> = {
            let mut rows = self.lock();
            let due = rows.late.extract_if(.., |(at, _)| *at <= now);
            due.map(|(_, body)| body).collect()
        };
        for body in due {
            self.transact(&body);
        }
    }

    /// Returns the number of reads of rows of a table so far.
    pub fn reads(&self, table: &str) -> usize {
        self.lock().reads.get(table).copied().unwrap_or(0)
    }

    fn count_read(&self, request: &HttpRequest) {
        let table = request.parameter("table").unwrap_or_default();
        *self.lock().reads.entry(table).or_default() += 1;
    }

    fn count_transaction(&self, body: &Value) {
        let conditions = list(body, "precondition");
        let tables = conditions.iter().filter_map(|row| row["table"].as_str());
        let tables: BTreeSet<String> = tables.map(str::to_owned).collect();
        let mut rows = self.lock();
        for table in tables {
            *rows.transactions.entry(table).or_default() += 1;
        }
    }

    /// Takes the next entry of the script if the transaction writes to the script's table.
    fn next_scripted(&self, body: &Value) -> Option<ScriptedReply> {
        let mut rows = self.lock();
        let table = rows.script.0.clone();
        let writes = list(body, "puts").iter().any(|put| put["table"] == table);
        if writes {
            rows.script.1.pop_front()
        } else {
            None
        }
    }

    /// Drops the history of changes. Feed calls that need it are answered with 410.
    pub fn drop_history(&self) {
        let mut rows = self.lock();
        rows.dropped_upto = rows.version;
        rows.changes.clear();
    }

    /// Writes a row to the unnamed part, as the operator or a worker would.
    pub fn write(&self, table: &str, key: &str, value: &Value) {
        self.write_row(table, "", key, value.to_string().as_bytes());
    }

    /// Removes a row from the unnamed part.
    pub fn remove(&self, table: &str, key: &str) {
        self.remove_from(table, "", key);
    }

    /// Removes a row from a part.
    pub fn remove_from(&self, table: &str, part: &str, key: &str) {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        rows.put(name, None, version);
        drop(rows);
        self.version.send_replace(version);
    }

    /// Returns the value of a row.
    #[must_use]
    pub fn raw(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        let rows = self.lock();
        STANDARD.decode(&rows.live.get(&name)?.0).ok()
    }

    /// Returns the number of rows of a table in all its parts.
    #[must_use]
    pub fn count(&self, table: &str) -> usize {
        self.lock()
            .live
            .keys()
            .filter(|name| name.0 == table)
            .count()
    }

    /// Returns the version of the store, which is the number of writes and transactions so far.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.lock().version
    }

    /// Carries out a transaction if each row in its preconditions has the expected version (0 if
    /// there must be no such row).
    fn transact(&self, body: &Value) -> HttpResponse {
        let kinds = ["precondition", "puts", "remove"];
        let entries: usize = kinds.iter().map(|kind| list(body, kind).len()).sum();
        if entries > MAX_ENTRIES {
            let reason = format!("found {entries} entries, allowed: {MAX_ENTRIES}");
            return web::error(StatusCode::BAD_REQUEST, &reason);
        }
        let mut rows = self.lock();
        for expect in list(body, "precondition") {
            let found = rows.live.get(&row_name(expect)).map_or(0, |row| row.1);
            if found != expect["ver"].as_u64().unwrap_or(0) {
                return web::json(StatusCode::PRECONDITION_FAILED, &json!({"rows": []}));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for put in list(body, "puts") {
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            rows.put(row_name(put), Some(value), version);
        }
        for remove in list(body, "remove") {
            rows.put(row_name(remove), None, version);
        }
        drop(rows);
        self.version.send_replace(version);
        web::json(StatusCode::OK, &json!({"ver": version, "now_ms": 0}))
    }

    /// Returns the rows of a part in the order of their keys, from the key `from` on.
    fn read(&self, request: &HttpRequest) -> HttpResponse {
        let text = |name: &str| request.parameter(name).unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let limit = text("limit").parse().unwrap_or(500);
        let rows = self.lock();
        let found = rows
            .live
            .range((table.clone(), part.clone(), from)..)
            .take_while(|(name, _)| name.0 == table && name.1 == part);
        let all: Vec<Value> = found
            .map(|(name, (value, version))| row_json(name, Some(value), *version))
            .collect();
        let more = all.len() > limit;
        let page: Vec<Value> = all.into_iter().take(limit).collect();
        let body = json!({"rows": page, "has_more": more, "ver": rows.version, "now_ms": 0});
        web::json(StatusCode::OK, &body)
    }

    fn parts(&self, request: &HttpRequest) -> HttpResponse {
        let table = request.parameter("table").unwrap_or_default();
        let rows = self.lock();
        let names = rows.live.keys().filter(|name| name.0 == table);
        let parts: BTreeSet<&String> = names.map(|name| &name.1).collect();
        web::json(StatusCode::OK, &json!({"parts": parts, "has_more": false}))
    }

    /// Returns the changes of a table after a version; waits for one, for `wait_ms` milliseconds at
    /// most, if there are none yet.
    async fn feed(&self, request: &HttpRequest) -> HttpResponse {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse().ok());
        let table = request.parameter("table").unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let until = tokio::time::Instant::now() + wait;
        let mut version = self.version.subscribe();
        loop {
            version.borrow_and_update();
            if let Some(response) = self.feed_reply(&table, after, false) {
                return response;
            }
            if tokio::time::timeout_at(until, version.changed())
                .await
                .is_err()
            {
                return self
                    .feed_reply(&table, after, true)
                    .unwrap_or_else(|| web::error(StatusCode::GONE, "forgotten"));
            }
        }
    }

    /// Returns the feed reply with the changes of a table after a version. If there are no such
    /// changes, returns none, or an empty reply if `allow_empty` is set.
    fn feed_reply(&self, table: &str, after: u64, allow_empty: bool) -> Option<HttpResponse> {
        let rows = self.lock();
        if after < rows.dropped_upto {
            return Some(web::error(StatusCode::GONE, "forgotten"));
        }
        let seen = rows
            .changes
            .partition_point(|(version, _, _)| *version <= after);
        let found: Vec<(u64, Value)> = rows.changes[seen..]
            .iter()
            .filter(|(_, name, _)| name.0 == table)
            .take(FEED_ROWS)
            .map(|(version, name, value)| (*version, row_json(name, value.as_ref(), *version)))
            .collect();
        if found.is_empty() && !allow_empty {
            return None;
        }
        // A reply with the maximum number of rows covers the history only up to its last row.
        let last = found.last().filter(|_| found.len() == FEED_ROWS);
        let version = last.map_or(rows.version, |(version, _)| *version);
        let found: Vec<Value> = found.into_iter().map(|(_, row)| row).collect();
        let body = json!({"rows": found, "ver": version, "now_ms": 0});
        Some(web::json(StatusCode::OK, &body))
    }
}

impl Rows {
    fn put(&mut self, name: RowName, value: Option<String>, version: u64) {
        self.changes.push((version, name.clone(), value.clone()));
        match value {
            Some(value) => self.live.insert(name, (value, version)),
            None => self.live.remove(&name),
        };
    }
}

impl Handler for FakeStore {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        self.carry_out_late();
        let faults = self.lock().faults;
        if faults.down {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "injected fault");
        }
        let write = request.path == "/-/rows-tx";
        let refused = match faults.refused_calls {
            RefusedCalls::Nothing => false,
            RefusedCalls::Reads => !write,
            RefusedCalls::Writes => write,
        };
        let part_refused = faults
            .refused_part
            .is_some_and(|part| concerns_part(&request, part));
        if refused || part_refused {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "injected fault");
        }
        match request.path.as_str() {
            "/-/rows-tx" => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                self.count_transaction(&body);
                if let Some(scripted_reply) = self.next_scripted(&body) {
                    if scripted_reply.commit {
                        self.transact(&body);
                    }
                    return scripted_reply.reply().await;
                }
                if self.take_late(&body) {
                    return std::future::pending().await;
                }
                tokio::time::sleep(faults.delay).await;
                let response = self.transact(&body);
                if self.take_lost_reply() {
                    std::future::pending::<()>().await;
                }
                response
            }
            "/-/rows-get" => {
                self.count_read(&request);
                let response = self.read(&request);
                let slow = faults.slow_rows;
                if let Some((_, delay)) =
                    slow.filter(|(table, _)| request.parameter("table").as_deref() == Some(table))
                {
                    tokio::time::sleep(delay).await;
                }
                response
            }
            "/-/rows-parts" => self.parts(&request),
            "/-/rows-feed" => {
                let response = self.feed(&request).await;
                let slow = faults.slow_feed;
                if let Some((_, delay)) =
                    slow.filter(|(table, _)| request.parameter("table").as_deref() == Some(table))
                {
                    tokio::time::sleep(delay).await;
                }
                if self.lock().faults.hung_feed {
                    std::future::pending::<()>().await;
                }
                response
            }
            _ => web::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

fn list<'a>(body: &'a Value, name: &str) -> &'a [Value] {
    body[name].as_array().map_or(&[], Vec::as_slice)
}

fn row_name(row: &Value) -> RowName {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(name: &RowName, value: Option<&String>, version: u64) -> Value {
    json!({
        "table": name.0, "part": name.1, "key": name.2,
        "value": value.map_or("", String::as_str), "ver": version, "tombstone": value.is_none(),
    })
}

/// Whether a call reads rows of a part or is a transaction that writes to it.
fn concerns_part(request: &HttpRequest, part: &str) -> bool {
    if request.path != "/-/rows-tx" {
        return request.parameter("part").as_deref() == Some(part);
    }
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    list(&body, "puts").iter().any(|put| put["part"] == part)
}

/// Proxy between one process and the store, which can cut off the process or refuse its calls.
pub struct StoreProxy {
    store: Arc<FakeStore>,
    cut: AtomicBool,
    refuses: AtomicBool,
}

impl StoreProxy {
    /// Creates a proxy that forwards all calls to `store`.
    #[must_use]
    pub fn new(store: Arc<FakeStore>) -> Arc<StoreProxy> {
        Arc::new(StoreProxy {
            store,
            cut: AtomicBool::new(false),
            refuses: AtomicBool::new(false),
        })
    }

    /// Sets whether calls and replies are dropped, so that the process gets no reply.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Sets whether the calls of the process are refused with 503.
    pub fn set_refuses(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::Relaxed);
    }

    async fn wait_if_cut(&self) {
        if self.cut.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

impl Handler for StoreProxy {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        self.wait_if_cut().await;
        if self.refuses.load(Ordering::Relaxed) {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "injected fault");
        }
        let response = self.store.handle(request).await;
        self.wait_if_cut().await;
        response
    }
}
