//! Identities of jobs, steps, tasks and their runs.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;

/// Identity of a job, chosen by its caller: 16 hexadecimal digits.
pub type JobId = u64;

/// Number of one start of a task; it rises with each start, over owners too.
pub type RunId = u64;

/// Number of an ownership of the pool.
pub type Epoch = u64;

/// Number that an order carries; a worker refuses lower ones than it has seen.
pub type Token = u64;

/// Tokens of an epoch: the epoch itself at first, and a higher one whenever a worker must
/// refuse what was sent before. An owner that acknowledges ends ten times a second has
/// enough for a day; beyond that it goes on with the highest one.
const EPOCH_TOKENS: Token = 1_000_000;

/// The epoch that follows one.
#[must_use]
pub fn next_epoch(epoch: Epoch) -> Epoch {
    if epoch == 0 {
        return 1;
    }
    (epoch / EPOCH_TOKENS + 1) * EPOCH_TOKENS + 1
}

/// The token of an epoch after it was raised so often.
#[must_use]
pub fn token(epoch: Epoch, raised: u64) -> Token {
    epoch + raised.min(EPOCH_TOKENS - 2)
}

/// Identity of a worker; it may start again under it.
pub type WorkerId = String;

/// Start of a life of a worker, in Unix milliseconds by its own clock. It tells the lives
/// of a worker apart and does not order them: clocks jump.
pub type LifeId = u64;

/// Digits of a job's identity.
const ID_DIGITS: usize = 16;

/// A text that names no job, step or task.
#[derive(Debug, Snafu)]
#[snafu(display("id {text:?}: allowed: 16 lower-case hexadecimal digits, then numbers"))]
pub struct IdError {
    /// The text.
    text: String,
}

/// Parses the identity of a job. Upper-case digits are refused, because two
/// spellings of one id would be two jobs to the caller.
///
/// # Errors
/// The text is not 16 lower-case hexadecimal digits.
pub fn parse_job(text: &str) -> Result<JobId, IdError> {
    let plain = text.len() == ID_DIGITS
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    plain
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
        .context(IdSnafu { text })
}

/// A step of one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of a repeated job, from 0.
    pub round: u32,
    /// Step within the job, from 0.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}.{}.{}", self.job, self.round, self.step)
    }
}

/// A task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<TaskKey, IdError> {
        let mut parts = text.split('.');
        let job = parse_job(parts.next().unwrap_or_default())?;
        let mut number = || {
            parts
                .next()
                .and_then(|part| part.parse().ok())
                .context(IdSnafu { text })
        };
        let round = number()?;
        let step = number()?;
        let index = number()?;
        let step = StepKey { job, round, step };
        Ok(TaskKey { step, index })
    }
}
