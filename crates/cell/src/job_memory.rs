//! Memory of the jobs whose submission is in progress.
//!
//! Load that this answers: jobs of many steps while the store is slow. A step that its caller writes
//! with two characters takes the memory of all its fields from its decoding until the reply.

use std::sync::Arc;

use job::JobSpec;
use job::StepSpec;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Unit in which memory is reserved, in bytes.
const UNIT: usize = 1024;

/// Memory that a job takes for each byte of its row: the row itself, its text form in two calls to the
/// store and in one to the owner, and lists of the job that are shorter in the row.
const ROW_COPIES: usize = 8;

/// Size up to which a job may use all of the memory, in bytes; larger ones leave a quarter of it.
const SMALL_JOB: usize = 64 * 1024;

/// Memory for jobs whose submission is in progress; clones share it.
#[derive(Clone, Debug)]
pub struct JobMemory {
    free: Arc<Semaphore>,
    /// Part that only small jobs may use, in units.
    small: usize,
}

impl JobMemory {
    /// Creates a memory of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> JobMemory {
        let units = (bytes / UNIT).min(Semaphore::MAX_PERMITS);
        JobMemory {
            free: Arc::new(Semaphore::new(units)),
            small: units / 4,
        }
    }

    /// Reserves the memory of a job with a row of `row` bytes, until the permit is dropped; none if
    /// too much is in use.
    #[must_use]
    pub fn reserve(&self, spec: &JobSpec, row: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = held_bytes(spec, row);
        let units = bytes.div_ceil(UNIT);
        if bytes > SMALL_JOB && self.free.available_permits() < units + self.small {
            return None;
        }
        let units = u32::try_from(units).ok()?;
        self.free.clone().try_acquire_many_owned(units).ok()
    }
}

/// Memory that a job takes while its submission is in progress, in bytes.
#[must_use]
pub fn held_bytes(spec: &JobSpec, row: usize) -> usize {
    spec.steps.len() * size_of::<StepSpec>() + row * ROW_COPIES
}
