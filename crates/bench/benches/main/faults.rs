//! `takeover`, `handover`, `pause`, `outage`, `config`, `drain` and
//! `cancelwave`.

use std::time::Duration;
use std::time::Instant;

use fake::Cell;
use fake::CellPlan;
use fake::Outcome;
use fake::confirmation_request;
use fake::lookup_request;
use fake::restock_request;
use fake::spawn_load;
use fake::verify;
use hdrhistogram::Histogram;
use model::Request;
use nix::sys::signal::Signal;
use serde_json::json;
use shard::Patch;
use tokio::task::JoinSet;

use crate::cell::load;
use crate::cell::open_cell;
use crate::cell::open_plan;
use crate::figures::count;
use crate::figures::millis;
use crate::figures::new_histogram;
use crate::figures::print;
use crate::figures::print_families;
use crate::figures::print_quantiles;
use crate::figures::waits;

fn lookups(number: u32) -> Request {
    lookup_request(&format!("lookup-{number}"))
}

fn mixed(number: u32) -> Request {
    match number % 4 {
        0 => confirmation_request(&format!("confirm-{number}")),
        _ => lookups(number),
    }
}

fn violations(name: &str, cell: &Cell, outcomes: &[Outcome]) {
    let wrong = verify(outcomes, &cell.platform.log.runs(), cell.platform.capacity);
    for line in &wrong {
        println!("# {line}");
    }
    print(&format!("{name}.violations"), count(wrong.len()), "count");
}

/// Kills a process; the gap is the longest wait that a request had.
pub(crate) async fn run_takeover() {
    let mut gaps = Vec::new();
    for round in 0..3 {
        let mut cell = open_cell().await;
        let plan = load(&cell, 400, 8, lookups);
        let began = cell.platform.log.now();
        let task = spawn_load(&cell.caller, plan);
        tokio::time::sleep(Duration::from_secs(2)).await;
        cell.members[round].kill();
        let outcomes = task.await.expect("load");
        let all = waits(&outcomes, &cell.platform.log.runs(), began);
        let longest = all.values().map(Histogram::max).max().unwrap_or_default();
        gaps.push(Duration::from_micros(longest));
        violations("takeover", &cell, &outcomes);
        print_families("takeover", &outcomes);
        cell.close();
    }
    gaps.sort();
    print("takeover.gap.median", millis(gaps[1]), "ms");
    print("takeover.gap.max", millis(gaps[2]), "ms");
}

/// A planned stop under load.
pub(crate) async fn run_handover() {
    let mut cell = open_cell().await;
    let plan = load(&cell, 2000, 8, lookups);
    let began = cell.platform.log.now();
    let task = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.members[3].signal(Signal::SIGTERM);
    let stop = Instant::now();
    let ended = cell.members[3].wait_exit(Duration::from_mins(1)).await;
    print("handover.stopped", millis(stop.elapsed()), "ms");
    print(
        "handover.clean",
        count(usize::from(ended == Some(true))),
        "count",
    );
    let outcomes = task.await.expect("load");
    let all = waits(&outcomes, &cell.platform.log.runs(), began);
    for histogram in all.values() {
        print_quantiles("handover.wait", histogram);
    }
    print_families("handover", &outcomes);
    violations("handover", &cell, &outcomes);
    cell.close();
}

/// A pause past the lease, with the state kept and without.
pub(crate) async fn run_pause() {
    for (name, reclaim) in [("pause.reclaim", true), ("pause.drop", false)] {
        for (kind, pause) in [("short", 1900), ("long", 4000)] {
            let mut plan = CellPlan {
                processes: 8,
                ..CellPlan::default()
            };
            plan.lease.reclaim = reclaim;
            let cell = open_plan(plan).await;
            pause_once(
                &format!("{name}.{kind}"),
                &cell,
                Duration::from_millis(pause),
            )
            .await;
            cell.close();
        }
    }
}

async fn pause_once(name: &str, cell: &Cell, pause: Duration) {
    let plan = load(cell, 400, 10, mixed);
    let began = cell.platform.log.now();
    let task = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[1].signal(Signal::SIGSTOP);
    tokio::time::sleep(pause).await;
    cell.members[1].signal(Signal::SIGCONT);
    let outcomes = task.await.expect("load");
    let all = waits(&outcomes, &cell.platform.log.runs(), began);
    for (class, histogram) in &all {
        print_quantiles(&format!("{name}.{class}.wait"), histogram);
    }
    print_families(name, &outcomes);
    violations(name, cell, &outcomes);
}

