//! Benchmarks of faults and operator actions: `takeover`, `handover`, `pause`,
//! `outage`, `config`, `drain` and `cancelwave`.

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
use crate::cell::open_planned_cell;
use crate::figures::count;
use crate::figures::millis;
use crate::figures::new_histogram;
use crate::figures::print;
use crate::figures::print_families;
use crate::figures::print_quantiles;
use crate::figures::start_waits;

/// Returns a lookup request with its own id.
fn numbered_lookup(number: u32) -> Request {
    lookup_request(&format!("lookup-{number}"))
}

/// Returns a confirmation for every fourth number and a lookup for the others.
fn mixed_request(number: u32) -> Request {
    match number % 4 {
        0 => confirmation_request(&format!("confirm-{number}")),
        _ => numbered_lookup(number),
    }
}

/// Verifies the outcomes of the requests against the log of all runs on the simulated
/// workers, and prints each violated guarantee of the scheduler, for example a
/// non-idempotent request that ran twice, and the number of violations.
fn print_violations(name: &str, cell: &Cell, outcomes: &[Outcome]) {
    let violations = verify(outcomes, &cell.platform.log.runs(), cell.platform.capacity);
    for line in &violations {
        println!("# {line}");
    }
    print(
        &format!("{name}.violations"),
        count(violations.len()),
        "count",
    );
}

/// Kills a process under load, in three rounds. The printed gaps are the longest
/// times from sending a request to its start.
pub(crate) async fn run_takeover() {
    let mut gaps = Vec::new();
    for round in 0..3 {
        let mut cell = open_cell().await;
        let plan = load(&cell, 400, 8, numbered_lookup);
        let load_start = cell.platform.log.now();
        let load_task = spawn_load(&cell.caller, plan);
        tokio::time::sleep(Duration::from_secs(2)).await;
        cell.members[round].kill();
        let outcomes = load_task.await.expect("load task panicked");
        let histograms = start_waits(&outcomes, &cell.platform.log.runs(), load_start);
        let longest = histograms
            .values()
            .map(Histogram::max)
            .max()
            .unwrap_or_default();
        gaps.push(Duration::from_micros(longest));
        print_violations("takeover", &cell, &outcomes);
        print_families("takeover", &outcomes);
        cell.close();
    }
    gaps.sort();
    print("takeover.gap.median", millis(gaps[1]), "ms");
    print("takeover.gap.max", millis(gaps[2]), "ms");
}

/// Stops a process under load with SIGTERM, so that it makes other processes the
/// owners of its shards before it ends.
pub(crate) async fn run_handover() {
    let mut cell = open_cell().await;
    let plan = load(&cell, 2000, 8, numbered_lookup);
    let load_start = cell.platform.log.now();
    let load_task = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.members[3].signal(Signal::SIGTERM);
    let stop = Instant::now();
    let ended = cell.members[3].wait_exit(Duration::from_mins(1)).await;
    print("handover.stopped", millis(stop.elapsed()), "ms");
    // 1 if the process exited with success, 0 if with an error or not at all.
    print(
        "handover.clean",
        count(usize::from(ended == Some(true))),
        "count",
    );
    let outcomes = load_task.await.expect("load task panicked");
    let histograms = start_waits(&outcomes, &cell.platform.log.runs(), load_start);
    for histogram in histograms.values() {
        print_quantiles("handover.wait", histogram);
    }
    print_families("handover", &outcomes);
    print_violations("handover", &cell, &outcomes);
    cell.close();
}

