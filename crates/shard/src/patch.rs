//! Patches of the numbered configuration: one transaction makes the next
//! version, so of two racing patches exactly one is accepted.

use std::sync::Arc;

use model::Config;
use model::ConfigError;
use model::Version;
use model::VersionedConfig;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;
use store::Commit;
use store::CommitOutcome;
use store::Row;
use store::StoreError;
use store::Table;

use crate::CONFIG_CURRENT;
use crate::CONFIG_HEAD;
use crate::encode_row;
use crate::history_key;
use crate::patch_key;

/// Tries of a commit whose answer was lost.
const TRIES: u32 = 4;

/// A patch against a numbered version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Chosen by the operator; the same id is never applied twice.
    pub id: String,
    /// Version that it was made against.
    pub version: Version,
    /// Merge patch (RFC 7396).
    pub patch: Value,
}

/// Why a patch was refused, or is not known to be accepted.
#[derive(Debug, Snafu)]
pub enum PatchError {
    /// Another patch came first.
    #[snafu(display("made against version {against}, but version {current} is current"))]
    Stale {
        /// Version that it was made against.
        against: Version,
        /// Version that is current.
        current: Version,
    },
    /// The result would be invalid.
    #[snafu(display("{source} (version {current} stays current)"))]
    Invalid {
        /// What is wrong.
        source: ConfigError,
        /// Version that is current.
        current: Version,
    },
    /// The patch id is unusable.
    #[snafu(display("id: found {found:?}, allowed: 1 to 64 letters, digits, hyphens, dots"))]
    BadId {
        /// The id.
        found: String,
    },
    /// The table failed before anything could take effect.
    #[snafu(display("this call applied nothing: {source}"))]
    Unavailable {
        /// Its error.
        source: StoreError,
    },
    /// The answer was lost. Send the same patch with the same id again.
    #[snafu(display("may have been applied; send it again with the same id: {source}"))]
    Unknown {
        /// Its error.
        source: StoreError,
    },
    /// The stored document cannot be read; it was left as it is.
    #[snafu(display("the stored document cannot be read: {reason}"))]
    Damaged {
        /// What is wrong.
        reason: String,
    },
}

/// Reads the newest document; version 0 before the first patch.
///
/// # Errors
/// The table fails, or the document cannot be read.
pub async fn read_config<T: Table>(
    table: &T,
) -> Result<(VersionedConfig, Option<Row>), PatchError> {
    let row = table.get(CONFIG_CURRENT).await;
    let row = row.map_err(|source| PatchError::Unavailable { source })?;
    let numbered = match &row {
        Some(row) => parse(row)?,
        None => first_config(),
    };
    Ok((numbered, row))
}

/// The document before the first patch.
#[must_use]
pub fn first_config() -> VersionedConfig {
    VersionedConfig {
        version: 0,
        patch_id: String::new(),
        config: Config::default(),
    }
}

fn parse(row: &Row) -> Result<VersionedConfig, PatchError> {
    serde_json::from_str(&row.value).map_err(|error| PatchError::Damaged {
        reason: format!("{}: {error}", row.key),
    })
}

/// Applies a patch, or finds that it was applied before.
///
/// # Errors
/// See [`PatchError`]; only `Unknown` leaves open whether it was applied.
pub async fn apply_patch<T: Table>(
    table: &T,
    patch: &Patch,
) -> Result<Arc<VersionedConfig>, PatchError> {
    check_id(&patch.id)?;
    let mut lost = None;
    for _ in 0..TRIES {
        match try_patch(table, patch).await {
            Err(PatchError::Unknown { source }) => lost = Some(source),
            Err(PatchError::Unavailable { source }) if lost.is_some() => lost = Some(source),
            done => return done,
        }
    }
    let source = lost.unwrap_or(StoreError::Unavailable {
        reason: "no try was made".to_owned(),
    });
    Err(PatchError::Unknown { source })
}

async fn try_patch<T: Table>(table: &T, patch: &Patch) -> Result<Arc<VersionedConfig>, PatchError> {
    let unavailable = |source| PatchError::Unavailable { source };
    if let Some(row) = table
        .get(&patch_key(&patch.id))
        .await
        .map_err(unavailable)?
    {
        return read_applied(table, &row).await;
    }
    let (current, row) = read_config(table).await?;
    if current.version != patch.version {
        return Err(PatchError::Stale {
            against: patch.version,
            current: current.version,
        });
    }
    let config = current.config.patched(&patch.patch);
    let config = config.map_err(|source| PatchError::Invalid {
        source,
        current: current.version,
    })?;
    let next = VersionedConfig {
        version: current.version + 1,
        patch_id: patch.id.clone(),
        config,
    };
    let commit = patch_commit(&next, row.map_or(0, |row| row.version));
    match table.commit(&commit).await {
        Ok(CommitOutcome::Done(_)) => Ok(Arc::new(next)),
        // Either another patch won, or an earlier try of this one: the next
        // try finds out by the id.
        Ok(CommitOutcome::Conflict(_)) => {
            let row = table
                .get(&patch_key(&patch.id))
                .await
                .map_err(unavailable)?;
            match row {
                Some(row) => read_applied(table, &row).await,
                None => Err(PatchError::Stale {
                    against: patch.version,
                    current: read_config(table).await?.0.version,
                }),
            }
        }
        Err(source @ StoreError::Unknown { .. }) => Err(PatchError::Unknown { source }),
        Err(source) => Err(unavailable(source)),
    }
}

fn patch_commit(next: &VersionedConfig, current: store::RowVersion) -> Commit {
    let text = encode_row(next);
    let version = next.version.to_string();
    Commit::default()
        .check(CONFIG_CURRENT, current)
        .check(patch_key(&next.patch_id), 0)
        .put(CONFIG_CURRENT, text.clone())
        .put(CONFIG_HEAD, version.clone())
        .put(history_key(next.version), text)
        .put(patch_key(&next.patch_id), version)
}

/// The document that a patch id made.
async fn read_applied<T: Table>(table: &T, row: &Row) -> Result<Arc<VersionedConfig>, PatchError> {
    let damaged = |reason: &str| PatchError::Damaged {
        reason: format!("{}: {reason}", row.key),
    };
    let version = row.value.parse().map_err(|_| damaged("not a number"))?;
    let made = table.get(&history_key(version)).await;
    let made = made.map_err(|source| PatchError::Unavailable { source })?;
    let made = made.ok_or_else(|| damaged("its version is not in the history"))?;
    Ok(Arc::new(parse(&made)?))
}

fn check_id(id: &str) -> Result<(), PatchError> {
    let plain = id
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.'));
    if plain && (1..=64).contains(&id.len()) {
        return Ok(());
    }
    Err(PatchError::BadId {
        found: id.to_owned(),
    })
}
