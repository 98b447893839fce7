//! `scale`: what an idle cell costs by number of workers and of processes.

use std::time::Duration;

use fake::CellPlan;
use fake::PlatformPlan;
use fake::TableRates;

use crate::cell::open_plan;
use crate::control::Cost;
use crate::control::measure_idle;
use crate::figures::print;
use crate::slopes::Point;
use crate::slopes::report;

/// Rest before an idle cell is measured.
const REST: Duration = Duration::from_secs(4);

pub(crate) async fn run() {
    let mut costs = Vec::new();
    for workers in [48, 200, 400, 800] {
        costs.push((
            f64::from(workers),
            idle(4, usize::try_from(workers).unwrap_or_default()).await,
        ));
    }
    report_costs("workers_of_4_processes", "worker", &costs);
    let mut costs = Vec::new();
    for processes in [2, 4, 8, 16] {
        let count = usize::try_from(processes).unwrap_or_default();
        costs.push((f64::from(processes), idle(count, 48).await));
    }
    report_costs("processes", "process", &costs);
}

async fn idle(processes: usize, workers: usize) -> Cost {
    let platform = PlatformPlan {
        workers,
        rates: TableRates {
            writes: 1000,
            reads: 10_000,
        },
        ..PlatformPlan::default()
    };
    let plan = CellPlan {
        processes,
        platform,
        ..CellPlan::default()
    };
    let cell = open_plan(plan).await;
    tokio::time::sleep(REST).await;
    let cost = measure_idle(&cell).await;
    cell.close();
    cost
}

/// A part of the cost: its name, its unit, and how it is read.
type Part = (&'static str, &'static str, fn(&Cost) -> f64);

const PARTS: [Part; 5] = [
    ("core", "percent", |cost| cost.core),
    ("memory", "MiB", |cost| cost.memory),
    ("bytes", "B/s", |cost| cost.bytes),
    ("writes", "rows/s", |cost| cost.writes),
    ("reads", "reads/s", |cost| cost.reads),
];

fn report_costs(by: &str, per: &str, costs: &[(f64, Cost)]) {
    for (what, unit, pick) in PARTS {
        let points: Vec<Point> = costs
            .iter()
            .map(|(size, cost)| (*size, pick(cost)))
            .collect();
        report(&format!("idle_{what}_by_{by}"), unit, per, &points);
    }
    print(
        &format!("scale.{by}.sizes"),
        f64::from(u32::try_from(costs.len()).unwrap_or(0)),
        "count",
    );
}
