//! Pending changes of the rows of used workers.

use cell::UsedWorker;
use cell::WorkerRows;
use job::Resources;

fn used_worker() -> UsedWorker {
    UsedWorker {
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        capacity: Resources::default(),
        labels: Vec::new(),
        smallest_share: 1.0,
        incarnation: None,
    }
}

fn pending(changes: impl FnOnce(&mut WorkerRows)) -> WorkerRows {
    let mut rows = WorkerRows::default();
    changes(&mut rows);
    rows
}

/// Guards against a crash that a successor cannot detect: the worker's row is removed in an earlier
/// transaction than the one that records the crash.
#[test]
fn rows_of_ended_workers_stay_until_crashes_are_recorded() {
    let mut rows = pending(|rows| {
        rows.remove("ended".to_owned());
        rows.put("new".to_owned(), used_worker());
    });

    let (written, removed) = rows.take(35, false);
    let (_, removed_later) = rows.take(35, true);

    assert_eq!(written, [("new".to_owned(), used_worker())]);
    assert!(removed.is_empty());
    assert_eq!(removed_later, ["ended"]);
}

/// Guards against the same loss when the worker starts again under its id: the row of its next
/// incarnation overwrites the one that shows the crash.
#[test]
fn the_row_of_the_next_incarnation_waits_for_the_crash_record() {
    let mut rows = pending(|rows| {
        rows.remove("restarted".to_owned());
        rows.put("restarted".to_owned(), used_worker());
        rows.put("restarted".to_owned(), used_worker());
    });

    let (written, _) = rows.take(35, false);
    let (written_later, removed) = rows.take(35, true);

    assert!(written.is_empty());
    assert_eq!(written_later, [("restarted".to_owned(), used_worker())]);
    assert!(removed.is_empty());
}

/// Guards against the same loss after a failed transaction, whose changes are queued again.
#[test]
fn changes_that_are_put_back_wait_for_crash_records() {
    let mut rows = pending(|rows| {
        let puts = vec![("restarted".to_owned(), used_worker())];
        rows.put_back(puts, vec!["ended".to_owned()]);
    });

    let (written, removed) = rows.take(35, false);

    assert!(written.is_empty());
    assert!(removed.is_empty());
    assert!(!rows.is_empty());
}
