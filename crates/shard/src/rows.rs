//! Rows of the platform's table that record leases, members, shard owners and
//! worker lists.

use std::net::SocketAddr;

use model::Epoch;
use model::Incarnation;
use model::ShardId;
use model::Version;
use model::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::Row;

use crate::ShardError;

/// Format version of all rows; a process does not touch rows of other formats.
pub const FORMAT: u16 = 1;

/// Prefix of the rows that every process reads at each tick.
pub const CELL_PREFIX: &str = "cell/";

/// Prefix of the lease rows.
pub const LEASE_PREFIX: &str = "cell/lease/";

/// Prefix of the shard rows.
pub const SHARD_PREFIX: &str = "cell/shard/";

/// Key of the row with the newest configuration version.
pub const CONFIG_HEAD: &str = "cell/config";

/// Key of the row with the newest configuration document.
pub const CONFIG_CURRENT: &str = "config/current";

/// Key of the row with the parameters that all processes of a cell share.
pub const CELL_PARAMS: &str = "cell/facts";

/// Key of a process's lease row.
#[must_use]
pub fn lease_key(process: &str) -> String {
    format!("{LEASE_PREFIX}{process}")
}

/// Key of the row with a process incarnation's constant properties.
#[must_use]
pub fn member_key(process: &str) -> String {
    format!("member/{process}")
}

/// Key of a shard's row.
#[must_use]
pub fn shard_key(shard: ShardId) -> String {
    format!("{SHARD_PREFIX}{shard:04}")
}

/// Key of a shard's worker list.
#[must_use]
pub fn assign_key(shard: ShardId) -> String {
    format!("assign/{shard:04}")
}

/// Key of an older configuration document.
#[must_use]
pub fn history_key(version: Version) -> String {
    format!("config/history/{version:012}")
}

/// Key of the row that records that a patch id was applied.
#[must_use]
pub fn patch_key(id: &str) -> String {
    format!("config/patch/{id}")
}

/// State of a process's membership in the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The process takes shards.
    Live,
    /// The process releases its shards to their next owners and stops.
    Leaving,
    /// Another process found the lease unchanged for the whole TTL and marked
    /// it. The owner of the lease may renew it again; it keeps the shards that
    /// nobody has claimed meanwhile.
    Expired,
}

/// A process's lease; renewed by the process itself, expired by any other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Format version of the row.
    pub format: u16,
    /// State of the process's membership.
    pub state: LeaseState,
    /// Grows with each renewal.
    pub counter: u64,
    /// Configuration version in force in the process.
    pub config: Version,
}

/// Constant properties of a process incarnation. Kept apart from the lease row,
/// which every process reads twice a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Format version of the row.
    pub format: u16,
    /// Name of the process in its settings.
    pub name: String,
    /// Address for calls from other processes.
    pub peer: SocketAddr,
    /// Address for HTTP requests of callers.
    pub http: SocketAddr,
    /// Failure domain of the process.
    pub domain: String,
}

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Format version of the row.
    pub format: u16,
    /// Incarnation of the process that owns the shard.
    pub owner: Incarnation,
    /// Grows with each change of owner.
    pub epoch: Epoch,
}

/// Id of a cell, chosen at random when the cell is created.
pub type CellId = u64;

/// Parameters fixed when the cell was created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellParams {
    /// Format version of the row.
    pub format: u16,
    /// Number of shards.
    pub shards: u16,
    /// Id of the cell; 0 if the cell was created by an earlier version of the
    /// program.
    #[serde(default)]
    pub cell: CellId,
}

/// One worker of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedWorker {
    /// Id of the worker in the host list.
    pub worker: WorkerId,
    /// Assignment number; a later assignment has a higher one and fences the
    /// earlier ones.
    pub assigned: u64,
}

/// Worker list of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignRow {
    /// Format version of the row.
    pub format: u16,
    /// The shard's workers, sorted by id.
    pub workers: Vec<AssignedWorker>,
}

/// A row or object that contains its format version.
pub trait Formatted {
    /// Format version of the row.
    fn format(&self) -> u16;
}

macro_rules! impl_formatted {
    ($($row:ty),*) => {
        $(impl Formatted for $row {
            fn format(&self) -> u16 {
                self.format
            }
        })*
    };
}

impl_formatted!(LeaseRow, MemberRow, ShardRow, CellParams, AssignRow);

/// Encodes a row as JSON.
#[must_use]
pub fn encode_row<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

/// Decodes a row.
///
/// # Errors
/// The row is damaged, or its format version is unknown to this version of the
/// program.
pub fn decode_row<T: DeserializeOwned + Formatted>(row: &Row) -> Result<T, ShardError> {
    let damaged = |reason: String| ShardError::Damaged {
        key: row.key.clone(),
        reason,
    };
    let parsed: T = serde_json::from_str(&row.value).map_err(|e| damaged(e.to_string()))?;
    if parsed.format() != FORMAT {
        let found = parsed.format();
        return Err(damaged(format!(
            "format version {found}, expected {FORMAT}"
        )));
    }
    Ok(parsed)
}
