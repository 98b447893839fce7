//! `slopes`: how time or size of an operation grows with the number of workers,
//! requests, records, teams or processes. Each is measured at four sizes or more,
//! and a line is fitted through the results.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use model::Config;
use model::Request;
use model::Resources;
use model::Team;
use model::VersionedConfig;
use sched::Weighted;
use shard::Accepted;
use shard::Ledger;
use shard::Machine;
use shard::MachineParams;
use shard::Record;
use shard::Times;
use shard::place_shards;
use shard::shard_grants;

use crate::decide;
use crate::figures::count;
use crate::figures::print;

/// Result of a measurement: the input size and the cost at this size.
pub(crate) type Point = (f64, f64);

/// Fits a least-squares line through the points. Returns its intercept, its slope,
/// and the largest distance of a cost from it in percent of the largest cost.
fn fit(points: &[Point]) -> (f64, f64, f64) {
    let number = count(points.len());
    let mean = |coordinate: fn(&Point) -> f64| points.iter().map(coordinate).sum::<f64>() / number;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let cross_sum: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let square_sum: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = cross_sum / square_sum;
    let intercept = mean_y - slope * mean_x;
    let error = |p: &Point| (p.1 - intercept - slope * p.0).abs();
    let worst = points.iter().map(error).fold(0.0, f64::max);
    let highest = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
    (intercept, slope, worst * 100.0 / highest)
}

/// Prints the points, the line fitted through them and its error. The costs are in
/// `unit`, the sizes are numbers of `per`.
pub(crate) fn report(name: &str, unit: &str, per: &str, points: &[Point]) {
    for (size, cost) in points {
        print(&format!("slopes.{name}.at{size}"), *cost, unit);
    }
    let (intercept, slope, error) = fit(points);
    println!("slopes.{name}.base {intercept:.6} {unit}");
    println!("slopes.{name}.slope {slope:.6} {unit}/{per}");
    print(&format!("slopes.{name}.error"), error, "percent");
}

/// Runs `work` as often as `rounds` says and returns its shortest time in
/// microseconds.
fn best_micros(rounds: u32, mut work: impl FnMut()) -> f64 {
    let mut best = Duration::MAX;
    for _ in 0..rounds {
        let start = Instant::now();
        work();
        best = best.min(start.elapsed());
    }
    best.as_secs_f64() * 1e6
}

/// Measures the time of a decision by number of workers, and everything else that
/// this benchmark covers.
pub(crate) fn run() {
    let sizes = [48, 106, 212, 425, 850, 1700, 3400];
    let points: Vec<Point> = sizes
        .iter()
        .map(|workers| {
            // 3.5 running tasks per worker. `pack_percent` 0 places tasks on the least
            // loaded workers.
            let weighted = Weighted { pack_percent: 0 };
            let (rate, _) = decide::measure(weighted, *workers, workers * 7 / 2, 20_000);
            (count(*workers), 1e6 / rate)
        })
        .collect();
    report("decision_by_workers", "us", "worker", &points);
    measure_recovery();
    measure_journal();
    measure_config();
    measure_placement();
}

/// Returns the journal records of as many accepted requests as given. The journal is
/// the log in the platform's table in which the owner of a shard records its
/// decisions.
fn records(requests: u32) -> Vec<Record> {
    let request = |number: u32| Request {
        team: "stores".to_owned(),
        ..fake::restock_request(&format!("restock-{number}"), Duration::from_secs(1))
    };
    let accept = |number| {
        Record::Accept(Accepted {
            request: request(number),
            until_millis: u64::MAX,
        })
    };
    (0..requests).map(accept).collect()
}

/// Measures how long a new owner takes to rebuild the state of a shard from the
/// journal records that it has read, by number of requests. The `Ledger`
/// contains the requests of a shard, and the `Machine` is the state machine that
/// decides on them.
fn measure_recovery() {
    let points: Vec<Point> = [500, 2000, 8000, 32_000]
        .iter()
        .map(|requests| {
            let records = records(*requests);
            let cost = best_micros(3, || {
                let mut ledger = Ledger::default();
                for record in &records {
                    ledger.replay(record, Times::default());
                }
                let params = MachineParams {
                    shard: 0,
                    shards: 1,
                    epoch: 2,
                    takeover_millis: 1,
                    retention: Duration::from_mins(10),
                    claim_deadline: Duration::from_secs(20),
                };
                let machine = Machine::new(params, ledger, config(1), Times::default());
                assert!(!machine.ledger().is_empty());
            });
            (f64::from(*requests), cost)
        })
        .collect();
    report("recovery_by_requests", "us", "request", &points);
}

/// Measures the encoded size of a journal batch in bytes, by number of records.
fn measure_journal() {
    let points: Vec<Point> = [1, 10, 100, 1000]
        .iter()
        .map(|requests| {
            let encoded = shard::encode_row(&records(*requests));
            (f64::from(*requests), count(encoded.len()))
        })
        .collect();
    report("journal_bytes_by_records", "B", "record", &points);
}

/// Returns a configuration with the given number of teams.
fn config(teams: u32) -> Arc<VersionedConfig> {
    let mut config = Config::default();
    let quota = Resources {
        cpu_milli: 1_000_000,
        memory_mib: 1_000_000,
        accelerators: 100,
        slots: 100_000,
        power_watts: 1_000_000,
    };
    for team in 0..teams {
        let name = match team {
            0 => "stores".to_owned(),
            _ => format!("team-{team}"),
        };
        let queue = 100_000;
        let span = 16;
        config.teams.insert(name, Team { quota, span, queue });
    }
    Arc::new(VersionedConfig {
        version: 1,
        patch_id: "first".to_owned(),
        config,
    })
}

/// Measures the encoded size of a configuration in bytes, and the time to compute
/// the grants of one shard (its part of each limit) from it, by number of teams.
fn measure_config() {
    let teams = [10, 20, 40, 81, 160];
    let bytes: Vec<Point> = teams
        .iter()
        .map(|number| {
            (
                f64::from(*number),
                count(shard::encode_row(&*config(*number)).len()),
            )
        })
        .collect();
    report("config_bytes_by_teams", "B", "team", &bytes);
    let costs: Vec<Point> = teams
        .iter()
        .map(|number| {
            let versioned = config(*number);
            let cost = best_micros(20, || {
                assert!(!shard_grants(&versioned.config, 0, 16).teams.is_empty());
            });
            (f64::from(*number), cost)
        })
        .collect();
    report("config_cost_by_teams", "us", "team", &costs);
}

/// Measures the time to compute the owners of 64 shards, by number of processes.
fn measure_placement() {
    let points: Vec<Point> = [8usize, 16, 32, 64]
        .iter()
        .map(|processes| {
            let names: Vec<String> = (0..*processes).map(|index| format!("p{index}")).collect();
            let cost = best_micros(20, || assert_eq!(place_shards(&names, 64).len(), 64));
            (count(*processes), cost)
        })
        .collect();
    report("placement_by_processes", "us", "process", &points);
}
