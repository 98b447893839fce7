//! `control`: resource usage of one process of a cell, idle and under load.
//! Processor time and memory are read from `/proc`. The bytes sent and received are
//! counted by the relays through which the processes reach the platform's table and
//! each other.

use std::time::Duration;

use fake::Cell;
use fake::lookup_request;
use fake::run_load;
use model::Request;

use crate::cell::load;
use crate::cell::open_cell;
use crate::figures::print;

/// Duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Number of clock ticks per second; `/proc` reports processor time in ticks.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns a lookup request with its own id.
fn numbered_lookup(number: u32) -> Request {
    lookup_request(&format!("lookup-{number}"))
}

/// Returns the processor time in seconds and the resident memory in MiB of the
/// process with the given id; zero if they cannot be read.
fn usage(id: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    // Counted after the name of the program, field 11 is the processor time in user
    // mode and field 12 that in kernel mode.
    let seconds =
        (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS_PER_SECOND;
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

/// Measures an idle cell, and the same cell under load.
pub(crate) async fn run() {
    let cell = open_cell().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    measure("control.idle", &cell, 0).await;
    measure("control.2000", &cell, 2000).await;
    cell.close();
}

/// Measures an open cell under a load of `rate` requests per second, or an idle
/// one if `rate` is 0, and prints the results.
async fn measure(name: &str, cell: &Cell, rate: u32) {
    let usage = measure_usage(cell, rate).await;
    print(&format!("{name}.core"), usage.core, "percent");
    print(&format!("{name}.memory.max"), usage.memory, "MiB");
    print(&format!("{name}.table_and_peer_bytes"), usage.bytes, "B/s");
    print(&format!("{name}.table_writes"), usage.writes, "rows/s");
    print(&format!("{name}.table_reads"), usage.reads, "reads/s");
}

/// Resource usage of one process of a cell; writes and reads of the table are those
/// of the whole cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Processor time in percent of a core, the mean of all processes.
    pub(crate) core: f64,
    /// Resident memory of the largest process, in MiB.
    pub(crate) memory: f64,
    /// Bytes per second to and from the table and the peers, the mean of all
    /// processes.
    pub(crate) bytes: f64,
    /// Rows of the table written per second.
    pub(crate) writes: f64,
    /// Reads of the table per second.
    pub(crate) reads: f64,
}

/// Measures the resource usage of a process while the cell gets no requests.
pub(crate) async fn measure_idle(cell: &Cell) -> Usage {
    measure_usage(cell, 0).await
}

/// Measures the resource usage of a process under a load of `rate` requests per
/// second.
async fn measure_usage(cell: &Cell, rate: u32) -> Usage {
    let ids: Vec<u32> = cell
        .members
        .iter()
        .filter_map(fake::Member::process_id)
        .collect();
    let usage_before: Vec<(f64, f64)> = ids.iter().map(|id| usage(*id)).collect();
    let bytes_before = bytes(cell);
    let table_before = cell.platform.table.counts();
    if rate == 0 {
        tokio::time::sleep(MEASURE_TIME).await;
    } else {
        let seconds = u32::try_from(MEASURE_TIME.as_secs()).unwrap_or_default();
        run_load(&cell.caller, load(cell, rate, seconds, numbered_lookup)).await;
    }
    let table_after = cell.platform.table.counts();
    let processes = f64::from(u32::try_from(ids.len()).unwrap_or_default());
    let span = MEASURE_TIME.as_secs_f64();
    let per_second =
        |now: u64, earlier: u64| f64::from(u32::try_from(now - earlier).unwrap_or(u32::MAX)) / span;
    let mut total = Usage {
        core: 0.0,
        memory: 0.0,
        bytes: per_second(self::bytes(cell), bytes_before) / processes,
        writes: per_second(table_after.writes, table_before.writes),
        reads: per_second(table_after.reads, table_before.reads),
    };
    for (id, (seconds, _)) in ids.iter().zip(usage_before) {
        let (now, mib) = usage(*id);
        total.core += (now - seconds) / span * 100.0 / processes;
        total.memory = total.memory.max(mib);
    }
    total
}

/// Returns the number of bytes that the processes have exchanged with the table
/// and with each other so far, as counted by the relays.
fn bytes(cell: &Cell) -> u64 {
    cell.members
        .iter()
        .map(|member| member.table.bytes() + member.peer.bytes())
        .sum()
}
