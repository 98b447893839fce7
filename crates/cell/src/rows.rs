//! Rows that a cell keeps in the store, and their encoding.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use job::CrashRecord;
use job::Epoch;
use job::IdError;
use job::IncarnationId;
use job::JobId;
use job::JobSpec;
use job::Outcome;
use job::Progress;
use job::Queue;
use job::Resources;
use job::Schedule;
use job::StepProgress;
use job::StepSpec;
use platform::RowName;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Table of accepted jobs, by job id.
pub const JOB_TABLE: &str = "jobs";

/// Table of the progress of jobs, by job id; only the owner writes it.
pub const PROGRESS_TABLE: &str = "progress";

/// Table of the ownership row, which names the owner of the pool.
pub const OWNERSHIP_TABLE: &str = "seat";

/// Table of workers that the owner may have sent tasks to, by worker id.
pub const USED_WORKER_TABLE: &str = "used";

/// Part of all rows that the owner writes, so that one transaction can write them and check the
/// ownership.
pub const OWNER_PART: &str = "owner";

/// Number of parts over which accepted jobs are spread. Each part carries out one transaction at a
/// time, which takes most of a second when the store is slow: with 8 parts, 430 of 2,500 jobs were
/// refused while it was.
const JOB_PARTS: u64 = 128;

/// Number of rows, in different parts, in which a job may be stored. The store may refuse some
/// parts and serve the others: with a fifth of the parts unavailable, a fifth of all jobs were
/// refused when a job had one possible row; with four possible rows it is one job in five hundred.
const JOB_ROWS: usize = 4;

/// Returns the name of the row to which a job is written unless the store refuses its part: the
/// first of [`job_rows`].
#[must_use]
pub fn job_row(id: JobId) -> RowName {
    job_row_at(id, 0)
}

/// Returns the names of all rows that a job may have, in the order in which they are tried. A job
/// has more than one row if its first write got no reply and was carried out late. The rows are
/// equal except for the cancellation, which counts if any of them contains it.
#[must_use]
pub fn job_rows(id: JobId) -> [RowName; JOB_ROWS] {
    std::array::from_fn(|index| job_row_at(id, index))
}

/// Returns the name of a job's row at `index`. The part of each row is derived from a hash of the
/// whole id. With parts a fixed distance apart, a job's rows became unavailable together, because
/// the store distributes its parts in a regular pattern: one job in twenty lost three rows of
/// three.
fn job_row_at(id: JobId, index: usize) -> RowName {
    let key = format!("{id:016x}");
    if index == 0 {
        return RowName::new(JOB_TABLE, &format!("j{}", id % JOB_PARTS), &key);
    }
    let key = format!("{key}.{index}");
    let part = xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % JOB_PARTS;
    RowName::new(JOB_TABLE, &format!("j{part}"), &key)
}

/// Returns the id of the job that a row of the table of jobs belongs to.
///
/// # Errors
/// Fails if the row's key is not that of a job.
pub fn job_id_of(row: &RowName) -> Result<JobId, IdError> {
    let id = row.key.split('.').next().unwrap_or_default();
    job::parse_job_id(id)
}

/// Returns the name of the row with a job's progress.
#[must_use]
pub fn progress_row(id: JobId) -> RowName {
    RowName::new(PROGRESS_TABLE, OWNER_PART, &format!("{id:016x}"))
}

/// Returns the name of the ownership row.
#[must_use]
pub fn ownership_row() -> RowName {
    RowName::new(OWNERSHIP_TABLE, OWNER_PART, "owner")
}

/// Returns the name of the row of a worker that the owner may have sent tasks to.
#[must_use]
pub fn used_worker_row(id: &str) -> RowName {
    RowName::new(USED_WORKER_TABLE, OWNER_PART, id)
}

