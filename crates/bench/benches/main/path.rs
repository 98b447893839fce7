//! `path` and `durable`: waiting from request to start under an open-loop
//! load through 8 processes and 48 workers.

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
use crate::figures::waits;

/// Seconds of each load.
const SECONDS: u32 = 10;

fn lookups(number: u32) -> Request {
    let class = match number % 20 {
        0 => Class::Urgent,
        _ => Class::Interactive,
    };
    Request {
        class,
        ..lookup_request(&format!("lookup-{number}"))
    }
}

fn confirmations(number: u32) -> Request {
    confirmation_request(&format!("confirm-{number}"))
}

/// Idempotent interactive work at growing rates.
pub(crate) async fn run() {
    for rate in [500, 2000, 4000] {
        measure(&format!("path.{rate}"), rate, lookups).await;
    }
}

/// Non-idempotent work, each start recorded first.
pub(crate) async fn run_durable() {
    for rate in [250, 1000] {
        measure(&format!("durable.{rate}"), rate, confirmations).await;
    }
}

/// All requests belong to one shard, which has room for 24 of the 60 that run
/// at a time.
pub(crate) async fn run_spill() {
    measure("spill.one_shard", 200, |number| Request {
        run_millis: 300,
        ..lookup_request(&fake::id_in_shard(&format!("hot-{number}"), 3, 16))
    })
    .await;
}

async fn measure(name: &str, rate: u32, request: fn(u32) -> Request) {
    let cell = open_cell().await;
    let before = cell.platform.table.counts();
    let began = cell.platform.log.now();
    let outcomes = run_load(&cell.caller, load(&cell, rate, SECONDS, request)).await;
    let after = cell.platform.table.counts();
    let runs = cell.platform.log.runs();
    let wrong = verify(&outcomes, &runs, cell.platform.capacity);
    let mut classes: Vec<_> = waits(&outcomes, &runs, began).into_iter().collect();
    classes.sort_by_key(|(class, _)| *class);
    for (class, histogram) in classes {
        print_quantiles(&format!("{name}.{class}.wait"), &histogram);
    }
    print_families(name, &outcomes);
    print(&format!("{name}.violations"), count(wrong.len()), "count");
    let writes = after.writes - before.writes;
    let seconds = cell
        .platform
        .log
        .now()
        .checked_sub(began)
        .unwrap_or_default()
        .as_secs_f64();
    let writes = f64::from(u32::try_from(writes).unwrap_or(u32::MAX));
    print(&format!("{name}.table_writes"), writes / seconds, "rows/s");
    let refused = after.refused - before.refused;
    let refused = f64::from(u32::try_from(refused).unwrap_or(u32::MAX));
    print(&format!("{name}.table_refused"), refused, "count");
    cell.close();
}