/// Pauses a process under load, with and without the setting that lets it keep its
/// shards after its lease has expired. The short pause is longer than the time for
/// which the process may act on its lease, but shorter than the time after which
/// another process takes over its shards; the long pause exceeds both.
pub(crate) async fn run_pause() {
    for (name, reclaim) in [("pause.reclaim", true), ("pause.drop", false)] {
        for (kind, pause) in [("short", 1900), ("long", 4000)] {
            let mut plan = CellPlan {
                processes: 8,
                ..CellPlan::default()
            };
            plan.lease.reclaim = reclaim;
            let cell = open_planned_cell(plan).await;
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

/// Pauses a process of an open cell under load and prints the results.
async fn pause_once(name: &str, cell: &Cell, pause: Duration) {
    let plan = load(cell, 400, 10, mixed_request);
    let load_start = cell.platform.log.now();
    let load_task = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[1].signal(Signal::SIGSTOP);
    tokio::time::sleep(pause).await;
    cell.members[1].signal(Signal::SIGCONT);
    let outcomes = load_task.await.expect("load task panicked");
    let histograms = start_waits(&outcomes, &cell.platform.log.runs(), load_start);
    for (class, histogram) in &histograms {
        print_quantiles(&format!("{name}.{class}.wait"), histogram);
    }
    print_families(name, &outcomes);
    print_violations(name, cell, &outcomes);
}

/// Makes the table unavailable for 30 s under a load of idempotent lookups and of
/// confirmations, which need the table; measures the table's load in the 3 s after
/// the outage.
pub(crate) async fn run_outage() {
    let cell = open_cell().await;
    let plan = load(&cell, 200, 45, numbered_lookup);
    let confirmation_plan = load(&cell, 50, 45, |number| Request {
        deadline_millis: 5000,
        ..confirmation_request(&format!("confirm-{number}"))
    });
    let lookup_load = spawn_load(&cell.caller, plan);
    let confirmation_load = spawn_load(&cell.caller, confirmation_plan);
    tokio::time::sleep(Duration::from_secs(5)).await;
    cell.platform.set_outage(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let before = cell.platform.table.counts();
    cell.platform.set_outage(false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = cell.platform.table.counts();
    let outcomes = lookup_load.await.expect("load task panicked");
    print_families("outage.lookups", &outcomes);
    print_violations("outage.lookups", &cell, &outcomes);
    let outcomes = confirmation_load.await.expect("load task panicked");
    print_families("outage.confirmations", &outcomes);
    print_violations("outage.confirmations", &cell, &outcomes);
    let writes = u32::try_from(after.writes - before.writes).unwrap_or(u32::MAX);
    print("outage.recovery_writes", f64::from(writes) / 3.0, "rows/s");
    let refused = u32::try_from(after.refused - before.refused).unwrap_or(u32::MAX);
    print("outage.recovery_refused", f64::from(refused), "count");
    cell.close();
}

/// Measures the time from sending a configuration patch until all processes whose
/// lease has not expired apply it, with all processes running and with one paused.
pub(crate) async fn run_config() {
    let cell = open_cell().await;
    let mut version = 1;
    measure_patches("config.alone", &cell, &mut version, 30).await;
    cell.members[5].signal(Signal::SIGSTOP);
    measure_patches("config.paused", &cell, &mut version, 5).await;
    cell.members[5].signal(Signal::SIGCONT);
    cell.close();
}

/// Sends patches one after another, and prints the quantiles of the times until
/// all live processes apply them. `version` is the current configuration version.
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
            .expect("patch call got no reply");
        assert!(reply.status.is_success(), "{}", reply.text());
        *version += 1;
        loop {
            let config = cell.operator.config(cell.http(1)).await;
            // `everywhere` is the oldest version still in force in a process.
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

/// Marks a worker as leaving under load, and measures how long after that its last
/// task starts.
pub(crate) async fn run_drain() {
    let cell = open_cell().await;
    let plan = load(&cell, 1000, 8, numbered_lookup);
    let load_task = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let drained = cell.platform.workers[9].id.clone();
    let drain_start = cell.platform.log.now();
    cell.platform.hosts.mark_leaving(&drained);
    let outcomes = load_task.await.expect("load task panicked");
    let runs = cell.platform.log.runs();
    let last_start = runs
        .iter()
        .filter(|run| run.worker == drained)
        .map(|run| run.started_at)
        .max();
    let last_start = last_start.unwrap_or_default().saturating_sub(drain_start);
    print("drain.last_start", millis(last_start), "ms");
    print_violations("drain", &cell, &outcomes);
    cell.close();
}

/// Cancels 10,000 restocks (batch requests) with one call, and prints how long the
/// call takes, how many table rows it writes, and how many tasks start after it has
/// returned.
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
        .expect("cancel call failed");
    print("cancelwave.took", millis(start.elapsed()), "ms");
    let after = cell.platform.table.counts();
    let returned = cell.platform.log.now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    print("cancelwave.cancelled", f64::from(cancelled), "count");
    let writes = u32::try_from(after.writes - before.writes).unwrap_or(u32::MAX);
    print("cancelwave.writes", f64::from(writes), "rows");
    let runs = cell.platform.log.runs();
    let started_after = runs.iter().filter(|run| run.started_at > returned).count();
    print("cancelwave.started_after", count(started_after), "count");
    cell.close();
}