/// Ownership of the pool, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Epoch of the owner, counted from 1; each take-over raises it.
    pub epoch: Epoch,
    /// Name of the owner's host.
    pub node: String,
    /// Random id of the owner's process, which differs at each start.
    pub incarnation: u64,
    /// Address on which peers reach the owner.
    pub address: SocketAddr,
    /// Number of renewals in this epoch.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Whether the owner has released the pool; any process may then take it at once.
    pub released: bool,
    /// Calls per second that the owner's host can make, limited by its processor and its link.
    pub calls: u32,
    /// Whether the owner cannot keep up: replies to its calls come late, or it has spent too long
    /// reading the state that the former owner left.
    #[serde(rename = "strained")]
    pub overloaded: bool,
}

/// The ownership as written by earlier versions, without `calls` and `overloaded`.
#[derive(Deserialize)]
struct LegacyOwnership {
    epoch: Epoch,
    node: String,
    incarnation: u64,
    address: SocketAddr,
    #[serde(rename = "beat")]
    renewals: u64,
    released: bool,
}

/// A worker that the owner may have sent tasks to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsedWorker {
    /// Service whose pool the worker belongs to.
    pub service: String,
    /// Address on which the worker takes commands.
    pub address: SocketAddr,
    /// Capacity of the worker; zero if it is unknown.
    pub capacity: Resources,
    /// Kind and rack of the worker.
    pub labels: Vec<String>,
    /// Incarnation of the worker; `None` if it is unknown.
    #[serde(rename = "life")]
    pub incarnation: Option<IncarnationId>,
    /// Smallest share of its own largest capacity that any worker of the pool has had when the row
    /// was written, from 0 to 1.
    #[serde(rename = "share")]
    pub smallest_share: f64,
}

impl UsedWorker {
    /// Returns the smallest share, or 1 if the stored one is no share.
    #[must_use]
    pub fn share(&self) -> f64 {
        let is_share = (0.0..=1.0).contains(&self.smallest_share);
        if is_share { self.smallest_share } else { 1.0 }
    }
}

/// Decodes the row of the ownership, including one of an earlier version.
///
/// # Errors
/// Fails if the bytes are not such a row.
pub fn decode_ownership(bytes: &[u8]) -> Result<Ownership, postcard::Error> {
    decode_row::<Ownership>(bytes).or_else(|_| {
        let legacy = decode_row::<LegacyOwnership>(bytes)?;
        Ok(Ownership {
            epoch: legacy.epoch,
            node: legacy.node,
            incarnation: legacy.incarnation,
            address: legacy.address,
            renewals: legacy.renewals,
            released: legacy.released,
            calls: 0,
            overloaded: false,
        })
    })
}

/// A worker's row as written by an earlier version, without the smallest share.
#[derive(Deserialize)]
struct UsedWorkerWithoutShare {
    service: String,
    address: SocketAddr,
    capacity: Resources,
    labels: Vec<String>,
    incarnation: Option<IncarnationId>,
}

/// A worker's row as written by an earlier version, without the incarnation. An even earlier
/// version had no capacity and no labels either, see [`LegacyWorkerAddress`].
#[derive(Deserialize)]
struct LegacyUsedWorker {
    service: String,
    address: SocketAddr,
    capacity: Resources,
    labels: Vec<String>,
}

#[derive(Deserialize)]
struct LegacyWorkerAddress {
    service: String,
    address: SocketAddr,
}

/// Encodes a row's value.
pub fn encode_row<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding fails only for types that postcard does not support. These rows are plain structs,
    // which the tests in `tests/rows.rs` encode.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Decodes a row's value.
///
/// # Errors
/// Fails if the bytes are not such a value.
pub fn decode_row<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}

