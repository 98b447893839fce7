//! Workers that start again under their id, with whole processes.

use std::time::Duration;

use site::Caller;
use site::Restart;
use site::SiteCell;
use site::job;

/// Most attempts of a task, as the configuration of the stand-ins says.
const ATTEMPTS: usize = 2;

/// Jobs that give each worker a history before it starts again.
const HISTORY: u64 = 24;

fn path(id: u64) -> String {
    format!("/plain/{id:016x}")
}

/// Submits `count` jobs of two tasks, with ids from `first` on.
async fn submit(cell: &SiteCell, caller: &Caller, first: u64, count: u64, text: &str) {
    for id in first..first + count {
        caller
            .submit(&cell.servers(), &path(id), &job(2, text))
            .await;
    }
}

/// Waits until the jobs are shown in a state.
async fn wait(cell: &SiteCell, caller: &Caller, first: u64, count: u64, state: &str) {
    for id in first..first + count {
        caller.wait_state(&cell.servers(), &path(id), state).await;
    }
}

/// All workers start again at the same time.
async fn restart_all(cell: &SiteCell, restart: Restart) {
    let mut restarts = tokio::task::JoinSet::new();
    for place in cell.places.clone() {
        restarts.spawn(async move { place.restart(restart).await });
    }
    restarts.join_all().await;
}

/// A cell of two workers, each of which has listed many ends, just before they start
/// again.
async fn with_history(caller: &Caller) -> SiteCell {
    let cell = SiteCell::open_same_ids(1, 2).await;
    submit(&cell, caller, 0x100, HISTORY, "30").await;
    wait(&cell, caller, 0x100, HISTORY, "completed").await;
    cell
}

/// Guards against ends of a new life that are taken for those of the former one, and
/// forgotten by the worker before the owner has heard them.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_done_on_workers_that_started_again_do_not_run_again() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;

    restart_all(&cell, Restart::after(Duration::from_millis(300))).await;
    submit(&cell, &caller, 0x200, 12, "60").await;
    wait(&cell, &caller, 0x200, 12, "completed").await;

    assert_eq!(cell.log.faults(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against failed runs of a new life that count as no attempt.
#[tokio::test(flavor = "multi_thread")]
async fn failed_runs_on_workers_that_started_again_are_counted() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;

    restart_all(&cell, Restart::after(Duration::from_millis(300))).await;
    submit(&cell, &caller, 0x300, 6, "fail").await;
    wait(&cell, &caller, 0x300, 6, "failed").await;

    for id in 0x300..0x306 {
        for index in 0..2 {
            let task = format!("{id:016x}.0.0.{index}");
            let starts = cell.log.starts(&task);
            assert!(starts <= ATTEMPTS, "{task}: {starts} starts");
        }
    }
    cell.close().await;
}

/// Most starts of a task that crashes each worker: the platform bears two more after
/// three crashes.
const MOST_STARTS: usize = 5;

/// Guards against a worker's crash that counts for nothing since its id is there again.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_crashes_workers_which_start_again_is_given_up() {
    let cell = SiteCell::open_same_ids(2, 6).await;
    let caller = Caller::new();
    let text = job(1, "crash 0 300");
    caller.submit(&cell.servers(), &path(0xd1), &text).await;
    submit(&cell, &caller, 0xe00, 10, "300").await;

    let servers = cell.servers();
    let bad = path(0xd1);
    let shown = caller.wait_state(&servers, &bad, "failed");
    let shown = tokio::time::timeout(Duration::from_secs(20), shown).await;

    let starts = cell.log.starts("00000000000000d1");
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert!(shown.is_ok(), "not failed after {starts} starts");
    wait(&cell, &caller, 0xe00, 10, "completed").await;
    assert_eq!(cell.log.faults(), Vec::<String>::new());
    cell.close().await;
}
