//! Stand-in of the platform's store, with the limits that the pages set for a call: 100 entries,
//! 1 MB, one part, and the largest value of a row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::Record;

/// `row_bytes` of the settings in DEPLOY.md.
const ROW_BYTES: usize = 65_536;

/// Most entries and bytes of one call, by PROTOCOL.md.
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;

/// Most rows of one reply.
const MAX_ROWS: usize = 500;

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Table, part and key of a row.
type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Base64 value and version of each row.
    live: BTreeMap<Name, (String, u64)>,
    /// Version, row and new value of each change; no value if the row was removed.
    changes: Vec<(u64, Name, Option<String>)>,
    version: u64,
}

/// The store; clones share the rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    origin: Instant,
    record: Record,
}

impl Store {
    /// Serves an empty store on a free port of `ip`.
    pub fn start(ip: std::net::IpAddr, record: &Record) -> std::io::Result<(Store, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Store {
            rows: Arc::default(),
            origin: Instant::now(),
            record: record.clone(),
        };
        let served = store.clone();
        http::serve(listener, move |request| served.answer(request));
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.0.lock().expect("no holder panics")
    }

    /// Writes a row without a part, as the operator or a worker does.
    pub fn write(&self, table: &str, key: &str, value: &Json) {
        let value = encode_base64(value.to_string().as_bytes());
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.lock().apply(vec![(name, Some(value))]);
        self.rows.1.notify_all();
    }

    /// Removes a row without a part.
    pub fn remove(&self, table: &str, key: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.lock().apply(vec![(name, None)]);
        self.rows.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        thread::sleep(CALL_TIME);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transact(&request.body),
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-parts") => self.parts(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => (404, String::new()),
        }
    }

    fn stamp(&self, version: u64) -> [(&'static str, Json); 2] {
        let now = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        [("ver", number(version)), ("now_ms", number(now))]
    }

    fn transact(&self, body: &str) -> Reply {
        let Some(call) = Json::parse(body) else {
            return (400, String::new());
        };
        if let Some(reason) = exceeded_limit(body, &call) {
            self.record
                .line(format!("store: transaction refused with 400: {reason}"));
            return (400, object(&[("reason", text(&reason))]).to_string());
        }
        let mut rows = self.lock();
        for expected in call.list("precondition") {
            let found = rows
                .live
                .get(&name_of(expected))
                .map_or(0, |(_, version)| *version);
            if found != expected.number("ver").unwrap_or(0) {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        let puts = call
            .list("puts")
            .iter()
            .map(|put| (name_of(put), Some(put.text("value"))));
        let removed = call.list("remove").iter().map(|row| (name_of(row), None));
        rows.apply(puts.chain(removed).collect());
        let version = rows.version;
        drop(rows);
        self.rows.1.notify_all();
        (200, object(&self.stamp(version)).to_string())
    }

    fn read(&self, request: &Request) -> Reply {
        let limit = request
            .parameter("limit")
            .parse()
            .unwrap_or(MAX_ROWS)
            .min(MAX_ROWS);
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let rows = self.lock();
        let mut found = rows
            .live
            .range((table.clone(), part.clone(), from)..)
            .filter(|(name, _)| {
                name.0 == table && name.1 == part && (to.is_empty() || name.2 < to)
            });
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (name, (value, version)) in found.by_ref() {
            if page.len() == limit || bytes + value.len() > MAX_CALL_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            page.push(row_json(name, Some(value), *version));
        }
        let [version, now] = self.stamp(rows.version);
        let fields = [
            ("rows", Json::List(page)),
            ("has_more", Json::Bool(more)),
            version,
            now,
        ];
        (200, object(&fields).to_string())
    }

    fn parts(&self, request: &Request) -> Reply {
        let (table, after) = (request.parameter("table"), request.parameter("after"));
        let rows = self.lock();
        let names = rows.live.keys().filter(|name| name.0 == table);
        let parts: BTreeSet<&String> = names.map(|name| &name.1).collect();
        let parts = parts
            .into_iter()
            .filter(|part| after.is_empty() || **part > after);
        let parts = Json::List(parts.map(|part| text(part)).collect());
        let [version, now] = self.stamp(rows.version);
        let fields = [
            ("parts", parts),
            ("has_more", Json::Bool(false)),
            version,
            now,
        ];
        (200, object(&fields).to_string())
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.lock();
        loop {
            let first = rows
                .changes
                .partition_point(|(version, _, _)| *version <= after);
            let changes = rows.changes[first..]
                .iter()
                .filter(|(_, name, _)| name.0 == table);
            let found: Vec<_> = changes.take(MAX_ROWS).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let full = found.len() == MAX_ROWS;
                let last = found.last().map_or(rows.version, |change| change.0);
                let version = if full { last } else { rows.version };
                let page = found
                    .iter()
                    .map(|(version, name, value)| row_json(name, value.as_ref(), *version));
                let page = Json::List(page.collect());
                let [version, now] = self.stamp(version);
                return (200, object(&[("rows", page), version, now]).to_string());
            }
            rows = self
                .rows
                .1
                .wait_timeout(rows, left)
                .expect("no holder panics")
                .0;
        }
    }
}

impl Rows {
    fn apply(&mut self, changes: Vec<(Name, Option<String>)>) {
        self.version += 1;
        for (name, value) in changes {
            match value.clone() {
                Some(value) => self.live.insert(name.clone(), (value, self.version)),
                None => self.live.remove(&name),
            };
            self.changes.push((self.version, name, value));
        }
    }
}

/// Returns the limit of the pages that a transaction exceeds, if there is one.
fn exceeded_limit(body: &str, call: &Json) -> Option<String> {
    let kinds = ["precondition", "puts", "remove"];
    let entries: Vec<&Json> = kinds.iter().flat_map(|kind| call.list(kind)).collect();
    if entries.len() > MAX_ENTRIES {
        return Some(format!("{} entries, allowed: {MAX_ENTRIES}", entries.len()));
    }
    if body.len() > MAX_CALL_BYTES {
        return Some(format!("{} bytes, allowed: {MAX_CALL_BYTES}", body.len()));
    }
    if entries
        .iter()
        .any(|entry| entry.text("part") != entries[0].text("part"))
    {
        return Some("rows of several parts".to_owned());
    }
    call.list("puts").iter().find_map(|put| {
        let value = put.text("value");
        let padding = value.bytes().rev().take_while(|byte| *byte == b'=').count();
        let size = value.len() / 4 * 3 - padding;
        let name = format!("{}/{}", put.text("table"), put.text("key"));
        (size > ROW_BYTES).then(|| format!("row {name} of {size} bytes, allowed: {ROW_BYTES}"))
    })
}

fn name_of(entry: &Json) -> Name {
    (entry.text("table"), entry.text("part"), entry.text("key"))
}

fn row_json(name: &Name, value: Option<&String>, version: u64) -> Json {
    let mut fields = vec![
        ("table", text(&name.0)),
        ("part", text(&name.1)),
        ("key", text(&name.2)),
        ("ver", number(version)),
    ];
    match value {
        Some(value) => fields.push(("value", text(value))),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    object(&fields)
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = (group >> (18 - 6 * at)) & 63;
            let padding = at > chunk.len();
            out.push(if padding {
                '='
            } else {
                char::from(DIGITS[digit as usize])
            });
        }
    }
    out
}