/// The table is down for 30 s.
pub(crate) async fn run_outage() {
    let cell = open_cell().await;
    let plan = load(&cell, 200, 45, lookups);
    let durable = load(&cell, 50, 45, |number| Request {
        deadline_millis: 5000,
        ..confirmation_request(&format!("confirm-{number}"))
    });
    let lookups = spawn_load(&cell.caller, plan);
    let confirmations = spawn_load(&cell.caller, durable);
    tokio::time::sleep(Duration::from_secs(5)).await;
    cell.platform.set_outage(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let before = cell.platform.table.counts();
    cell.platform.set_outage(false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = cell.platform.table.counts();
    let outcomes = lookups.await.expect("load");
    print_families("outage.lookups", &outcomes);
    violations("outage.lookups", &cell, &outcomes);
    let outcomes = confirmations.await.expect("load");
    print_families("outage.confirmations", &outcomes);
    violations("outage.confirmations", &cell, &outcomes);
    let writes = u32::try_from(after.writes - before.writes).unwrap_or(u32::MAX);
    print("outage.recovery_writes", f64::from(writes) / 3.0, "rows/s");
    let refused = u32::try_from(after.refused - before.refused).unwrap_or(u32::MAX);
    print("outage.recovery_refused", f64::from(refused), "count");
    cell.close();
}

/// From a patch to its version in force on all live processes.
pub(crate) async fn run_config() {
    let cell = open_cell().await;
    let mut version = 1;
    measure_patches("config.alone", &cell, &mut version, 30).await;
    cell.members[5].signal(Signal::SIGSTOP);
    measure_patches("config.paused", &cell, &mut version, 5).await;
    cell.members[5].signal(Signal::SIGCONT);
    cell.close();
}

async fn measure_patches(name: &str, cell: &Cell, version: &mut u64, rounds: u32) {
    let mut times: Histogram<u64> = new_histogram();
    for round in 0..rounds {
        let patch = Patch {
            id: format!("{name}-{round}"),
            version: *version,
            patch: json!({ "pack_percent": round }),
        };
        let start = Instant::now();
        let reply = cell
            .operator
            .patch(cell.http(0), &patch)
            .await
            .expect("reply");
        assert!(reply.status.is_success(), "{}", reply.text());
        *version += 1;
        loop {
            let config = cell.operator.config(cell.http(1)).await;
            if config.is_ok_and(|config| config.everywhere >= *version) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        times.saturating_record(micros);
    }
    print_quantiles(name, &times);
}

/// A worker that leaves under load: when its last task starts.
pub(crate) async fn run_drain() {
    let cell = open_cell().await;
    let plan = load(&cell, 1000, 8, lookups);
    let task = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leaving = cell.platform.workers[9].id.clone();
    let marked = cell.platform.log.now();
    cell.platform.hosts.mark_leaving(&leaving);
    let outcomes = task.await.expect("load");
    let runs = cell.platform.log.runs();
    let last = runs
        .iter()
        .filter(|run| run.worker == leaving)
        .map(|run| run.started_at)
        .max();
    let last = last.unwrap_or_default().saturating_sub(marked);
    print("drain.last_start", millis(last), "ms");
    violations("drain", &cell, &outcomes);
    cell.close();
}

/// 10,000 queued restocks withdrawn by one call.
pub(crate) async fn run_cancel_wave() {
    const RESTOCKS: u32 = 10_000;
    let cell = open_cell().await;
    let mut calls = JoinSet::new();
    for number in 0..RESTOCKS {
        let client = cell.caller.clone();
        let server = cell.http(usize::try_from(number % 8).unwrap_or_default());
        let request = Request {
            label: "day".to_owned(),
            ..restock_request(&format!("day-{number}"), Duration::from_mins(1))
        };
        calls.spawn(async move { client.submit_detached(server, &request).await });
        if number % 500 == 499 {
            while calls.join_next().await.is_some() {}
        }
    }
    let before = cell.platform.table.counts();
    let start = Instant::now();
    let cancelled = cell
        .caller
        .cancel_label(cell.http(0), "day")
        .await
        .expect("cancel");
    print("cancelwave.took", millis(start.elapsed()), "ms");
    let after = cell.platform.table.counts();
    let returned = cell.platform.log.now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    print("cancelwave.cancelled", f64::from(cancelled), "count");
    let writes = u32::try_from(after.writes - before.writes).unwrap_or(u32::MAX);
    print("cancelwave.writes", f64::from(writes), "rows");
    let runs = cell.platform.log.runs();
    let late = runs.iter().filter(|run| run.started_at > returned).count();
    print("cancelwave.started_after", count(late), "count");
    cell.close();
}
