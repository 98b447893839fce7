//! `control`: what one process costs, idle and under load. Processor time and
//! memory come from the system's process table; bytes are those of the table's
//! and the peers' sockets as the system counts them for the loopback.

use std::time::Duration;

use fake::Cell;
use fake::lookup_request;
use fake::run_load;
use model::Request;

use crate::cell::load;
use crate::cell::open_cell;
use crate::figures::print;

/// Length of each measurement.
const SPAN: Duration = Duration::from_secs(10);

/// Ticks of processor time a second, as the system reports them.
const TICKS: f64 = 100.0;

fn lookups(number: u32) -> Request {
    lookup_request(&format!("lookup-{number}"))
}

/// Processor time, in seconds, and memory, in MiB, of a process.
fn cost(id: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    let seconds = (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse::<f64>().ok());
    (seconds, kib.unwrap_or_default() / 1024.0)
}

pub(crate) async fn run() {
    let cell = open_cell().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    measure("control.idle", &cell, 0).await;
    measure("control.2000", &cell, 2000).await;
    cell.close();
}

async fn measure(name: &str, cell: &Cell, rate: u32) {
    let cost = measure_cost(cell, rate).await;
    print(&format!("{name}.core"), cost.core, "percent");
    print(&format!("{name}.memory.max"), cost.memory, "MiB");
    print(&format!("{name}.table_and_peer_bytes"), cost.bytes, "B/s");
    print(&format!("{name}.table_writes"), cost.writes, "rows/s");
    print(&format!("{name}.table_reads"), cost.reads, "reads/s");
}

/// Cost of one process; writes and reads are those of the whole cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// Processor time, in percent of a core; the mean of all processes.
    pub(crate) core: f64,
    /// Resident memory of the largest process, in MiB.
    pub(crate) memory: f64,
    /// Bytes a second to and from table and peers, the mean of all processes.
    pub(crate) bytes: f64,
    /// Rows written a second.
    pub(crate) writes: f64,
    /// Reads a second.
    pub(crate) reads: f64,
}

/// Cost of a process of an idle cell.
pub(crate) async fn measure_idle(cell: &Cell) -> Cost {
    measure_cost(cell, 0).await
}

async fn measure_cost(cell: &Cell, rate: u32) -> Cost {
    let ids: Vec<u32> = cell
        .members
        .iter()
        .filter_map(fake::Member::process_id)
        .collect();
    let before: Vec<(f64, f64)> = ids.iter().map(|id| cost(*id)).collect();
    let bytes = bytes(cell);
    let counts = cell.platform.table.counts();
    if rate == 0 {
        tokio::time::sleep(SPAN).await;
    } else {
        let seconds = u32::try_from(SPAN.as_secs()).unwrap_or_default();
        run_load(&cell.caller, load(cell, rate, seconds, lookups)).await;
    }
    let after = cell.platform.table.counts();
    let processes = f64::from(u32::try_from(ids.len()).unwrap_or_default());
    let span = SPAN.as_secs_f64();
    let per_second =
        |now: u64, then: u64| f64::from(u32::try_from(now - then).unwrap_or(u32::MAX)) / span;
    let mut total = Cost {
        core: 0.0,
        memory: 0.0,
        bytes: per_second(self::bytes(cell), bytes) / processes,
        writes: per_second(after.writes, counts.writes),
        reads: per_second(after.reads, counts.reads),
    };
    for (id, (seconds, _)) in ids.iter().zip(before) {
        let (now, mib) = cost(*id);
        total.core += (now - seconds) / span * 100.0 / processes;
        total.memory = total.memory.max(mib);
    }
    total
}

/// Bytes that the relays in front of table and processes have passed.
fn bytes(cell: &Cell) -> u64 {
    cell.members
        .iter()
        .map(|member| member.table.bytes() + member.peer.bytes())
        .sum()
}
