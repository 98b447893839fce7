//! Journal rows that are damaged or have an unknown format.

mod support;

use std::time::Duration;
use std::time::Instant;

use fake::Cell;
use fake::id_in_shard;
use fake::restock_request;

use crate::support::open_cell;
use crate::support::start;

/// Shard whose journal is damaged; the keys of its rows begin with `journal/0005/`.
const TEST_SHARD: u16 = 5;

/// Waits until the log of the process with this index contains a text; returns false if it does
/// not within 20 s.
async fn wait_for_log(cell: &Cell, index: usize, text: &str) -> bool {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        if cell.log(index).contains(text) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

// Guards against a shard that is served without some of its recorded requests, which then run
// again when they are repeated. A row of the shard's journal is damaged while no process runs.
// The process that reads the journal must not skip or overwrite the row: it logs the key, and
// serves the shard only once the row is readable again.
#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_journal_row_is_logged_and_not_overwritten() {
    let mut cell = open_cell(1).await;
    let request = restock_request(
        &id_in_shard("kept", TEST_SHARD, 16),
        Duration::from_millis(10),
    );
    let answer_timeout = Duration::from_secs(10);
    let answer = cell
        .caller
        .submit(cell.http(0), &request, answer_timeout)
        .await
        .expect("answer");
    // Code of the answer to a request that has succeeded.
    assert_eq!(answer.number, 100);
    cell.members[0].kill();
    let journal_row = cell.platform.table.rows("journal/0005/").remove(0);

    cell.platform
        .table
        .overwrite(&journal_row.key, "{\"format\":9,");
    start(&mut cell, 0);
    let key_logged = wait_for_log(&cell, 0, &journal_row.key).await;
    let row_after = cell.platform.table.rows(&journal_row.key).remove(0);
    cell.platform
        .table
        .overwrite(&journal_row.key, &journal_row.value);
    let repeated = cell
        .caller
        .submit(cell.http(0), &request, answer_timeout)
        .await
        .expect("answer");

    assert!(key_logged, "{}", cell.log(0));
    assert_eq!(row_after.value, "{\"format\":9,");
    assert_eq!(repeated.number, 100, "{repeated:?}");
    let key = format!("stores/{}", request.id);
    assert_eq!(cell.platform.log.runs_of(&key).len(), 1);
    cell.close();
}
