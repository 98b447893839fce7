//! Rows of the platform's table that say who owns what.

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

/// Version of the format of all rows; a process leaves other formats alone.
pub const FORMAT: u16 = 1;

/// Prefix of the rows that every process reads again and again.
pub const CELL_PREFIX: &str = "cell/";

/// Prefix of the lease rows.
pub const LEASE_PREFIX: &str = "cell/lease/";

/// Prefix of the shard rows.
pub const SHARD_PREFIX: &str = "cell/shard/";

/// Row with the number of the newest configuration document.
pub const CONFIG_HEAD: &str = "cell/config";

/// Row with the newest configuration document.
pub const CONFIG_CURRENT: &str = "config/current";

/// Row with the facts that all processes of a cell must share.
pub const CELL_PARAMS: &str = "cell/facts";

/// Key of a process's lease.
#[must_use]
pub fn lease_key(process: &str) -> String {
    format!("{LEASE_PREFIX}{process}")
}

/// Key of what never changes about a process run.
#[must_use]
pub fn member_key(process: &str) -> String {
    format!("member/{process}")
}

/// Key of a shard's row.
#[must_use]
pub fn shard_key(shard: ShardId) -> String {
    format!("{SHARD_PREFIX}{shard:04}")
}

/// Key of the list of a shard's workers.
#[must_use]
pub fn assign_key(shard: ShardId) -> String {
    format!("assign/{shard:04}")
}

/// Key of an older configuration document.
#[must_use]
pub fn history_key(version: Version) -> String {
    format!("config/history/{version:012}")
}

/// Key under which a patch id is remembered.
#[must_use]
pub fn patch_key(id: &str) -> String {
    format!("config/patch/{id}")
}

/// Whether a process takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// Takes shards.
    Live,
    /// Hands its shards over and stops.
    Leaving,
    /// Another process saw it stand still for the whole TTL. Its owner may
    /// renew it again; what was not taken from it meanwhile it keeps.
    Expired,
}

/// A process's lease, renewed by the process, expired by any other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Format of the row.
    pub format: u16,
    /// Whether it takes part.
    pub state: LeaseState,
    /// Grows with each renewal.
    pub counter: u64,
    /// Configuration version in force there.
    pub config: Version,
}

/// What never changes about a process run. It is kept apart from the lease,
/// which every process reads twice a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Format of the row.
    pub format: u16,
    /// Name of the process in its settings.
    pub name: String,
    /// Where the other processes reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: String,
}

/// Who owns a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Format of the row.
    pub format: u16,
    /// Process run that owns it.
    pub owner: Incarnation,
    /// Grows with each change of the row.
    pub epoch: Epoch,
}

/// Drawn at random when a cell is made.
pub type CellId = u64;

/// Facts fixed when the cell was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellParams {
    /// Format of the row.
    pub format: u16,
    /// Number of shards.
    pub shards: u16,
    /// Tells the cell apart from all others; 0 if it was made by an earlier version.
    #[serde(default)]
    pub cell: CellId,
}

/// One worker of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedWorker {
    /// Name in the host list.
    pub worker: WorkerId,
    /// How often it was assigned to a shard; the newest assignment fences
    /// the earlier ones.
    pub assigned: u64,
}

/// Workers of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignRow {
    /// Format of the row.
    pub format: u16,
    /// Its workers, sorted by name.
    pub workers: Vec<AssignedWorker>,
}

/// A row that carries the version of its format.
pub trait Formatted {
    /// Version of the format.
    fn format(&self) -> u16;
}

macro_rules! formatted {
    ($($row:ty),*) => {
        $(impl Formatted for $row {
            fn format(&self) -> u16 {
                self.format
            }
        })*
    };
}

formatted!(LeaseRow, MemberRow, ShardRow, CellParams, AssignRow);

/// Text of a row.
#[must_use]
pub fn encode_row<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

/// Reads a row.
///
/// # Errors
/// The row is damaged or of a format that this version does not know.
pub fn decode_row<T: DeserializeOwned + Formatted>(row: &Row) -> Result<T, ShardError> {
    let damaged = |reason: String| ShardError::Damaged {
        key: row.key.clone(),
        reason,
    };
    let parsed: T = serde_json::from_str(&row.value).map_err(|e| damaged(e.to_string()))?;
    if parsed.format() != FORMAT {
        let found = parsed.format();
        return Err(damaged(format!(
            "format {found}, this version knows {FORMAT}"
        )));
    }
    Ok(parsed)
}
