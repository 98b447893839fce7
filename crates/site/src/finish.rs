//! How a simulated task ends, which its payload determines.

use std::time::Duration;

/// Run time of a task whose payload contains none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(20);

/// Time from the start of a task that crashes its worker until the crash, if the payload
/// contains none.
const DEFAULT_CRASH_TIME: Duration = Duration::from_millis(10);

/// How a task ends unless it is stopped or the worker's lease expires first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finish {
    /// The task succeeds.
    Done,
    /// The task fails.
    Fails,
    /// The task crashes its worker and ends with it.
    Crashes,
}

impl Finish {
    /// Parses the payload of a task; returns how the task ends and the time from its start until
    /// then. All tasks of a job share one payload. `task` is the task's name, which ends in its
    /// index within its step.
    ///
    /// - `fail`: the task fails after [`DEFAULT_RUN_TIME`];
    /// - `crash INDEX RUN_TIME CRASH_TIME`: the task with this index crashes its worker after the
    ///   crash time, the others succeed after the run time. Both times are in milliseconds; a
    ///   time that is missing or not a number has its default;
    /// - a number: the task succeeds after this run time in milliseconds;
    /// - any other text: the task succeeds after [`DEFAULT_RUN_TIME`].
    pub(crate) fn parse(payload: &str, task: &str) -> (Finish, Duration) {
        let mut words = payload.split(' ');
        let first = words.next().unwrap_or_default();
        let number = |word: Option<&str>| word.and_then(|word| word.parse().ok());
        let time = |word: Option<&str>| number(word).map(Duration::from_millis);
        match first {
            "fail" => (Finish::Fails, DEFAULT_RUN_TIME),
            "crash" => {
                let index = words.next();
                let run_time = time(words.next()).unwrap_or(DEFAULT_RUN_TIME);
                let crash_time = time(words.next()).unwrap_or(DEFAULT_CRASH_TIME);
                if task.rsplit('.').next() == index {
                    (Finish::Crashes, crash_time)
                } else {
                    (Finish::Done, run_time)
                }
            }
            word => (Finish::Done, time(Some(word)).unwrap_or(DEFAULT_RUN_TIME)),
        }
    }
}
