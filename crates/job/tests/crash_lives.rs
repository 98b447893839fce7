//! Tasks that take down workers which start again under their id, 0.1 s later: no list of
//! machines ever misses them.

mod field;
mod support;

use std::time::Duration;

use job::Shown;

use field::Field;
use support::task;

/// Time within which a task that crashes its workers is given up.
const SOON: Duration = Duration::from_secs(30);

/// Most starts of a task that crashes each worker: the platform bears two more after
/// three crashes.
const MOST_STARTS: usize = 5;

/// Time of a crash after the start.
const AT_ONCE: Duration = Duration::from_millis(10);

/// A pool that is nearly full, with bad tasks among sound ones.
fn busy(workers: usize, bad: &[u64]) -> Field {
    let mut field = Field::with_same_ids(workers);
    for id in 1..=3 * workers as u64 {
        field.submit_tasks(id, 2, 1000 + 40 * id);
    }
    for &id in bad {
        field.bad.insert(task(id, 0, 0), AT_ONCE);
    }
    field
}

fn assert_bounded(field: &Field, bad: &[u64]) {
    for &id in bad {
        let starts = field.starts_of(task(id, 0, 0));
        assert!(starts <= MOST_STARTS, "job {id}: {starts} starts");
    }
}

/// Guards against crashes that nobody notices since the worker is there again.
#[test]
fn a_task_that_crashes_workers_with_lasting_ids_is_given_up() {
    let bad = [3];
    let mut field = busy(12, &bad);

    let failed = field.run_until(SOON, |field| field.shown(3) == Some(Shown::Failed));

    assert!(failed, "shown as {:?}", field.shown(3));
    assert_bounded(&field, &bad);
}

/// Guards against neighbours of bad tasks that are counted for more than their crashes.
#[test]
fn neighbours_on_workers_with_lasting_ids_are_completed() {
    let bad = [3, 8, 13, 18, 23];
    let mut field = busy(12, &bad);

    field.run(Duration::from_secs(90));

    assert_bounded(&field, &bad);
    for id in 1..=36 {
        let expected = if bad.contains(&id) {
            Shown::Failed
        } else {
            Shown::Completed
        };
        assert_eq!(field.shown(id), Some(expected), "job {id}");
    }
}

/// Guards against sound tasks that are given up since many workers start again at once.
#[test]
fn many_workers_that_start_again_are_no_reason_to_give_tasks_up() {
    let mut field = busy(12, &[]);
    for _ in 0..4 {
        field.run(Duration::from_millis(900));
        for place in 0..8 {
            field.crash(place);
        }
        field.run(Duration::from_secs(4));
    }

    field.run(Duration::from_mins(1));

    for id in 1..=36 {
        assert_eq!(field.shown(id), Some(Shown::Completed), "job {id}");
    }
}

/// Guards against a count of crashes that a successor begins anew, since the row of the
/// worker tells another life.
#[test]
fn crashes_of_lives_that_a_successor_never_met_are_counted() {
    let mut field = Field::with_same_ids(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), AT_ONCE);
    let mut crashes = 0;
    while field.shown(1) != Some(Shown::Failed) && crashes < 10 {
        let again = field.run_until(SOON, |field| {
            field.crashes_of(task(1, 0, 0)) > crashes || field.shown(1) == Some(Shown::Failed)
        });
        assert!(again, "it waits for good");
        crashes = field.crashes_of(task(1, 0, 0));
        // The crash is known after 0.1 s, and saved 0.03 s later.
        field.run(Duration::from_millis(200));
        field.take_over();
    }

    assert_eq!(field.shown(1), Some(Shown::Failed));
    assert_bounded(&field, &[1]);
}
