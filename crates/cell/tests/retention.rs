//! Jobs that ended long ago: their rows are removed, and the jobs do not run again.

use std::time::Duration;

use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::WAIT_LIMIT;
use site::job;

/// Time between two checks whether the rows of the jobs were removed, and between two losses of the
/// store's history of changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against a job that runs again half a minute or more after it was done. The store had
/// dropped its history of changes, so the owner read all rows of jobs. While this read was in
/// progress, the owner removed the job's row, because the job had ended long ago, and dropped the
/// job from memory. The reply to the read still contained the row, and the owner took the job for
/// a new one.
#[tokio::test(flavor = "multi_thread")]
async fn rows_read_before_their_removal_start_no_job_again() {
    // One process, two workers, and ended jobs retained for 0 s. The owner adds 30 s to that, so
    // all rows still exist when the jobs below have been completed.
    let cell = TestCell::open_retaining(1, 2, 0.0).await;
    let caller = Caller::new();
    let ids: Vec<String> = (0..6).map(|nth| format!("{:016x}", 0xf700 + nth)).collect();
    for id in &ids {
        let path = format!("/plain/{id}");
        caller.submit(&cell.servers(), &path, &job(1, "20")).await;
        caller.wait_state(&cell.servers(), &path, "completed").await;
        // The owner removes rows every 0.5 s, so it removes those of each job at another time.
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    // Each reply with rows of jobs arrives 1 s after the rows were read.
    cell.store.set_faults(StoreFaults {
        slow_rows: Some((cell::JOB_TABLE, Duration::from_secs(1))),
        ..StoreFaults::default()
    });

    let wait_removed = async {
        // Without its history, the store makes the owner read all rows.
        while cell.store.count(cell::JOB_TABLE) > 0 {
            cell.store.drop_history();
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    };
    let removed = tokio::time::timeout(WAIT_LIMIT, wait_removed).await;

    assert!(removed.is_ok(), "rows of old jobs were not removed");
    // Rows that were read before the last removal have arrived by now.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    for id in &ids {
        assert_eq!(
            cell.log.starts(id),
            1,
            "starts of the only task of job {id}"
        );
    }
    cell.close().await;
}
