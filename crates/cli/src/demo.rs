//! `clovermount demo`: runs an embedded cell under load and injects a few
//! faults. The platform and the workers are simulated inside this process by the
//! crate `fake`; the entry processes run the production code, as tasks of the async
//! runtime. `cell.members` are the entry processes, and `cell.platform.log` records
//! each run of a task on a simulated worker.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use daemon::Process;
use fake::Cell;
use fake::CellPlan;
use fake::LoadPlan;
use fake::Outcome;
use fake::confirmation_request;
use fake::lookup_request;
use fake::restock_request;
use fake::spawn_load;
use fake::verify;
use model::Class;
use model::Family;
use model::Request;
use model::Resources;
use serde_json::json;
use shard::Patch;

use crate::error::CliError;
use crate::exit::FAILURE;
use crate::exit::SUCCESS;
use crate::report::print_report;
use crate::report::reports_by_class;

/// Rate of the load, in requests per second.
const LOAD_RATE: u32 = 300;

/// Total number of requests of the load.
const LOAD_REQUESTS: u32 = 4500;

/// Number of batch requests (restocks) that are submitted and then cancelled by
/// one call.
const CANCELLED_RESTOCKS: u32 = 500;

/// Time limit for the cell to accept its configuration, and again for all its
/// shards to be served.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// run an embedded cell with requests of every class, inject a few faults and
/// check the results
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// seed for the random faults (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let demo_error = |reason: String| CliError::Demo { reason };
        let plan = CellPlan {
            processes: 4,
            seed: self.seed,
            ..CellPlan::default()
        };
        let cell = Cell::open(plan)
            .await
            .map_err(|e| demo_error(e.to_string()))?;
        println!(
            "simulated: 48 workers in 3 failure domains; table with 300 writes/s and 5 ms per call"
        );
        let mut processes = Vec::new();
        for member in &cell.members {
            processes.push(Process::open(&member.settings).await?);
            println!(
                "{} serves callers on {}",
                member.settings.name,
                member.http()
            );
        }
        prepare_cell(&cell).await.map_err(demo_error)?;
        println!("all 16 shards have an owner and workers; starting the load");
        let load = start_load(&cell);
        let mut violations = inject_faults(&cell, &mut processes).await?;
        let outcomes = load.await.map_err(|e| demo_error(e.to_string()))?;
        violations.extend(verify(
            &outcomes,
            &cell.platform.log.runs(),
            cell.platform.capacity,
        ));
        print_results(&cell, &outcomes, &mut violations);
        for process in processes {
            process.close().await;
        }
        cell.close();
        if violations.is_empty() {
            println!("all checks passed");
            return Ok(SUCCESS);
        }
        for line in &violations {
            println!("BROKEN: {line}");
        }
        Ok(FAILURE)
    }
}

/// Writes the first configuration of the cell and waits until all shards are
/// served.
async fn prepare_cell(cell: &Cell) -> Result<(), String> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        match cell.configure().await {
            Ok(()) => break,
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    cell.wait_ready_through(&cell.members, SETTLE_TIMEOUT).await
}

fn start_load(cell: &Cell) -> tokio::task::JoinHandle<Vec<Outcome>> {
    let servers: Vec<SocketAddr> = cell.members.iter().map(fake::Member::http).collect();
    let plan = LoadPlan {
        rate: LOAD_RATE,
        count: LOAD_REQUESTS,
        request: mixed_request,
        servers,
        answer_timeout: Duration::from_secs(40),
    };
    spawn_load(&cell.caller, plan)
}

/// Creates a request for the load, which mixes all classes of work: restocks (batch
/// requests), confirmations (interactive, not idempotent), lookups (interactive,
/// idempotent), urgent lookups and gangs.
fn mixed_request(number: u32) -> Request {
    match number % 20 {
        0 | 1 => restock_request(&format!("restock-{number}"), Duration::from_millis(800)),
        2..=5 => confirmation_request(&format!("confirm-{number}")),
        6 => Request {
            class: Class::Urgent,
            ..lookup_request(&format!("urgent-{number}"))
        },
        7 if number % 100 == 7 => Request {
            class: Class::Gang,
            members: 4,
            run_millis: 500,
            needs: Resources {
                cpu_milli: 2000,
                power_watts: 60,
                ..Resources::default()
            },
            payload: String::new(),
            ..restock_request(&format!("gang-{number}"), Duration::from_millis(500))
        },
        _ => lookup_request(&format!("lookup-{number}")),
    }
}

