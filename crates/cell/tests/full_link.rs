//! An owner whose link to its workers is full.
//!
//! Tasks were started again after they had ended successfully, and members of gangs waited for
//! the others in vain. Starts filled the owner's link for a second, and the replies to renewals
//! took longer than 0.25 s. The owner abandoned these calls and sent new ones, on new
//! connections, which kept the link full. The replies that it discarded included ends, until
//! the leases expired and the tasks started elsewhere. The cause was that calls were abandoned
//! after a fixed timeout and repeated at a fixed interval. Log line 373 showed 32 answered and
//! 342 abandoned calls in a second; the same owner has 248 answered and no abandoned calls
//! while its link is free.

use std::time::Duration;

use site::Caller;
use site::TestCell;
use site::job;

/// Guards against losing ends that workers report in time, but whose replies arrive late.
#[tokio::test(flavor = "multi_thread")]
async fn late_replies_are_handled() {
    let cell = TestCell::open(2, 3).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000e1";
    caller.submit(&cell.servers(), path, &job(4, "2500")).await;
    caller.wait_state(&cell.servers(), path, "active").await;

    for worker in &cell.workers {
        worker.set_undisturbed(true);
        worker.set_delay(Duration::from_millis(700));
    }

    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    assert_eq!(cell.log.starts("00000000000000e1"), 4);
    cell.close().await;
}

/// Guards against calls that time out due to a full link and keep it full by being repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_starts_does_not_keep_the_link_full() {
    let cell = TestCell::open_limited(0.6, 2, 80).await;
    let caller = Caller::new();
    for worker in &cell.workers {
        worker.set_undisturbed(true);
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

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    for path in &paths {
        let id = path.trim_start_matches("/plain/");
        assert_eq!(
            cell.log.starts(id),
            4,
            "{path}: starts in progress were stopped"
        );
    }
    cell.close().await;
}
