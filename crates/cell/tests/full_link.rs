//! An owner whose link to its workers is full.
//!
//! The tests guard against tasks that are started again after they have ended successfully, and
//! against members of gangs that wait in vain for the others. Start commands filled the owner's
//! link for a second, and the replies to renewals took longer than their fixed timeout of 0.25 s.
//! The owner abandoned these calls and repeated them at a fixed interval, on new connections,
//! which kept the link full. The replies that it discarded reported ends; then the leases expired
//! and the tasks started elsewhere. The owner's log lines with code 373 showed 32 answered and
//! 342 lost calls in a second; the same owner has 248 answered and no lost calls while its link
//! is free.

use std::time::Duration;

use site::Caller;
use site::TestCell;
use site::job;

/// Guards against discarding ends whose reports arrive late: each reply of a worker takes 0.7 s.
#[tokio::test(flavor = "multi_thread")]
async fn ends_in_late_replies_are_not_discarded() {
    let cell = TestCell::open(2, 3).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000e1";
    caller.submit(&cell.servers(), path, &job(4, "2500")).await;
    caller.wait_state(&cell.servers(), path, "active").await;

    for worker in &cell.workers {
        // A second start of a task whose end the worker has listed is a violation then, even if the
        // lease expired before the owner acknowledged the end.
        worker.set_undisturbed(true);
        worker.set_delay(Duration::from_millis(700));
    }

    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    assert_eq!(cell.log.starts("00000000000000e1"), 4);
    cell.close().await;
}

/// Guards against calls that time out because the link is full, and whose repetitions keep it
/// full.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_starts_does_not_keep_the_link_full() {
    // A link of 0.6 Mbit/s between two processes and 80 workers.
    let cell = TestCell::open_limited(0.6, 2, 80).await;
    let caller = Caller::new();
    for worker in &cell.workers {
        worker.set_undisturbed(true);
    }
    // Tasks of 3 s whose start commands have 1.5 kB.
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

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    for path in &paths {
        let id = path.trim_start_matches("/plain/");
        assert_eq!(
            cell.log.starts(id),
            4,
            "{path}: tasks were started more than once"
        );
    }
    cell.close().await;
}