/// Sends two conflicting patches, marks a worker as leaving, cancels a batch of
/// requests and stops one process as planned. Returns the violated checks.
async fn inject_faults(cell: &Cell, processes: &mut Vec<Process>) -> Result<Vec<String>, CliError> {
    let mut violations = Vec::new();
    tokio::time::sleep(Duration::from_secs(2)).await;
    violations.extend(race_patches(cell).await?);
    let leaving = &cell.platform.workers[7].id;
    cell.platform.hosts.mark_leaving(leaving);
    // Until the processes have read the changed host list, they may still start
    // tasks on the worker.
    let start_limit = cell.platform.log.now() + Duration::from_secs(2);
    println!("worker {leaving} is marked as leaving in the host list");
    violations.extend(cancel_batch(cell).await?);
    if let Some(process) = processes.pop() {
        println!(
            "planned stop of the process that serves callers on {}",
            process.address()
        );
        process.close().await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let runs = cell.platform.log.runs();
    let late = runs
        .iter()
        .filter(|run| run.worker == *leaving && run.started_at > start_limit)
        .count();
    if late > 0 {
        violations.push(format!(
            "{late} tasks started on a worker more than 2 s after it was marked as leaving"
        ));
    }
    Ok(violations)
}

/// Sends two conflicting patches of version 1 to two processes at the same time.
/// Returns a violation unless exactly one is accepted.
async fn race_patches(cell: &Cell) -> Result<Option<String>, CliError> {
    let patch = |id: &str, percent: u32| Patch {
        id: id.to_owned(),
        version: 1,
        patch: json!({ "pack_percent": percent }),
    };
    let (one, two) = (patch("one", 10), patch("two", 20));
    let (first, second) = tokio::join!(
        cell.operator.patch(cell.http(0), &one),
        cell.operator.patch(cell.http(1), &two)
    );
    let accepted = [first?.status, second?.status]
        .iter()
        .filter(|s| s.is_success())
        .count();
    println!("two conflicting patches of configuration version 1: {accepted} accepted");
    Ok((accepted != 1)
        .then(|| format!("{accepted} of two conflicting patches were accepted, expected one")))
}

/// Submits the restocks and cancels them by their label. Returns a violation unless
/// the call cancelled all of them or asked them to stop.
async fn cancel_batch(cell: &Cell) -> Result<Option<String>, CliError> {
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..CANCELLED_RESTOCKS {
        let (client, server) = (cell.caller.clone(), cell.http(0));
        let request = Request {
            label: "day".to_owned(),
            ..restock_request(&format!("day-{number}"), Duration::from_secs(20))
        };
        calls.spawn(async move { client.submit_detached(server, &request).await });
    }
    calls.join_all().await;
    let cancelled = cell.caller.cancel_label(cell.http(1), "day").await?;
    println!("{cancelled} of {CANCELLED_RESTOCKS} restocks cancelled or asked to stop by one call");
    let incomplete = cancelled != CANCELLED_RESTOCKS;
    Ok(incomplete.then(|| {
        format!(
            "{cancelled} of {CANCELLED_RESTOCKS} restocks cancelled or asked to stop, expected all"
        )
    }))
}

/// Prints the statistics of the load and adds a violation if a request did not
/// succeed.
fn print_results(cell: &Cell, outcomes: &[Outcome], violations: &mut Vec<String>) {
    print_report(&reports_by_class(outcomes));
    let failed = outcomes
        .iter()
        .filter(|o| o.family() != Family::Succeeded)
        .count();
    if failed > 0 {
        violations.push(format!("{failed} requests did not succeed"));
    }
    let counts = cell.platform.table.counts();
    let seconds = cell.platform.log.now().as_secs_f64();
    let rate = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds;
    println!(
        "table load: {:.1} row writes/s, {:.1} reads/s, {} calls refused by the rate limits",
        rate(counts.writes),
        rate(counts.reads),
        counts.refused
    );
    let (peak, capacity_watts) = power_use(cell);
    println!("power: peak use {peak} W of the workers' {capacity_watts} W");
    println!(
        "checks: no worker exceeds its capacity; no gang, batch or non-idempotent request runs \
         twice at the same time; no non-idempotent request runs more than once; every answer is \
         complete and for its own request; no request that was answered \"not run\" has run"
    );
}

/// Returns the peak power of the running tasks and the power capacity of all
/// workers together, in watts.
fn power_use(cell: &Cell) -> (u64, u64) {
    let mut changes: Vec<(Duration, i64)> = Vec::new();
    for run in cell.platform.log.runs() {
        let watts = i64::from(run.needs.power_watts);
        changes.push((run.started_at, watts));
        changes.extend(run.ended_at.map(|ended_at| (ended_at, -watts)));
    }
    // At the same instant, ends sort before starts: their watts are negative.
    changes.sort();
    let mut used = 0;
    let mut peak = 0;
    for (_, watts) in changes {
        used += watts;
        peak = peak.max(used);
    }
    let workers = u64::try_from(cell.platform.workers.len()).unwrap_or_default();
    let capacity = u64::from(cell.platform.capacity.power_watts) * workers;
    (u64::try_from(peak).unwrap_or_default(), capacity)
}
