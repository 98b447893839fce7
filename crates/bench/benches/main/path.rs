//! `path`, `durable` and `spill`: time from sending a request to its start on a
//! worker, in a cell of 8 processes and 48 workers on a simulated platform. `path`
//! sends idempotent requests, `durable` requests whose start is recorded in the
//! platform's table, and `spill` more requests for one shard than its workers can
//! run. The load is open-loop: requests are sent at a fixed rate, whether or not
//! earlier ones have been answered.

use fake::confirmation_request;
use fake::lookup_request;
use fake::run_load;
use fake::verify;
use model::Class;
use model::Request;

use crate::cell::load;
use crate::cell::open_cell;
use crate::figures::count;
use crate::figures::print;
use crate::figures::print_families;
use crate::figures::print_quantiles;
use crate::figures::start_waits;

/// Duration of each load, in seconds.
const SECONDS: u32 = 10;

/// Returns a lookup request; one in 20 is urgent.
fn numbered_lookup(number: u32) -> Request {
    let class = match number % 20 {
        0 => Class::Urgent,
        _ => Class::Interactive,
    };
    Request {
        class,
        ..lookup_request(&format!("lookup-{number}"))
    }
}

/// Returns a confirmation request with its own id.
fn numbered_confirmation(number: u32) -> Request {
    confirmation_request(&format!("confirm-{number}"))
}

/// Measures idempotent requests at increasing rates, in requests per second.
pub(crate) async fn run() {
    for rate in [500, 2000, 4000] {
        measure(&format!("path.{rate}"), rate, numbered_lookup).await;
    }
}

/// Measures non-idempotent requests, whose intents to start are recorded in the
/// platform's table before the start messages are sent to the workers. The rates are
/// in requests per second.
pub(crate) async fn run_durable() {
    for rate in [250, 1000] {
        measure(&format!("durable.{rate}"), rate, numbered_confirmation).await;
    }
}

/// Measures a load whose requests all belong to one shard, which offloads those
/// that its own workers have no capacity for. 60 requests would run at a time
/// (200 per second for 300 ms each); the shard's workers have capacity for 24: its
/// part of 48 workers of 8 slots in a cell of 16 shards.
pub(crate) async fn run_spill() {
    measure("spill.one_shard", 200, |number| Request {
        run_millis: 300,
        // An id that belongs to shard 3 of the 16 shards of the cell.
        ..lookup_request(&fake::id_in_shard(&format!("hot-{number}"), 3, 16))
    })
    .await;
}

/// Opens a cell, runs a load of `rate` requests per second on it and prints the
/// results: waiting times by class, answers by family, violated guarantees of the
/// scheduler, row writes per second until the last answer, and calls that the table
/// refused because of its rate limits. A violation is a fault of the scheduler, for
/// example a non-idempotent request that ran twice.
async fn measure(name: &str, rate: u32, request: fn(u32) -> Request) {
    let cell = open_cell().await;
    let before = cell.platform.table.counts();
    let load_start = cell.platform.log.now();
    // Returns when all requests are answered or timed out.
    let outcomes = run_load(&cell.caller, load(&cell, rate, SECONDS, request)).await;
    let after = cell.platform.table.counts();
    let runs = cell.platform.log.runs();
    let violations = verify(&outcomes, &runs, cell.platform.capacity);
    let mut histograms: Vec<_> = start_waits(&outcomes, &runs, load_start)
        .into_iter()
        .collect();
    histograms.sort_by_key(|(class, _)| *class);
    for (class, histogram) in histograms {
        print_quantiles(&format!("{name}.{class}.wait"), &histogram);
    }
    print_families(name, &outcomes);
    print(
        &format!("{name}.violations"),
        count(violations.len()),
        "count",
    );
    let writes = after.writes - before.writes;
    let seconds = cell
        .platform
        .log
        .now()
        .checked_sub(load_start)
        .unwrap_or_default()
        .as_secs_f64();
    let writes = f64::from(u32::try_from(writes).unwrap_or(u32::MAX));
    print(&format!("{name}.table_writes"), writes / seconds, "rows/s");
    let refused = after.refused - before.refused;
    let refused = f64::from(u32::try_from(refused).unwrap_or(u32::MAX));
    print(&format!("{name}.table_refused"), refused, "count");
    cell.close();
}
