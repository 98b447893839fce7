//! Workers that are running, but that some processes cannot reach, or that have no registration,
//! no row, or no entry in the list of machines.

use std::time::Duration;

use site::Caller;
use site::RefusedCalls;
use site::StoreFaults;
use site::TestCell;
use site::WAIT_LIMIT;
use site::job;

/// Waits until a condition is met; panics with `failure` after [`WAIT_LIMIT`].
async fn wait_for(failure: &str, condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let reached = tokio::time::timeout(WAIT_LIMIT, polling).await;
    assert!(reached.is_ok(), "{failure}");
}

/// Waits until the metric of the pool's figure `figure` has a value; the owner sets these metrics
/// once a second.
async fn wait_figure(cell: &TestCell, caller: &Caller, figure: &str, value: u64) {
    let line = format!("clovermount_pool{{figure=\"{figure}\"}} {value}");
    let polling = async {
        while !caller
            .text(cell.metrics(0), "/metrics")
            .await
            .contains(&line)
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let reached = tokio::time::timeout(WAIT_LIMIT, polling).await;
    assert!(reached.is_ok(), "the metric never became {line}");
}

/// Guards against a task that runs on two workers at a time after a take-over. The new owner
/// could not reach the task's worker, waited until the worker's lease must have expired and
/// started the task elsewhere. But the former owner, cut off from the store, still renewed the
/// leases of all workers that the new owner had not reached, although a refusal of another worker
/// had shown it that the pool was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_deposed_owner_renews_no_lease() {
    const IDS: [&str; 2] = ["00000000000000f3", "00000000000000f4"];
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    for id in IDS {
        let path = format!("/plain/{id}");
        // Each worker gets three of the six tasks.
        caller
            .submit(&cell.servers(), &path, &job(3, "14000"))
            .await;
    }
    let starts = || IDS.iter().map(|id| cell.log.starts(id)).sum::<usize>();
    wait_for("tasks do not start", || starts() == 6).await;
    let owner = cell.owner().expect("an owner");
    // The first worker is reached only by the owner of epoch 1.
    cell.workers[0].cut_from_epoch(Some(2));

    cell.store_proxies[owner].set_cut(true);

    wait_for("the lost tasks do not start again", || starts() > 6).await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against a worker in use without a row, which a successor would not ask for a report. The
/// worker had been cut off until its lease expired, while the store accepted no writes. When it
/// registered again, the removal of its row was still pending; the same transaction wrote the new
/// row and then removed it.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_registers_again_keeps_its_row() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000f5";
    caller.submit(&cell.servers(), path, &job(1, "9000")).await;
    wait_figure(&cell, &caller, "running", 1).await;
    cell.store.set_faults(StoreFaults {
        refused_calls: RefusedCalls::Writes,
        ..StoreFaults::default()
    });
    // The worker answers no call, and its tasks keep running.
    cell.workers[0].set_silent(true);
    cell.unregister(0);
    wait_figure(&cell, &caller, "running", 0).await;
    cell.workers[0].set_silent(false);
    cell.register(0);
    // Registrations are read every 0.4 s.
    wait_figure(&cell, &caller, "waiting", 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    cell.store.set_faults(StoreFaults::default());

    wait_figure(&cell, &caller, "running", 1).await;
    let row = cell.store.raw(
        cell::USED_WORKER_TABLE,
        cell::OWNER_PART,
        &cell.workers[0].id,
    );
    assert!(row.is_some(), "the worker has work and no row");
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against a new worker that gets no work until it restarts. The owner, which waited for an
/// unresponsive worker after a take-over, requested the list of machines, and the new worker
/// registered before the reply. The list was older than the worker and did not contain it; since
/// the worker had not answered any call yet, the owner counted its incarnation as ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_of_machines_does_not_end_younger_workers() {
    let mut cell = TestCell::open(1, 0).await;
    let caller = Caller::new();
    cell.advice.set_list_delay(Duration::from_millis(700));
    cell.add_worker().await;
    cell.workers[0].set_silent(true);
    let lists = cell.advice.machine_lists();
    wait_for("the list of machines is not requested", || {
        cell.advice.machine_lists() > lists
    })
    .await;

    cell.add_worker().await;
    cell.workers[1].set_silent(true);
    let lists = cell.advice.machine_lists();
    wait_for("the list of machines is not requested again", || {
        cell.advice.machine_lists() > lists
    })
    .await;
    cell.workers[1].set_silent(false);

    let path = "/plain/00000000000000f6";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}

/// Guards against a task that runs on two workers at a time. The owner is cut off from the store
/// and from some workers, and its successor reaches only these. No call shows the former owner
/// that it has lost the pool, so it renewed the leases of the other workers without end, while the
/// successor counted these leases as expired.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_shares_no_worker_with_its_successor_renews_no_lease() {
    const IDS: [&str; 2] = ["00000000000000f7", "00000000000000f8"];
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    for id in IDS {
        let path = format!("/plain/{id}");
        caller
            .submit(&cell.servers(), &path, &job(3, "14000"))
            .await;
    }
    let starts = || IDS.iter().map(|id| cell.log.starts(id)).sum::<usize>();
    wait_for("tasks do not start", || starts() == 6).await;
    let owner = cell.owner().expect("an owner");
    // The first worker is reached only by the owner of epoch 1, the second only by its successor.
    cell.workers[0].cut_from_epoch(Some(2));
    cell.workers[1].cut_upto_epoch(1);

    cell.store_proxies[owner].set_cut(true);

    wait_for("the lost tasks do not start again", || starts() > 6).await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}
