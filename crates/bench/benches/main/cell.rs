//! Starts a cell for a benchmark: real scheduler processes (`cell.members`), on a
//! platform that the crate `fake` simulates in this program. `cell.platform` has the
//! table, the object store, the host list and the workers, and in `log` each run of a
//! task on a worker (the run log).

use std::net::SocketAddr;
use std::time::Duration;

use fake::Cell;
use fake::CellPlan;
use fake::LoadPlan;
use model::Request;

use crate::DAEMON;

/// Number of processes of a cell, the same as in the users' deployments.
const PROCESSES: usize = 8;

/// Maximum time from the configuration of a cell until it is ready.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Starts and configures a cell of 8 processes, 16 shards and 48 workers of 8 slots.
pub(crate) async fn open_cell() -> Cell {
    let plan = CellPlan {
        processes: PROCESSES,
        ..CellPlan::default()
    };
    open_planned_cell(plan).await
}

/// Starts all processes of a planned cell, configures it and waits until it is
/// ready: a lookup in each shard succeeds through each process.
pub(crate) async fn open_planned_cell(plan: CellPlan) -> Cell {
    let mut cell = Cell::open(plan).await.expect("failed to open the cell");
    let program = std::env::current_exe().expect("path of this program is unavailable");
    for index in 0..cell.members.len() {
        cell.start(index, &program, &[DAEMON])
            .expect("failed to start the daemon");
    }
    while cell.configure().await.is_err() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cell.wait_ready(READY_TIMEOUT)
        .await
        .expect("cell was not ready in time");
    cell
}

/// Returns a load of `rate` requests per second, spread over all processes of the
/// cell. `request` creates the request with a given number.
pub(crate) fn load(cell: &Cell, rate: u32, seconds: u32, request: fn(u32) -> Request) -> LoadPlan {
    let servers: Vec<SocketAddr> = cell.members.iter().map(fake::Member::http).collect();
    LoadPlan {
        rate,
        count: rate * seconds,
        request,
        servers,
        answer_timeout: Duration::from_mins(1),
    }
}
