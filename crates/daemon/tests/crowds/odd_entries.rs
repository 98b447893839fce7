//! Entries of another writer in the lists that real processes follow.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use site::config;
use site::nested_json;
use site::odd_registrations;
use site::registration;

use crate::CELL_LOCK;
use crate::host::Cell;
use crate::host::CellSize;
use crate::host::serve_ordinary;

/// Time after which a process has read a row several times.
const READ_TIME: Duration = Duration::from_millis(1500);

/// Writes odd entries to all lists.
fn write_odd(cell: &Cell) {
    let store = &cell.store;
    for (nth, value) in odd_registrations().iter().enumerate() {
        for prefix in ["a", "z", "line\nbreak"] {
            let key = format!("{prefix}-{nth}");
            store.write_row(platform::WORKER_TABLE, "", &key, value);
        }
        let id = 0x300 + nth as u64;
        for row in [cell::job_row(id), cell::progress_row(id)] {
            store.write_row(&row.table, &row.part, &row.key, value);
        }
        let key = format!("odd {nth}");
        store.write_row(cell::JOB_TABLE, "odd", &key, value);
        for table in [cell::PROGRESS_TABLE, cell::EARLY_CANCEL_TABLE] {
            store.write_row(table, cell::OWNER_PART, &key, value);
        }
        store.write_row(cell::LEARNT_TABLE, cell::OWNER_PART, "owner", value);
        store.write_row("op", "", &key, value);
    }
    for nth in 0..8 {
        let mut large = registration(([127, 0, 0, 1], 9).into(), 9);
        large["capacity"] = json!({"cpu": job::MAX_AMOUNT, "mem_mb": job::MAX_AMOUNT});
        large["remaining_ms"] = json!(1e300);
        let key = format!("large-{nth}");
        store.write(platform::WORKER_TABLE, &key, &large);
    }
    let mut configuration = config(2);
    configuration["routes"][1] = json!("REPLACED");
    let text = configuration.to_string();
    let text = text.replace("\"REPLACED\"", &nested_json());
    store.write_row("op", "", "config", text.as_bytes());
}

/// Guards against odd entries that end a process, or stop it from serving, whether it reads them one by
/// one or as it takes the pool.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_end_no_process() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open_sized(CellSize {
        processes: 2,
        ..CellSize::default()
    })
    .await;
    let first = cell.owner();
    write_odd(&cell);
    tokio::time::sleep(READ_TIME).await;
    cell.store.drop_history();
    tokio::time::sleep(READ_TIME).await;

    cell.serve_ordinary(0x400).await;
    let owner = cell.owner();
    cell.hosts[owner].signal(Signal::SIGKILL);
    let next = 1 - owner;
    let servers = [cell.hosts[next].callers()];
    serve_ordinary(&servers, 0x401).await;
    tokio::time::sleep(READ_TIME).await;
    serve_ordinary(&servers, 0x402).await;

    assert_eq!(owner, first, "no process has lost the pool");
    cell.hosts[next].assert_bounds();
    cell.close().await;
}
