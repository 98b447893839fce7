//! A store that carries out writes of the owner but loses its replies, or leaves writes undone
//! without a reply: the owner keeps the pool, and its writes get through.

use std::time::Duration;
use std::time::Instant;

use site::Caller;
use site::Reply;
use site::ScriptedReply;
use site::StoreFaults;
use site::TestCell;
use site::job;

/// Table of the row that every transaction of the owner writes.
const GUARD_TABLE: &str = "guard";

const PATH: &str = "/plain/0000000000000081";

/// Opens a cell of three processes and completes one job.
async fn open() -> (TestCell, Caller) {
    let cell = TestCell::open(3, 2).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000080";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    (cell, caller)
}

/// Leaves the next `count` transactions of the owner without a reply.
fn lose_replies(cell: &TestCell, commit: bool, count: usize) {
    let lost = ScriptedReply {
        commit,
        delay: Duration::ZERO,
        reply: Reply::Lost,
    };
    cell.store.set_script(GUARD_TABLE, &vec![lost; count]);
}

/// Guards against owners that lose the pool to a lost reply. The owner awaited the reply for longer
/// than the ownership lasts and wrote nothing meanwhile, so the next owner took the pool, and
/// ended in the same way.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_replies_are_lost_keeps_the_pool() {
    let (cell, caller) = open().await;
    let epoch = cell.epoch();
    lose_replies(&cell, true, 8);

    let submitted = Instant::now();
    caller.submit(&cell.servers(), PATH, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    let elapsed = submitted.elapsed();
    tokio::time::sleep(Duration::from_secs(2)).await;

    assert_eq!(cell.epoch(), epoch, "another process took the pool");
    assert!(elapsed < Duration::from_secs(1), "saved after {elapsed:?}");
    assert_eq!(cell.log.starts("0000000000000081"), 1);
    cell.close().await;
}

/// Guards against owners that lose the pool to a write that is not carried out and gets no reply.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_repeats_writes_that_were_not_carried_out() {
    let (cell, caller) = open().await;
    let epoch = cell.epoch();
    lose_replies(&cell, false, 2);

    caller.submit(&cell.servers(), PATH, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    assert_eq!(cell.epoch(), epoch, "another process took the pool");
    assert_eq!(cell.log.starts("0000000000000081"), 1);
    cell.close().await;
}

/// Guards against giving up each write to a store that is only slow just before its reply: the
/// write would then make the next one fail. The writes that are repeated are few.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_waits_for_the_replies_of_a_slow_store() {
    let (cell, caller) = open().await;
    let epoch = cell.epoch();
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_millis(500),
        ..StoreFaults::default()
    });
    let before = cell.store.transactions(GUARD_TABLE);

    caller.submit(&cell.servers(), PATH, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    tokio::time::sleep(Duration::from_secs(4)).await;

    let writes = cell.store.transactions(GUARD_TABLE) - before;
    assert_eq!(cell.epoch(), epoch, "another process took the pool");
    assert!(writes <= 16, "{writes} writes in about 6 s");
    cell.close().await;
}

/// Guards against writes that queue up at a slow store until it refuses them: the owner read from
/// the guard row that a write was carried out, and sent the next one before the reply.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_awaits_the_reply_of_a_store_whose_reads_are_slow() {
    let (cell, caller) = open().await;
    let epoch = cell.epoch();
    let slow = ScriptedReply {
        commit: true,
        delay: Duration::from_millis(600),
        reply: Reply::Status(500),
    };
    cell.store.set_script(GUARD_TABLE, &[slow; 6]);
    cell.store.set_faults(StoreFaults {
        slow_rows: Some((GUARD_TABLE, Duration::from_millis(200))),
        ..StoreFaults::default()
    });
    let before = cell.store.transactions(GUARD_TABLE);

    let started = Instant::now();
    for id in 0x90.. {
        let path = format!("/plain/{id:016x}");
        caller.submit(&cell.servers(), &path, &job(1, "20")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        if started.elapsed() > Duration::from_millis(1_800) {
            break;
        }
    }

    let writes = cell.store.transactions(GUARD_TABLE) - before;
    assert_eq!(cell.epoch(), epoch, "another process took the pool");
    assert!(writes <= 4, "{writes} writes in 1.8 s");
    cell.close().await;
}

/// Guards against an owner that loses the pool to a single lost reply because an earlier reply was
/// slow: it then awaits replies for longer than the ownership lasts.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_keeps_the_pool_if_a_reply_is_lost_after_a_slow_one() {
    let (cell, _) = open().await;
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_millis(450),
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.store.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let epoch = cell.epoch();

    lose_replies(&cell, true, 1);
    tokio::time::sleep(Duration::from_secs(4)).await;

    assert_eq!(cell.epoch(), epoch, "another process took the pool");
    cell.close().await;
}
