//! Tasks that crash each worker on which they start, with whole processes.

use std::time::Duration;

use site::Caller;
use site::TestCell;
use site::job;

/// Largest number of starts of a task that crashes each worker: the platform's rules allow two
/// more starts after three crashes.
const MAX_STARTS: usize = 5;

/// Guards against a task that crashes one worker after the other for as long as the pool has
/// workers, while its caller gets no result: no crash was counted against the task. The
/// simulated workers crash 10 ms after the start and restart 1.5 s later at the same address,
/// under another id.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_crashes_its_workers_fails() {
    let cell = TestCell::open(2, 6).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000d1";
    caller
        // `crash INDEX RUN_TIME`: the task with index 0 crashes its worker.
        .submit(&cell.servers(), path, &job(1, "crash 0 300"))
        .await;
    for nth in 0..10 {
        let healthy = format!("/plain/{:016x}", 0xe00 + nth);
        caller
            .submit(&cell.servers(), &healthy, &job(2, "300"))
            .await;
    }

    let servers = cell.servers();
    let failed = caller.wait_state(&servers, path, "failed");
    let failed = tokio::time::timeout(Duration::from_secs(20), failed).await;

    let starts = cell.log.starts("00000000000000d1");
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert!(failed.is_ok(), "not failed after {starts} starts");
    for nth in 0..10 {
        let healthy = format!("/plain/{:016x}", 0xe00 + nth);
        caller
            .wait_state(&cell.servers(), &healthy, "completed")
            .await;
    }
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against losing the number of crashes when the owner that counted them is killed. Each
/// owner is killed one second after a crash, when it has recorded and stored the crash. Its
/// successor has received no report of the next run, nor of the worker that this run crashes.
#[tokio::test(flavor = "multi_thread")]
async fn crash_counts_survive_killed_owners() {
    let mut cell = TestCell::open(3, 6).await;
    let caller = Caller::new();
    let id = "00000000000000d2";
    let path = format!("/plain/{id}");
    let text = job(1, "crash 0 300");
    caller.submit(&cell.servers(), &path, &text).await;
    let healthy = "/plain/00000000000000d3";
    caller
        .submit(&cell.servers(), healthy, &job(4, "200"))
        .await;

    for crashes in 1..=3 {
        let crashed = async {
            while cell.log.lost_runs(id) < crashes {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let crashed = tokio::time::timeout(Duration::from_secs(20), crashed).await;
        assert!(crashed.is_ok(), "{} crashes", cell.log.lost_runs(id));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let owner = cell.wait_owner(|_| true).await;
        cell.kill(owner).await;
        cell.wait_owner(|next| next != owner).await;
        cell.start(owner).await;
    }

    caller.wait_state(&cell.servers(), &path, "failed").await;
    caller
        .wait_state(&cell.servers(), healthy, "completed")
        .await;
    let starts = cell.log.starts(id);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}
