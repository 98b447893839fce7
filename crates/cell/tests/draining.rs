//! Workers that drain while the owner's knowledge of them is old, with whole processes. A simulated
//! worker records a violation if a task starts on it more than 2 s after the store accepted that it
//! drains.

use std::time::Duration;

use platform::WORKER_TABLE;
use site::Caller;
use site::DRAIN_BOUND;
use site::RefusedCalls;
use site::StoreFaults;
use site::TestCell;
use site::job;

const PATH: &str = "/plain/00000000000000d1";

/// Longer than a draining worker may get tasks.
const FAULT_TIME: Duration = Duration::from_secs(6);

/// The owner reads the registrations every 0.4 s.
const READ_TIME: Duration = Duration::from_secs(1);

/// Opens a cell of one process and two workers, and waits until its owner has read the
/// registrations.
async fn open() -> TestCell {
    let cell = TestCell::open(1, 2).await;
    cell.wait_owner(|_| true).await;
    tokio::time::sleep(READ_TIME).await;
    cell
}

/// Each reply with registrations takes `delay`; the store answers all other calls at once.
fn slow_reads(delay: Duration) -> StoreFaults {
    let slow = Some((WORKER_TABLE, delay));
    StoreFaults {
        slow_feed: slow,
        slow_rows: slow,
        ..StoreFaults::default()
    }
}

/// Submits tasks of 0.5 s that fill both workers for 7.5 s, and lets one of them drain while the
/// store has the faults. Returns the violations, once all tasks are done.
async fn drain_during(cell: TestCell, faults: StoreFaults) -> Vec<String> {
    let caller = Caller::new();
    caller.submit(&cell.servers(), PATH, &job(120, "500")).await;
    tokio::time::sleep(READ_TIME).await;
    cell.store.set_faults(faults);
    cell.drain(0);
    tokio::time::sleep(FAULT_TIME).await;
    cell.store.set_faults(StoreFaults::default());
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    let violations = cell.log.violations();
    cell.close().await;
    violations
}

/// Guards against starts on a worker that has been draining for seconds, since each reply with
/// registrations takes 2.5 s while the store answers all other calls at once.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_reads_the_registrations_slowly_starts_nothing_on_a_draining_worker() {
    let cell = open().await;

    let violations = drain_during(cell, slow_reads(Duration::from_millis(2500))).await;

    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a start that waits on its way, for example on a full link, until its worker has
/// been draining for too long: by then the worker must refuse it.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_is_valid_no_longer_than_a_draining_worker_may_get_tasks() {
    let cell = open().await;
    let caller = Caller::new();

    caller.submit(&cell.servers(), PATH, &job(40, "50")).await;
    caller.wait_state(&cell.servers(), PATH, "completed").await;

    let longest = cell.workers.iter().map(|worker| worker.longest_validity());
    let longest = longest.max().unwrap_or_default();
    cell.close().await;
    assert!(longest > Duration::ZERO, "no worker has got a start");
    assert!(longest <= DRAIN_BOUND, "a start was valid for {longest:?}");
}

/// Guards against starts on a draining worker by an owner that was frozen between the decision and
/// the moment at which the starts leave its host.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_starts_nothing_on_a_worker_that_drains_meanwhile() {
    let cell = open().await;
    let caller = Caller::new();
    caller.submit(&cell.servers(), PATH, &job(120, "500")).await;
    tokio::time::sleep(READ_TIME).await;

    for _ in 0..3 {
        cell.drain(0);
        cell.freeze(0, Duration::from_millis(2500));
        tokio::time::sleep(Duration::from_secs(3)).await;
    }

    caller.wait_state(&cell.servers(), PATH, "completed").await;
    let violations = cell.log.violations();
    cell.close().await;
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a stop of all work during an outage of the store, in which no worker can register
/// as draining.
#[tokio::test(flavor = "multi_thread")]
async fn starts_go_on_while_the_store_is_down() {
    let cell = open().await;
    let caller = Caller::new();
    caller.submit(&cell.servers(), PATH, &job(120, "500")).await;
    tokio::time::sleep(READ_TIME).await;
    cell.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(FAULT_TIME).await;
    let before = cell.log.starts("");

    tokio::time::sleep(READ_TIME).await;

    let after = cell.log.starts("");
    assert!(after > before, "no task has started for a second");
    cell.close().await;
}

/// Guards against a stop of all work while the store refuses the reads of the owner: it is an outage
/// for this owner, which starts on what it knows until another one takes the pool.
#[tokio::test(flavor = "multi_thread")]
async fn starts_go_on_while_the_store_refuses_reads() {
    let cell = open().await;
    let caller = Caller::new();
    caller.submit(&cell.servers(), PATH, &job(120, "500")).await;
    tokio::time::sleep(READ_TIME).await;
    cell.store.set_faults(StoreFaults {
        refused_calls: RefusedCalls::Reads,
        ..StoreFaults::default()
    });
    tokio::time::sleep(FAULT_TIME).await;
    let before = cell.log.starts("");

    tokio::time::sleep(READ_TIME).await;

    let after = cell.log.starts("");
    assert!(after > before, "no task has started for a second");
    cell.close().await;
}

/// Guards against an owner that holds starts for good although a much larger host could take the pool.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_holds_starts_counts_as_overloaded() {
    let cell = open().await;
    cell.store
        .set_faults(slow_reads(Duration::from_millis(2500)));

    tokio::time::sleep(FAULT_TIME).await;

    let row = cell
        .store
        .raw(cell::OWNERSHIP_TABLE, cell::OWNER_PART, "owner");
    let ownership = cell::decode_ownership(&row.expect("a row")).expect("ownership");
    cell.close().await;
    assert!(ownership.overloaded);
}

/// Guards against seconds without a start after an outage, in which the owner waits for a read that it
/// sent before and that is never answered.
#[tokio::test(flavor = "multi_thread")]
async fn starts_resume_soon_after_a_silent_outage() {
    let cell = open().await;
    let caller = Caller::new();
    caller.submit(&cell.servers(), PATH, &job(400, "300")).await;
    cell.store_proxies[0].set_cut(true);
    tokio::time::sleep(FAULT_TIME).await;
    cell.store_proxies[0].set_cut(false);
    // By then the owner has noticed it. A read that it sent before would time out later.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let before = cell.log.starts("");

    tokio::time::sleep(Duration::from_millis(700)).await;

    let after = cell.log.starts("");
    cell.close().await;
    assert!(after > before, "no task has started for 0.7 s");
}
