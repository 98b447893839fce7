//! How a task ends, as its text says.

use std::time::Duration;

/// Time of a task whose text does not tell it.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(20);

/// Time from the start of a task that takes its worker down until it does.
const DEFAULT_CRASH_TIME: Duration = Duration::from_millis(10);

/// How a task ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finish {
    /// With success.
    Done,
    /// As failed.
    Fails,
    /// With its worker, which it takes down.
    Crashes,
}

impl Finish {
    /// What the text says of a task, and after which time. `fail`; or the time in
    /// milliseconds; or `crash INDEX TIME`: the task of this index takes its worker
    /// down, the others take the time; a third number is the time until the crash.
    pub(crate) fn from_text(text: &str, task: &str) -> (Finish, Duration) {
        let mut words = text.split(' ');
        let first = words.next().unwrap_or_default();
        let number = |word: Option<&str>| word.and_then(|word| word.parse().ok());
        let time = |word: Option<&str>| number(word).map(Duration::from_millis);
        match first {
            "fail" => (Finish::Fails, DEFAULT_RUN_TIME),
            "crash" => {
                let index = words.next();
                let whole = time(words.next()).unwrap_or(DEFAULT_RUN_TIME);
                let until = time(words.next()).unwrap_or(DEFAULT_CRASH_TIME);
                if task.rsplit('.').next() == index {
                    (Finish::Crashes, until)
                } else {
                    (Finish::Done, whole)
                }
            }
            word => (Finish::Done, time(Some(word)).unwrap_or(DEFAULT_RUN_TIME)),
        }
    }
}
