//! What an owner tells whose knowledge has grown old.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::Refuses;
use site::SiteCell;
use site::StoreFaults;
use site::job;

/// Longer than what callers are told may be old.
const TOO_OLD: Duration = Duration::from_millis(2_600);

/// A cell whose workers are full for the whole test.
async fn open(processes: usize, workers: u32) -> (SiteCell, Caller) {
    let cell = SiteCell::open(processes, workers as usize).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000070";
    let full = job(4 * workers, "60000");
    caller.submit(&cell.servers(), path, &full).await;
    caller.wait_state(&cell.servers(), path, "active").await;
    (cell, caller)
}

async fn submit_some(cell: &SiteCell, caller: &Caller, at: usize, count: u32) {
    for nth in 0..count {
        let path = format!("/plain/{:016x}", 0x7100 + nth);
        let small = job(1, "20");
        caller.submit(&[cell.server(at)], &path, &small).await;
    }
}

async fn get(cell: &SiteCell, caller: &Caller, at: usize, path: &str) -> (u16, Value) {
    let send = caller.send(Method::GET, cell.server(at), path, &Value::Null);
    send.await
}

/// A job is accepted of which the owner is not told.
fn accept_untold(cell: &SiteCell) {
    let known = cell::job_row(0x70);
    let row = cell.store.raw(&known.table, &known.part, &known.key);
    let copy = row.expect("row of the first job");
    let other = cell::job_row(0x71);
    cell.store
        .write_row(&other.table, &other.part, &other.key, &copy);
}

fn faults(down: bool, hung_feed: bool) -> StoreFaults {
    StoreFaults {
        down,
        hung_feed,
        ..StoreFaults::default()
    }
}

/// A caller was told that no job waits while six did. Its process owned the
/// pool and was cut off, from the store and from the workers; another process
/// took the pool and accepted jobs. Nothing told the former owner, which went on
/// answering with what it had known.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_was_cut_off_tells_nothing() {
    let (cell, caller) = open(2, 1).await;
    let former = cell.wait_owner(|_| true).await;
    cell.workers[0].set_silent(true);
    cell.doors[former].set_cut(true);
    let next = cell.wait_owner(|next| next != former).await;
    submit_some(&cell, &caller, next, 6).await;
    tokio::time::sleep(TOO_OLD).await;

    let count = get(&cell, &caller, former, "/plain/").await;
    let state = get(&cell, &caller, former, "/plain/0000000000000070").await;

    assert_eq!((count.0, state.0), (503, 503), "{count:?} {state:?}");
    cell.close().await;
}

/// The same with an owner that was frozen, and is asked when it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_was_frozen_tells_nothing_old() {
    let (cell, caller) = open(2, 1).await;
    let former = cell.wait_owner(|_| true).await;
    cell.freeze(former, Duration::from_secs(5));
    let next = cell.wait_owner(|next| next != former).await;
    submit_some(&cell, &caller, next, 6).await;

    let (status, body) = get(&cell, &caller, former, "/plain/").await;

    let waiting = body["waiting"].as_u64();
    assert!(status == 503 || waiting == Some(6), "{status} {body}");
    cell.close().await;
}

/// A caller was told that no job waits while one did. The process that had
/// accepted it could not tell the owner, and the owner could not read the feed.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_cannot_read_new_jobs_gives_no_count() {
    let (cell, caller) = open(1, 1).await;
    cell.store.set_faults(faults(false, true));
    accept_untold(&cell);
    tokio::time::sleep(TOO_OLD).await;

    let (status, body) = get(&cell, &caller, 0, "/plain/").await;

    assert_eq!(status, 503, "{body}");
    cell.close().await;
}

/// The same with a store that refuses reads and does transactions. It counted
/// as silent, so that nothing could be accepted, and the owner went on telling
/// what it knew for as long as that lasted.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_may_write_and_not_read_gives_no_count() {
    let (cell, caller) = open(1, 1).await;
    let refused = StoreFaults {
        refuses: Refuses::Reads,
        ..StoreFaults::default()
    };
    cell.store.set_faults(refused);
    accept_untold(&cell);
    tokio::time::sleep(TOO_OLD * 2).await;

    let (status, body) = get(&cell, &caller, 0, "/plain/").await;

    assert_eq!(status, 503, "{body}");
    cell.close().await;
}

/// While the store is away for all, nothing is accepted and nobody else takes
/// the pool: what the owner knows stays true, and it goes on telling. Over half
/// of the workers vouch for it, so one that answers late does not matter.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_goes_on_telling_while_the_store_is_away() {
    let (cell, caller) = open(2, 3).await;
    submit_some(&cell, &caller, 0, 3).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.store.set_faults(faults(true, false));
    let mut told = Vec::new();

    for _ in 0..8 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for at in 0..2 {
            let (status, body) = get(&cell, &caller, at, "/plain/").await;
            told.push((status, body["waiting"].as_u64()));
            let path = "/plain/0000000000000070";
            told.push((get(&cell, &caller, at, path).await.0, Some(3)));
        }
    }

    assert_eq!(told, vec![(200, Some(3)); 32]);
    cell.close().await;
}
