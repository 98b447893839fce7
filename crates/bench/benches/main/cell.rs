//! A cell of real processes for a measurement.

use std::net::SocketAddr;
use std::time::Duration;

use fake::Cell;
use fake::CellPlan;
use fake::LoadPlan;
use model::Request;

use crate::DAEMON;

/// Processes, as the users have today.
const PROCESSES: usize = 8;

/// Longest wait for a cell to settle.
const SETTLE: Duration = Duration::from_mins(1);

/// A configured cell of 8 processes and 48 workers.
pub(crate) async fn open_cell() -> Cell {
    let plan = CellPlan {
        processes: PROCESSES,
        ..CellPlan::default()
    };
    open_plan(plan).await
}

/// A configured cell whose processes all run.
pub(crate) async fn open_plan(plan: CellPlan) -> Cell {
    let mut cell = Cell::open(plan).await.expect("cell");
    let program = std::env::current_exe().expect("own program");
    for index in 0..cell.members.len() {
        cell.start(index, &program, &[DAEMON]).expect("daemon");
    }
    while cell.configure().await.is_err() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cell.wait_ready(SETTLE).await.expect("settled");
    cell
}

/// A load on all processes for some seconds.
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
