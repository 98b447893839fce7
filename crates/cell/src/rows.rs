//! Rows that the project keeps in the store, and their encoding.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use job::Epoch;
use job::IdError;
use job::JobId;
use job::LifeId;
use job::Outcome;
use job::Progress;
use job::Room;
use job::StepProgress;
use platform::RowName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Accepted jobs, by id.
pub const JOB_TABLE: &str = "jobs";

/// Progress of jobs, by id; written by the owner alone.
pub const PROGRESS_TABLE: &str = "progress";

/// The owner of the pool.
pub const OWNERSHIP_TABLE: &str = "seat";

/// Workers that the owner may have given work to, by worker id.
pub const USED_TABLE: &str = "used";

/// Part that holds all that the owner writes, so that one transaction can
/// write it and check the ownership.
pub const OWNER_PART: &str = "owner";

/// Parts over which accepted jobs are spread. A part does one transaction after
/// another. When the store is slow, one takes most of a second; with 8 parts,
/// 430 of 2,500 jobs of such a day were turned away.
const JOB_PARTS: u64 = 128;

/// Places that a job's row may have. The store may refuse some of its parts and
/// serve the others: with a fifth of them away, one index turned away a fifth of
/// all jobs for as long; four places turn away one in five hundred.
const JOB_ROWS: usize = 4;

/// Name of the row of a job: the first of its places.
#[must_use]
pub fn job_row(id: JobId) -> RowName {
    job_row_at(id, 0)
}

/// Names of all rows that a job may have, the usual one first. A job may have
/// more than one: its first write got no answer and was done late. They say the
/// same, but for the cancel, which counts if any of them has it.
#[must_use]
pub fn job_rows(id: JobId) -> [RowName; JOB_ROWS] {
    std::array::from_fn(|index| job_row_at(id, index))
}

/// The parts of a job's places depend on its whole id: a fixed distance apart,
/// they were away together, since the store deals its parts in a pattern of its
/// own (one job in twenty had three places away of three).
fn job_row_at(id: JobId, index: usize) -> RowName {
    let key = format!("{id:016x}");
    if index == 0 {
        return RowName::new(JOB_TABLE, &format!("j{}", id % JOB_PARTS), &key);
    }
    let key = format!("{key}.{index}");
    let part = xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % JOB_PARTS;
    RowName::new(JOB_TABLE, &format!("j{part}"), &key)
}

/// The job that a row of the table of jobs is of.
///
/// # Errors
/// The key is none that a job's row has.
pub fn job_id_of(row: &RowName) -> Result<JobId, IdError> {
    let id = row.key.split('.').next().unwrap_or_default();
    job::parse_job(id)
}

/// Name of the row of a job's progress.
#[must_use]
pub fn progress_row(id: JobId) -> RowName {
    RowName::new(PROGRESS_TABLE, OWNER_PART, &format!("{id:016x}"))
}

/// Name of the row that says who owns the pool.
#[must_use]
pub fn ownership_row() -> RowName {
    RowName::new(OWNERSHIP_TABLE, OWNER_PART, "owner")
}

/// Name of the row of a worker that the owner may have given work to.
#[must_use]
pub fn used_row(id: &str) -> RowName {
    RowName::new(USED_TABLE, OWNER_PART, id)
}

/// Who owns the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Number of the ownership, from 1.
    pub epoch: Epoch,
    /// Host of the owner.
    pub node: String,
    /// Run of the owner's process.
    pub incarnation: u64,
    /// Where peers reach the owner.
    pub address: SocketAddr,
    /// Rises with each renewal.
    pub beat: u64,
    /// The owner has given up the pool; anyone may take it at once.
    pub released: bool,
    /// Calls a second that the owner's host can make, by its processor and its link.
    pub calls: u32,
    /// The owner cannot keep up: its calls are answered late, or it has read for long
    /// what a predecessor left.
    pub strained: bool,
}

/// What legacy versions wrote of the ownership.
#[derive(Deserialize)]
struct LegacyOwnership {
    epoch: Epoch,
    node: String,
    incarnation: u64,
    address: SocketAddr,
    beat: u64,
    released: bool,
}

/// A worker that the owner may have given work to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsedWorker {
    /// Pool that it belongs to.
    pub service: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Processors, memory and accelerators in all; nothing if not known.
    pub capacity: Room,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// Its incarnation; nothing if not known.
    pub incarnation: Option<LifeId>,
}

/// Decodes the row of the ownership, also one of an legacy version.
///
/// # Errors
/// The bytes are no such row.
pub fn decode_ownership(bytes: &[u8]) -> Result<Ownership, postcard::Error> {
    decode_row::<Ownership>(bytes).or_else(|_| {
        let legacy = decode_row::<LegacyOwnership>(bytes)?;
        Ok(Ownership {
            epoch: legacy.epoch,
            node: legacy.node,
            incarnation: legacy.incarnation,
            address: legacy.address,
            beat: legacy.beat,
            released: legacy.released,
            calls: 0,
            strained: false,
        })
    })
}

/// What legacy versions wrote of such a worker: without its incarnation, or without its size.
#[derive(Deserialize)]
struct LegacyUsedWorker {
    service: String,
    address: SocketAddr,
    capacity: Room,
    labels: Vec<String>,
}

#[derive(Deserialize)]
struct LegacyWorkerAddress {
    service: String,
    address: SocketAddr,
}

/// Encodes a row's value.
pub fn encode_row<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding fails only for types that postcard does not support; ours are
    // plain structs, which the tests of this module encode.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Decodes a row's value.
///
/// # Errors
/// The bytes are not such a value.
pub fn decode_row<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}

/// Decodes a row of a worker in use, also one of an legacy version, which does
/// not tell its incarnation, or its size.
///
/// # Errors
/// The bytes are no such row.
pub fn decode_used(bytes: &[u8]) -> Result<UsedWorker, postcard::Error> {
    if let Ok(worker) = decode_row::<UsedWorker>(bytes) {
        return Ok(worker);
    }
    if let Ok(legacy) = decode_row::<LegacyUsedWorker>(bytes) {
        return Ok(UsedWorker {
            service: legacy.service,
            address: legacy.address,
            capacity: legacy.capacity,
            labels: legacy.labels,
            incarnation: None,
        });
    }
    let LegacyWorkerAddress { service, address } = decode_row(bytes)?;
    Ok(UsedWorker {
        service,
        address,
        capacity: Room::default(),
        labels: Vec::new(),
        incarnation: None,
    })
}

/// What legacy versions wrote of a job's progress: without crashes.
#[derive(Deserialize)]
struct LegacyProgress {
    outcome: Option<Outcome>,
    steps: BTreeMap<(u32, u32), StepProgress>,
}

/// Decodes a row of a job's progress, also one of an legacy version.
///
/// # Errors
/// The bytes are no such row.
pub fn decode_progress(bytes: &[u8]) -> Result<Progress, postcard::Error> {
    decode_row::<Progress>(bytes).or_else(|_| {
        let LegacyProgress { outcome, steps } = decode_row(bytes)?;
        Ok(Progress {
            outcome,
            steps,
            ..Progress::default()
        })
    })
}

/// Row that each write of the owner is conditional on, and changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Number of the ownership.
    pub epoch: Epoch,
    /// Run of the owner's process.
    pub incarnation: u64,
}

/// Name of the row that guards the owner's writes.
#[must_use]
pub fn guard_row() -> RowName {
    RowName::new("guard", OWNER_PART, "owner")
}
