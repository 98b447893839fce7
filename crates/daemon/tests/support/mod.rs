//! Fixtures of the tests with real processes.
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
use shard::place_shards;

/// The daemon under test.
pub const DAEMON: &str = env!("CARGO_BIN_EXE_clovermountd");

/// Longest wait for a cell to settle.
const SETTLE: Duration = Duration::from_mins(1);

/// A configured cell of `processes` running processes.
pub async fn open_cell(processes: usize) -> Cell {
    let plan = CellPlan {
        processes,
        ..CellPlan::default()
    };
    open_plan(plan).await
}

/// A configured cell whose processes all run.
pub async fn open_plan(plan: CellPlan) -> Cell {
    let mut cell = Cell::open(plan).await.expect("cell");
    for index in 0..cell.members.len() {
        start(&mut cell, index);
    }
    let mut last = String::new();
    for _ in 0..200 {
        match cell.configure().await {
            Ok(()) => {
                cell.wait_ready(SETTLE).await.expect("settled");
                return cell;
            }
            Err(error) => last = error,
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("cell not configured: {last}\n{}", cell.log(0));
}

/// Row of each shard, by its key.
pub fn owners(cell: &Cell) -> HashMap<String, String> {
    let rows = cell.platform.table.rows("cell/shard/");
    rows.into_iter().map(|row| (row.key, row.value)).collect()
}

/// Waits until each shard is with the process that should own it.
///
/// A cell may serve before that: a process that starts first claims more than
/// its part, and passes the rest on, one shard in three seconds. Such a planned
/// hand-over may fall into an outage and be made after it.
pub async fn wait_balanced(cell: &Cell) {
    let names: Vec<String> = (0..cell.members.len())
        .map(|at| format!("entry-{at}"))
        .collect();
    let shards = u16::try_from(owners(cell).len()).expect("shards");
    let wanted: Vec<String> = (0..shards)
        .zip(place_shards(&names, shards))
        .map(|(shard, at)| format!("cell/shard/{shard:04} entry-{at}-"))
        .collect();
    let balanced = || {
        let rows = owners(cell);
        wanted.iter().all(|wanted| {
            let (key, owner) = wanted.split_once(' ').expect("two words");
            rows.get(key).is_some_and(|row| row.contains(owner))
        })
    };
    let looks = async {
        while !balanced() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let balanced = tokio::time::timeout(Duration::from_mins(1), looks).await;
    assert!(balanced.is_ok(), "{:#?}", owners(cell));
}

/// Starts one process of a cell.
pub fn start(cell: &mut Cell, index: usize) {
    cell.start(index, Path::new(DAEMON), &[])
        .expect("daemon starts");
}

/// A load of `count` requests at `rate` a second on all processes of a cell.
pub fn plan_for(cell: &Cell, rate: u32, count: u32, request: fn(u32) -> Request) -> LoadPlan {
    LoadPlan {
        rate,
        count,
        request,
        servers: cell.members.iter().map(fake::Member::http).collect(),
        answer_timeout: Duration::from_secs(40),
    }
}

/// No rule is broken by what was answered and what ran so far.
#[track_caller]
pub fn check_rules(cell: &Cell, outcomes: &[Outcome]) {
    let wrong = verify(outcomes, &cell.platform.log.runs(), cell.platform.capacity);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Requests were sent, and each succeeded.
#[track_caller]
pub fn check_all_succeeded(outcomes: &[Outcome]) {
    assert!(!outcomes.is_empty(), "nothing was sent");
    let failed = outcomes
        .iter()
        .filter(|outcome| outcome.family() != Family::Succeeded);
    let failed: Vec<&Outcome> = failed.collect();
    let counts = count_families(outcomes);
    assert!(failed.is_empty(), "{counts:?} {failed:#?}");
}

/// Lookups, confirmations and restocks in turn.
pub fn mixed(number: u32) -> Request {
    match number % 4 {
        0 => confirmation_request(&format!("confirm-{number}")),
        1 => restock_request(&format!("restock-{number}"), Duration::from_millis(300)),
        _ => lookup_request(&format!("lookup-{number}")),
    }
}
