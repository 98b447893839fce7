//! `clovermount demo`: an embedded cell, shown at work and under a few
//! troubles. The platform and the workers are stand-ins inside this process;
//! the entry processes are the real ones, run as tasks.

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
use crate::exit::FAULT;
use crate::exit::SUCCESS;
use crate::report::by_class;
use crate::report::print_report;

/// Requests a second of the load.
const RATE: u32 = 300;

/// Requests of the load.
const COUNT: u32 = 4500;

/// Restocks that are withdrawn.
const DAY_RESTOCKS: u32 = 500;

/// Longest wait for the cell to settle.
const SETTLE: Duration = Duration::from_secs(20);

/// run an embedded cell with every class of work and a few troubles, and
/// check what comes out
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// seed of what varies (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let broken = |reason: String| CliError::Demo { reason };
        let plan = CellPlan {
            processes: 4,
            seed: self.seed,
            ..CellPlan::default()
        };
        let cell = Cell::open(plan).await.map_err(|e| broken(e.to_string()))?;
        println!("48 workers in 3 failure domains, table at 300 writes/s and 5 ms");
        let mut processes = Vec::new();
        for member in &cell.members {
            processes.push(Process::open(&member.settings).await?);
            println!(
                "{} serves callers on {}",
                member.settings.name,
                member.http()
            );
        }
        settle(&cell).await.map_err(broken)?;
        println!("all 16 shards are owned and have workers; the load begins");
        let load = start_load(&cell);
        let mut wrong = trouble(&cell, &mut processes).await?;
        let outcomes = load.await.map_err(|e| broken(e.to_string()))?;
        wrong.extend(verify(
            &outcomes,
            &cell.platform.log.runs(),
            cell.platform.capacity,
        ));
        print_results(&cell, &outcomes, &mut wrong);
        for process in processes {
            process.close().await;
        }
        cell.close();
        if wrong.is_empty() {
            println!("every stated outcome holds");
            return Ok(SUCCESS);
        }
        for line in &wrong {
            println!("BROKEN: {line}");
        }
        Ok(FAULT)
    }
}

async fn settle(cell: &Cell) -> Result<(), String> {
    let until = Instant::now() + SETTLE;
    loop {
        match cell.configure().await {
            Ok(()) => break,
            Err(error) if Instant::now() > until => return Err(error),
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    cell.wait_ready_through(&cell.members, SETTLE).await
}

fn start_load(cell: &Cell) -> tokio::task::JoinHandle<Vec<Outcome>> {
    let servers: Vec<SocketAddr> = cell.members.iter().map(fake::Member::http).collect();
    let plan = LoadPlan {
        rate: RATE,
        count: COUNT,
        request: mixed,
        servers,
        answer_timeout: Duration::from_secs(40),
    };
    spawn_load(&cell.caller, plan)
}

/// Every class of work.
fn mixed(number: u32) -> Request {
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

/// A racing patch, a leaving worker, a withdrawn day and a planned stop.
async fn trouble(cell: &Cell, processes: &mut Vec<Process>) -> Result<Vec<String>, CliError> {
    let mut wrong = Vec::new();
    tokio::time::sleep(Duration::from_secs(2)).await;
    wrong.extend(race(cell).await?);
    let leaving = &cell.platform.workers[7].id;
    cell.platform.hosts.mark_leaving(leaving);
    let quiet = cell.platform.log.now() + Duration::from_secs(2);
    println!("worker {leaving} is leaving");
    wrong.extend(withdraw(cell).await?);
    if let Some(process) = processes.pop() {
        println!("{} is stopped as planned", process.address());
        process.close().await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let runs = cell.platform.log.runs();
    let late = runs
        .iter()
        .filter(|run| run.worker == *leaving && run.started_at > quiet)
        .count();
    if late > 0 {
        wrong.push(format!("{late} tasks started on a leaving worker"));
    }
    Ok(wrong)
}

async fn race(cell: &Cell) -> Result<Option<String>, CliError> {
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
    println!("two operators patched version 1: {accepted} accepted");
    Ok((accepted != 1).then(|| format!("{accepted} racing patches were accepted")))
}

async fn withdraw(cell: &Cell) -> Result<Option<String>, CliError> {
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..DAY_RESTOCKS {
        let (client, server) = (cell.caller.clone(), cell.http(0));
        let request = Request {
            label: "day".to_owned(),
            ..restock_request(&format!("day-{number}"), Duration::from_secs(20))
        };
        calls.spawn(async move { client.submit_detached(server, &request).await });
    }
    calls.join_all().await;
    let cancelled = cell.caller.cancel_label(cell.http(1), "day").await?;
    println!("{cancelled} of {DAY_RESTOCKS} restocks cancelled or told to stop by one call");
    let short = cancelled != DAY_RESTOCKS;
    Ok(short.then(|| format!("{cancelled} of {DAY_RESTOCKS} restocks were withdrawn")))
}

fn print_results(cell: &Cell, outcomes: &[Outcome], wrong: &mut Vec<String>) {
    print_report(&by_class(outcomes));
    let failed = outcomes
        .iter()
        .filter(|o| o.family() != Family::Succeeded)
        .count();
    if failed > 0 {
        wrong.push(format!("{failed} requests did not succeed"));
    }
    let counts = cell.platform.table.counts();
    let seconds = cell.platform.log.now().as_secs_f64();
    let rate = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds;
    println!(
        "control cost: {:.1} table writes/s, {:.1} reads/s, {} refused for their rate",
        rate(counts.writes),
        rate(counts.reads),
        counts.refused
    );
    let (used, most) = power(cell);
    println!("power: at most {used} W in use at one time, of {most} W that the workers have");
    println!(
        "checked: no worker over its capacity, no recorded work in two places, at most once \
         for non-idempotent work, every caller its own whole answer, no \"not run\" that ran"
    );
}

/// Most power in use at one time, and all that the workers have.
fn power(cell: &Cell) -> (u64, u64) {
    let mut steps: Vec<(Duration, i64)> = Vec::new();
    for run in cell.platform.log.runs() {
        let watts = i64::from(run.needs.power_watts);
        steps.push((run.started_at, watts));
        steps.extend(run.ended_at.map(|until| (until, -watts)));
    }
    steps.sort();
    let mut used = 0;
    let mut top = 0;
    for (_, watts) in steps {
        used += watts;
        top = top.max(used);
    }
    let workers = u64::try_from(cell.platform.workers.len()).unwrap_or_default();
    let all = u64::from(cell.platform.capacity.power_watts) * workers;
    (u64::try_from(top).unwrap_or_default(), all)
}
