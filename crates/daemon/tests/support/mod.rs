//! Fixtures for tests that run real `clovermountd` processes.
#![allow(dead_code)]

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use fake::Cell;
use fake::CellPlan;
use fake::LoadPlan;
use fake::Outcome;
use fake::confirmation_request;
use fake::count_families;
use fake::lookup_request;
use fake::restock_request;
use fake::verify;
use model::Family;
use model::Request;
use shard::Batch;
use shard::Record;
use shard::decode_row;
use shard::place_shards;
use store::RowVersion;

/// Path of the daemon under test.
pub const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_clovermountd");

/// Timeout until each shard of a new cell has an owner and workers.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Starts a cell of `processes` processes and waits until it is configured and each shard is
/// served.
pub async fn open_cell(processes: usize) -> Cell {
    let plan = CellPlan {
        processes,
        ..CellPlan::default()
    };
    open_cell_with(plan).await
}

/// Starts a cell from a plan and waits until it is configured and each shard is served.
pub async fn open_cell_with(plan: CellPlan) -> Cell {
    let mut cell = Cell::open(plan).await.expect("cell");
    for index in 0..cell.members.len() {
        start(&mut cell, index);
    }
    // Tries for at least 20 s, since a process accepts no patch until it has started.
    let mut last_error = String::new();
    for _ in 0..200 {
        match cell.configure().await {
            Ok(()) => {
                cell.wait_ready(READY_TIMEOUT).await.expect("a ready cell");
                return cell;
            }
            Err(error) => last_error = error,
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("cell not configured: {last_error}\n{}", cell.log(0));
}

/// The table row of each shard, by key; the row names the shard's owner.
pub fn shard_rows(cell: &Cell) -> HashMap<String, String> {
    let rows = cell.platform.table.rows("cell/shard/");
    rows.into_iter().map(|row| (row.key, row.value)).collect()
}

/// A row of a shard's journal.
pub struct JournalRow {
    /// Prefix of the keys of the shard's journal.
    pub shard: String,
    /// Version of the row in the table.
    pub version: RowVersion,
    /// Records of the row.
    pub records: Vec<Record>,
}

/// The journal rows of all shards.
pub fn journal_rows(cell: &Cell) -> Vec<JournalRow> {
    let rows = cell.platform.table.rows("journal/");
    let decoded = rows.into_iter().map(|row| {
        let (shard, _) = row.key.rsplit_once('/').expect("a journal key");
        JournalRow {
            shard: shard.to_owned(),
            version: row.version,
            records: decode_row::<Batch>(&row).expect("a batch").records,
        }
    });
    decoded.collect()
}

/// Version of the row that was written last.
pub fn newest_version(cell: &Cell) -> RowVersion {
    let rows = cell.platform.table.rows("");
    rows.iter().map(|row| row.version).max().unwrap_or_default()
}

/// Waits until each shard is owned by the process that shard placement assigns it to.
///
/// A cell is ready before that: the process that starts first claims more shards than are
/// assigned to it, and hands the others over at a rate of one in three seconds. Without this
/// wait, a test of an outage could find hand-overs that have nothing to do with the outage.
pub async fn wait_balanced(cell: &Cell) {
    let names: Vec<String> = (0..cell.members.len())
        .map(|member| format!("entry-{member}"))
        .collect();
    let shards = u16::try_from(shard_rows(cell).len()).expect("shards");
    let expected: Vec<String> = (0..shards)
        .zip(place_shards(&names, shards))
        .map(|(shard, member)| format!("cell/shard/{shard:04} entry-{member}-"))
        .collect();
    let balanced = || {
        let rows = shard_rows(cell);
        expected.iter().all(|expected| {
            let (key, owner) = expected.split_once(' ').expect("two words");
            rows.get(key).is_some_and(|row| row.contains(owner))
        })
    };
    let polling = async {
        while !balanced() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let balanced = tokio::time::timeout(Duration::from_mins(1), polling).await;
    assert!(balanced.is_ok(), "{:#?}", shard_rows(cell));
}

/// Starts the process with this index.
pub fn start(cell: &mut Cell, index: usize) {
    cell.start(index, Path::new(DAEMON_PATH), &[])
        .expect("daemon starts");
}

/// A load of `count` requests, `rate` per second, spread over all processes of a cell. `request`
/// creates the request with a sequence number.
pub fn load_plan(cell: &Cell, rate: u32, count: u32, request: fn(u32) -> Request) -> LoadPlan {
    LoadPlan {
        rate,
        count,
        request,
        servers: cell.members.iter().map(fake::Member::http).collect(),
        answer_timeout: Duration::from_secs(40),
    }
}

/// Asserts that the answers and the runs so far violate none of the guarantees that
/// [`fake::verify`] checks.
#[track_caller]
pub fn assert_no_violations(cell: &Cell, outcomes: &[Outcome]) {
    let violations = verify(outcomes, &cell.platform.log.runs(), cell.platform.capacity);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Asserts that requests were sent and that each succeeded.
#[track_caller]
pub fn assert_all_succeeded(outcomes: &[Outcome]) {
    assert!(!outcomes.is_empty(), "nothing was sent");
    let failed = outcomes
        .iter()
        .filter(|outcome| outcome.family() != Family::Succeeded);
    let failed: Vec<&Outcome> = failed.collect();
    let counts = count_families(outcomes);
    assert!(failed.is_empty(), "{counts:?} {failed:#?}");
}

/// Request with this number: one in four is a confirmation, one a restock, and two are lookups.
pub fn mixed_request(number: u32) -> Request {
    match number % 4 {
        0 => confirmation_request(&format!("confirm-{number}")),
        1 => restock_request(&format!("restock-{number}"), Duration::from_millis(300)),
        _ => lookup_request(&format!("lookup-{number}")),
    }
}
