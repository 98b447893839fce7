//! Rows and objects that are damaged, or of an unknown format.

mod support;

use std::time::Duration;
use std::time::Instant;

use fake::Cell;
use fake::id_in_shard;
use fake::restock_request;

use crate::support::open_cell;
use crate::support::start;

const SHARD: u16 = 5;

async fn wait_for_log(cell: &Cell, index: usize, wanted: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if cell.log(index).contains(wanted) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

// Symptom: a shard was served without its recorded requests, and they ran
// again. Sequence: a row of its journal is damaged while no process runs; the
// next one reads it. Cause: skipping what cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_journal_row_is_named_and_left_alone() {
    let mut cell = open_cell(1).await;
    let request = restock_request(&id_in_shard("kept", SHARD, 16), Duration::from_millis(10));
    let wait = Duration::from_secs(10);
    let answer = cell
        .caller
        .submit(cell.http(0), &request, wait)
        .await
        .expect("answer");
    assert_eq!(answer.number, 100);
    cell.members[0].kill();
    let row = cell.platform.table.rows("journal/0005/").remove(0);

    cell.platform.table.overwrite(&row.key, "{\"format\":9,");
    start(&mut cell, 0);
    let named = wait_for_log(&cell, 0, &row.key).await;
    let left = cell.platform.table.rows(&row.key).remove(0);
    cell.platform.table.overwrite(&row.key, &row.value);
    let again = cell
        .caller
        .submit(cell.http(0), &request, wait)
        .await
        .expect("answer");

    assert!(named, "{}", cell.log(0));
    assert_eq!(left.value, "{\"format\":9,");
    assert_eq!(again.number, 100, "{again:?}");
    let key = format!("stores/{}", request.id);
    assert_eq!(cell.platform.log.runs_of(&key).len(), 1);
    cell.close();
}
