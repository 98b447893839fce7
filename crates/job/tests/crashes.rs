//! Tasks that take down the workers they start on.

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

/// A counter check was started again and again, each time on another worker, which went
/// down 10 ms later and took down the other runs that it had. Nothing was remembered of
/// a run whose worker's life was over, so its task waited as if it had never been
/// started. The owner's log had it in one millisecond, a dozen times in a row:
///
///     12.1964 381 silent worker is dead, i-10f5bb1601
///     12.1964 350 start, f99922f895b4a99e.0.0.0 run 8 on i-ba57d7b638
///     12.2088 347 worker does not answer, i-ba57d7b638
///     12.7143 381 silent worker is dead, i-ba57d7b638
///     12.7143 350 start, f99922f895b4a99e.0.0.0 run 9 on i-08d42cec47
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut field = Field::new(12);
    field.submit_tasks(1, 2, 800);
    field.bad.insert(task(1, 0, 0), Duration::from_millis(10));
    for id in 2..10 {
        field.submit_tasks(id, 2, 900);
    }

    let failed = field.run_until(SOON, |field| field.shown(1) == Some(Shown::Failed));

    let starts = field.starts_of(task(1, 0, 0));
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert!(failed, "shown as {:?}", field.shown(1));
    for id in 2..10 {
        assert_eq!(field.shown(id), Some(Shown::Completed), "job {id}");
    }
}
