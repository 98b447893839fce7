//! `scale`: resource usage of an idle cell by number of workers and of processes.

use std::time::Duration;

use fake::CellPlan;
use fake::PlatformPlan;
use fake::TableRates;

use crate::cell::open_planned_cell;
use crate::control::Usage;
use crate::control::measure_idle;
use crate::figures::print;
use crate::slopes::Point;
use crate::slopes::report;

/// Time from when a cell is ready until it is measured, in which the work that
/// follows its start ends.
const IDLE_DELAY: Duration = Duration::from_secs(4);

/// Measures idle cells by number of workers, then by number of processes.
pub(crate) async fn run() {
    let mut usages = Vec::new();
    for workers in [48, 200, 400, 800] {
        usages.push((
            f64::from(workers),
            measure_idle_cell(4, usize::try_from(workers).unwrap_or_default()).await,
        ));
    }
    report_usages("workers_of_4_processes", "worker", &usages);
    let mut usages = Vec::new();
    for processes in [2, 4, 8, 16] {
        let count = usize::try_from(processes).unwrap_or_default();
        usages.push((f64::from(processes), measure_idle_cell(count, 48).await));
    }
    report_usages("processes", "process", &usages);
}

/// Measures the resource usage of a process of an idle cell of the given size.
async fn measure_idle_cell(processes: usize, workers: usize) -> Usage {
    let platform = PlatformPlan {
        workers,
        // Row writes and reads per second that the table accepts.
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
    let cell = open_planned_cell(plan).await;
    tokio::time::sleep(IDLE_DELAY).await;
    let usage = measure_idle(&cell).await;
    cell.close();
    usage
}

/// A printed value of the resource usage: its name, its unit and its accessor.
type Figure = (&'static str, &'static str, fn(&Usage) -> f64);

const FIGURES: [Figure; 5] = [
    ("core", "percent", |usage| usage.core),
    ("memory", "MiB", |usage| usage.memory),
    ("bytes", "B/s", |usage| usage.bytes),
    ("writes", "rows/s", |usage| usage.writes),
    ("reads", "reads/s", |usage| usage.reads),
];

/// Prints each value of the resource usage by cell size, with the line fitted
/// through the values.
fn report_usages(size_name: &str, size_unit: &str, usages: &[(f64, Usage)]) {
    for (figure, unit, value) in FIGURES {
        let points: Vec<Point> = usages
            .iter()
            .map(|(size, usage)| (*size, value(usage)))
            .collect();
        report(
            &format!("idle_{figure}_by_{size_name}"),
            unit,
            size_unit,
            &points,
        );
    }
    print(
        &format!("scale.{size_name}.sizes"),
        f64::from(u32::try_from(usages.len()).unwrap_or(0)),
        "count",
    );
}
