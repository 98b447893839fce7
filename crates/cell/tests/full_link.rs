//! An owner whose link to its workers is full.
//!
//! Symptom: tasks were started again after they had ended as done, and members of gangs
//! waited for the others in vain. Sequence: starts fill the owner's link for a second; the
//! answers to renewals take longer than 0.25 s; the owner gives them up and asks anew, on
//! new connections, which keeps the link full; what the workers answer is thrown away,
//! ends among it, until the leases are over and the tasks start elsewhere. Cause: calls
//! were given up after a fixed time, and repeated at a fixed pace. Line 373 showed it: 32
//! answers and 342 calls given up in a second, by an owner that has 248 answers and gives
//! none up when its link is free.

use std::time::Duration;

use site::Caller;
use site::SiteCell;
use site::job;

/// Guards against ends that workers tell in time and their owner does not hear.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_take_long_are_taken() {
    let cell = SiteCell::open(2, 3).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000e1";
    caller.submit(&cell.servers(), path, &job(4, "2500")).await;
    caller.wait_state(&cell.servers(), path, "active").await;

    for worker in &cell.workers {
        worker.set_calm(true);
        worker.set_delay(Duration::from_millis(700));
    }

    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.faults(), Vec::<String>::new());
    assert_eq!(cell.log.starts("00000000000000e1"), 4);
    cell.close().await;
}

/// Guards against calls that keep the link full by which they fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_starts_does_not_keep_the_link_full() {
    let cell = SiteCell::open_behind(0.6, 2, 80).await;
    let caller = Caller::new();
    for worker in &cell.workers {
        worker.set_calm(true);
    }
    let text = format!("3000 {}", "x".repeat(1500));
    let mut paths = Vec::new();
    for nth in 0..16 {
        let path = format!("/plain/{:016x}", 0xe100 + nth);
        caller.submit(&cell.servers(), &path, &job(4, &text)).await;
        paths.push(path);
    }

    for path in &paths {
        caller.wait_state(&cell.servers(), path, "completed").await;
    }

    assert_eq!(cell.log.faults(), Vec::<String>::new());
    for path in &paths {
        let id = path.trim_start_matches("/plain/");
        assert_eq!(
            cell.log.starts(id),
            4,
            "{path}: starts under way were stopped"
        );
    }
    cell.close().await;
}