/// Decodes a row of a used worker, including one of an earlier version, which has no smallest
/// share, and perhaps no incarnation and no capacity.
///
/// # Errors
/// Fails if the bytes are not such a row.
pub fn decode_used_worker(bytes: &[u8]) -> Result<UsedWorker, postcard::Error> {
    if let Ok(worker) = decode_row::<UsedWorker>(bytes) {
        return Ok(worker);
    }
    if let Ok(legacy) = decode_row::<UsedWorkerWithoutShare>(bytes) {
        return Ok(UsedWorker {
            service: legacy.service,
            address: legacy.address,
            capacity: legacy.capacity,
            labels: legacy.labels,
            incarnation: legacy.incarnation,
            smallest_share: 1.0,
        });
    }
    if let Ok(legacy) = decode_row::<LegacyUsedWorker>(bytes) {
        return Ok(UsedWorker {
            service: legacy.service,
            address: legacy.address,
            capacity: legacy.capacity,
            labels: legacy.labels,
            incarnation: None,
            smallest_share: 1.0,
        });
    }
    let LegacyWorkerAddress { service, address } = decode_row(bytes)?;
    Ok(UsedWorker {
        service,
        address,
        capacity: Resources::default(),
        labels: Vec::new(),
        incarnation: None,
        smallest_share: 1.0,
    })
}

/// Beginning of the rows of a job that was rejected. It is not that of a row of a job in any version.
const REJECTION_MARK: &[u8] = b"\xffrejected";

/// Returns the value of the rows of a job that was rejected: a write of the job that was sent before, and
/// is carried out late, finds a row and fails. `attempt` identifies the request.
#[must_use]
pub fn rejection_mark(attempt: u64) -> Vec<u8> {
    [REJECTION_MARK, &attempt.to_be_bytes()].concat()
}

/// Returns whether the value of a row marks a job as rejected.
#[must_use]
pub fn is_rejection_mark(value: &[u8]) -> bool {
    value.starts_with(REJECTION_MARK)
}

/// A job's row as written by earlier versions, without the organisation.
#[derive(Deserialize)]
struct LegacyJobSpec {
    queue: Queue,
    payload: String,
    steps: Vec<StepSpec>,
    schedule: Option<Schedule>,
    received: Duration,
    canceled: bool,
}

/// Decodes the row of an accepted job, including one of an earlier version, which has no
/// organisation.
///
/// # Errors
/// Fails if the bytes are not such a row.
pub fn decode_job_row(bytes: &[u8]) -> Result<JobSpec, postcard::Error> {
    if let Ok(job) = decode_row::<JobSpec>(bytes) {
        return Ok(job);
    }
    let legacy = decode_row::<LegacyJobSpec>(bytes)?;
    Ok(JobSpec {
        queue: legacy.queue,
        payload: legacy.payload,
        steps: legacy.steps,
        schedule: legacy.schedule,
        received: legacy.received,
        canceled: legacy.canceled,
        organisation: None,
    })
}

/// A job's progress as written by earlier versions, without placements. Even earlier versions wrote
/// no crashes either, see [`ProgressWithoutCrashes`].
#[derive(Deserialize)]
struct LegacyProgress {
    outcome: Option<Outcome>,
    steps: BTreeMap<(u32, u32), StepProgress>,
    crashes: BTreeMap<(u32, u32, u32), CrashRecord>,
}

#[derive(Deserialize)]
struct ProgressWithoutCrashes {
    outcome: Option<Outcome>,
    steps: BTreeMap<(u32, u32), StepProgress>,
}

/// Decodes a row of a job's progress, including one of an earlier version.
///
/// # Errors
/// Fails if the bytes are not such a row.
pub fn decode_progress(bytes: &[u8]) -> Result<Progress, postcard::Error> {
    if let Ok(progress) = decode_row::<Progress>(bytes) {
        return Ok(progress);
    }
    if let Ok(legacy) = decode_row::<LegacyProgress>(bytes) {
        return Ok(Progress {
            outcome: legacy.outcome,
            steps: legacy.steps,
            crashes: legacy.crashes,
            ..Progress::default()
        });
    }
    let ProgressWithoutCrashes { outcome, steps } = decode_row(bytes)?;
    Ok(Progress {
        outcome,
        steps,
        ..Progress::default()
    })
}

/// Value of the guard row: each transaction of the owner requires that this row is unchanged, and
/// writes it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Epoch of the owner that wrote the row.
    pub epoch: Epoch,
    /// Random id of the owner's process, which differs at each start.
    pub incarnation: u64,
}

/// Returns the name of the guard row.
#[must_use]
pub fn guard_row() -> RowName {
    RowName::new("guard", OWNER_PART, "owner")
}
