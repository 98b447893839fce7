//! Workers that shrink while the owner cannot read their registrations as usual, with whole
//! processes. A simulated worker records a violation if a task starts beyond the worker's new size
//! more than 4.5 s after it has shrunk.

use std::time::Duration;

use platform::WORKER_TABLE;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::job;

const PATH: &str = "/plain/00000000000000f3";

/// Longer than a shrunk worker may be filled up to its former size.
const FAULT_TIME: Duration = Duration::from_secs(8);

/// The owner reads the registrations every 0.4 s.
const READ_TIME: Duration = Duration::from_secs(1);

/// Opens a cell whose only worker has never shrunk, and waits until its owner has read the
/// registration.
async fn open() -> TestCell {
    let cell = TestCell::open(1, 1).await;
    cell.wait_owner(|_| true).await;
    tokio::time::sleep(READ_TIME).await;
    cell
}

/// Opens a cell of two processes. The first owner reads that the worker shrinks and grows again,
/// then it is killed. Returns when the other process has started a task on the worker.
async fn open_with_successor(caller: &Caller) -> TestCell {
    let mut cell = TestCell::open(2, 1).await;
    let former = cell.wait_owner(|_| true).await;
    tokio::time::sleep(READ_TIME).await;
    for cores in [2, 4] {
        cell.resize(0, cores);
        tokio::time::sleep(READ_TIME).await;
    }
    cell.kill(former).await;
    cell.wait_owner(|owner| owner != former).await;
    let path = "/plain/00000000000000f4";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    tokio::time::sleep(READ_TIME).await;
    cell
}

/// Submits tasks of 0.5 s that fill the worker's four cores for 7.5 s, and shrinks the worker to
/// two cores for as long as the faults last. Returns the violations, once all tasks are done.
async fn shrink_during(cell: TestCell, caller: &Caller, faults: StoreFaults) -> Vec<String> {
    caller.submit(&cell.servers(), PATH, &job(60, "500")).await;
    cell.store.set_faults(faults);
    cell.resize(0, 2);
    tokio::time::sleep(FAULT_TIME).await;
    cell.store.set_faults(StoreFaults::default());
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    let violations = cell.log.violations();
    cell.close().await;
    violations
}

/// Guards against an owner that fills a worker beyond its new size for as long as the change feed
/// hangs, though the store answers reads of the rows.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_feed_hangs_fills_no_worker_beyond_its_new_size() {
    let caller = Caller::new();
    let cell = open().await;
    let hung = StoreFaults {
        hung_feed: true,
        ..StoreFaults::default()
    };

    let violations = shrink_during(cell, &caller, hung).await;

    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against an owner that never gets a feed reply because each takes 0.7 s: the timeout
/// of 600 ms of this follower does not grow with the delay of the replies.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_with_a_slow_feed_fills_no_worker_beyond_its_new_size() {
    let caller = Caller::new();
    let cell = open().await;
    let slow = StoreFaults {
        slow_feed: Some((WORKER_TABLE, Duration::from_millis(700))),
        ..StoreFaults::default()
    };

    let violations = shrink_during(cell, &caller, slow).await;

    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a successor that fills a worker beyond its new size while the feed hangs: only
/// the former owner had seen the worker shrink.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_whose_feed_hangs_fills_no_worker_beyond_its_new_size() {
    let caller = Caller::new();
    let cell = open_with_successor(&caller).await;
    let hung = StoreFaults {
        hung_feed: true,
        ..StoreFaults::default()
    };

    let violations = shrink_during(cell, &caller, hung).await;

    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a successor that does not know from the rows of the former owner that workers
/// shrink, and fills them up to their former size for the whole outage of the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_without_the_store_fills_no_worker_that_may_have_shrunk() {
    let caller = Caller::new();
    let cell = open_with_successor(&caller).await;
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };

    let violations = shrink_during(cell, &caller, down).await;

    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a successor that starts nothing for as long as each reply to a full read of the
/// registrations takes 2 s: that read has a single timeout of 1.5 s, while the other first reads of
/// an owner are repeated with up to 6 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_reads_the_registrations_from_a_slow_store() {
    let mut cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let former = cell.wait_owner(|_| true).await;
    cell.store.set_faults(StoreFaults {
        slow_rows: Some((WORKER_TABLE, Duration::from_secs(2))),
        ..StoreFaults::default()
    });
    cell.kill(former).await;
    let next = cell.wait_owner(|owner| owner != former).await;
    caller
        .submit(&[cell.server(next)], PATH, &job(1, "20"))
        .await;

    tokio::time::sleep(Duration::from_secs(20)).await;

    assert_ne!(cell.log.events().len(), 0, "no task has started for 20 s");
    cell.close().await;
}

/// Guards against an owner that learns seconds late that a worker has shrunk, because its change
/// comes after thousands of others in the feed, whose pages take 0.5 s each. A full read would
/// return it in one page.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_behind_in_its_feed_fills_no_worker_beyond_its_new_size() {
    let caller = Caller::new();
    let cell = open().await;
    for _ in 0..8000 {
        cell.store.write_row(WORKER_TABLE, "", "unreadable", b"{}");
    }
    let slow = StoreFaults {
        slow_feed: Some((WORKER_TABLE, Duration::from_millis(500))),
        ..StoreFaults::default()
    };

    let violations = shrink_during(cell, &caller, slow).await;

    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a successor that does not know that workers shrink, because the row of the worker
/// that has shrunk was removed when the worker had ended.
#[tokio::test(flavor = "multi_thread")]
async fn the_smallest_share_outlives_the_worker_that_shrank() {
    let caller = Caller::new();
    let cell = TestCell::open(1, 3).await;
    cell.wait_owner(|_| true).await;
    tokio::time::sleep(READ_TIME).await;
    for cores in [2, 4] {
        cell.resize(0, cores);
        tokio::time::sleep(READ_TIME).await;
    }
    let row = |index: usize| {
        let id = &cell.workers[index].id;
        let row = cell
            .store
            .raw(cell::USED_WORKER_TABLE, cell::OWNER_PART, id)?;
        cell::decode_used_worker(&row).ok()
    };
    let before = row(0).map(|worker| worker.share());
    // Only a worker with runs is looked up when it does not answer.
    caller.submit(&cell.servers(), PATH, &job(12, "2000")).await;
    caller.wait_state(&cell.servers(), PATH, "active").await;
    tokio::time::sleep(READ_TIME).await;
    cell.workers[0].die();
    cell.unregister(0);

    caller.wait_state(&cell.servers(), PATH, "completed").await;
    tokio::time::sleep(READ_TIME).await;

    let shares = [1, 2].map(|index| row(index).map_or(1.0, |worker| worker.share()));
    assert_eq!(before, Some(0.5));
    assert!(row(0).is_none());
    assert!(shares.contains(&0.5), "{shares:?}");
    cell.close().await;
}
