//! Identifiers of jobs, steps, tasks, runs, workers and owners.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;

/// Identifier of a job, chosen by its caller and written as 16 hexadecimal digits.
pub type JobId = u64;

/// Number of a run, which is one attempt at a task. It rises with each start, also across owners.
pub type RunId = u64;

/// Number that identifies one owner's tenure of the pool; each take-over raises it.
pub type Epoch = u64;

/// Fencing token of a command: a worker refuses tokens below the highest one that it has seen.
pub type FencingToken = u64;

/// Fencing tokens reserved for each epoch. The owner starts with the epoch itself and takes the
/// next token whenever a worker must refuse earlier commands. A million tokens last for a day at
/// ten acknowledged run ends per second; after that the owner keeps using the highest one.
const TOKENS_PER_EPOCH: FencingToken = 1_000_000;

/// Returns the epoch that follows `epoch`; the first one is 1.
#[must_use]
pub fn next_epoch(epoch: Epoch) -> Epoch {
    if epoch == 0 {
        return 1;
    }
    (epoch / TOKENS_PER_EPOCH + 1) * TOKENS_PER_EPOCH + 1
}

/// Returns the fencing token of `epoch` after `raised` increments.
#[must_use]
pub fn fencing_token(epoch: Epoch, raised: u64) -> FencingToken {
    epoch + raised.min(TOKENS_PER_EPOCH - 2)
}

/// Identifier of a worker; a worker process may start again under the same identifier.
pub type WorkerId = String;

/// Identifier of a worker's incarnation: its start time in Unix milliseconds by the worker's
/// clock. It only distinguishes incarnations; it does not order them, since clocks may go back.
pub type IncarnationId = u64;

/// Number of hexadecimal digits in a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// Error for a text that is not a valid identifier of a job, step or task.
#[derive(Debug, Snafu)]
#[snafu(display("id {text:?}: allowed: 16 lower-case hexadecimal digits, then numbers"))]
pub struct IdError {
    /// The rejected text.
    text: String,
}

/// Parses a job's identifier. Upper-case digits are refused, because two spellings of one
/// identifier would be two jobs to the caller.
///
/// # Errors
/// The text does not consist of 16 lower-case hexadecimal digits.
pub fn parse_job_id(text: &str) -> Result<JobId, IdError> {
    let valid = text.len() == JOB_ID_DIGITS
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    valid
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
        .context(IdSnafu { text })
}

/// Identifies a step in one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// Job that contains the step.
    pub job: JobId,
    /// Occurrence of a repeated job, from 0.
    pub round: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}.{}.{}", self.job, self.round, self.step)
    }
}

/// Identifies a task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Step that contains the task.
    pub step: StepKey,
    /// Index of the task within the step, from 0.
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
        let job = parse_job_id(parts.next().unwrap_or_default())?;
        let mut parse_next = || {
            parts
                .next()
                .and_then(|part| part.parse().ok())
                .context(IdSnafu { text })
        };
        let round = parse_next()?;
        let step = parse_next()?;
        let index = parse_next()?;
        let step = StepKey { job, round, step };
        Ok(TaskKey { step, index })
    }
}
