//! What an owner concludes from the list of machines.

use std::time::Duration;

use site::Caller;
use site::PATIENCE;
use site::SiteCell;
use site::job;

/// A worker that had just joined was given up as dead and never used again. At
/// a take-over another worker was silent, so the machines were listed; while
/// the list was on its way, the new one registered. It had not answered yet,
/// and the list, which was older than it, did not name it.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_is_newer_than_the_list_is_not_dead() {
    let mut cell = SiteCell::open(1, 1).await;
    let caller = Caller::new();
    let first = "/plain/0000000000000091";
    caller.submit(&cell.servers(), first, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), first, "completed").await;
    cell.kill(0).await;
    cell.workers[0].set_silent(true);
    cell.advice.set_list_delay(Duration::from_millis(700));
    cell.start(0).await;
    let listed = async {
        while cell.advice.lists() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let listed = tokio::time::timeout(PATIENCE, listed).await;
    assert!(listed.is_ok(), "the machines are never listed");

    cell.add_silent_worker("w9").await;

    tokio::time::sleep(Duration::from_millis(900)).await;
    cell.workers[1].set_silent(false);
    let path = "/plain/0000000000000092";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}
