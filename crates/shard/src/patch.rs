//! Patches of the numbered configuration. Each version is created in one
//! transaction, so that exactly one of two concurrent patches is accepted.

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

/// Maximum number of tries of a commit whose reply is lost.
const MAX_COMMIT_TRIES: u32 = 4;

/// A patch of a numbered configuration version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id chosen by the operator; a patch with the same id is not applied
    /// twice.
    pub id: String,
    /// Version to which the patch applies.
    pub version: Version,
    /// Merge patch (RFC 7396) of the configuration.
    pub patch: Value,
}

/// Reason why a patch was refused, or why it is unknown whether it was applied.
#[derive(Debug, Snafu)]
pub enum PatchError {
    /// The patch applies to a version that is no longer current.
    #[snafu(display("made against version {against}, but version {current} is current"))]
    Stale {
        /// Version to which the patch applies.
        against: Version,
        /// Current version.
        current: Version,
    },
    /// The patched configuration would be invalid.
    #[snafu(display("{source} (version {current} stays current)"))]
    Invalid {
        /// Problem in the patched configuration.
        source: ConfigError,
        /// Current version.
        current: Version,
    },
    /// The patch id is malformed.
    #[snafu(display("id: found {found:?}, allowed: 1 to 64 letters, digits, hyphens, dots"))]
    BadId {
        /// Id of the patch.
        found: String,
    },
    /// The table failed before the patch could take effect.
    #[snafu(display("this call applied nothing: {source}"))]
    Unavailable {
        /// Error of the table.
        source: StoreError,
    },
    /// The table's reply was lost. The operator has to send the same patch with
    /// the same id again.
    #[snafu(display("may have been applied; send it again with the same id: {source}"))]
    Unknown {
        /// Error of the table.
        source: StoreError,
    },
    /// The stored document cannot be read; it was not changed.
    #[snafu(display("the stored document cannot be read: {reason}"))]
    Damaged {
        /// Row and problem.
        reason: String,
    },
}

/// Reads the current configuration and its row. Before the first patch that is
/// version 0, without a row.
///
/// # Errors
/// The table fails, or the stored document cannot be read.
pub async fn read_config<T: Table>(
    table: &T,
) -> Result<(VersionedConfig, Option<Row>), PatchError> {
    let row = table.get(CONFIG_CURRENT).await;
    let row = row.map_err(|source| PatchError::Unavailable { source })?;
    let versioned = match &row {
        Some(row) => parse(row)?,
        None => initial_config(),
    };
    Ok((versioned, row))
}

/// The configuration before the first patch.
#[must_use]
pub fn initial_config() -> VersionedConfig {
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

/// Applies a patch; one that was applied before is not applied again.
///
/// # Errors
/// See [`PatchError`]. Only with `Unknown` may the patch have been applied.
pub async fn apply_patch<T: Table>(
    table: &T,
    patch: &Patch,
) -> Result<Arc<VersionedConfig>, PatchError> {
    check_id(&patch.id)?;
    let mut failure = None;
    for _ in 0..MAX_COMMIT_TRIES {
        match try_patch(table, patch).await {
            Err(PatchError::Unknown { source }) => failure = Some(source),
            Err(PatchError::Unavailable { source }) if failure.is_some() => failure = Some(source),
            done => return done,
        }
    }
    let source = failure.unwrap_or(StoreError::Unavailable {
        reason: "no try was made".to_owned(),
    });
    Err(PatchError::Unknown { source })
}

/// Tries once to apply a patch. If a patch with this id was applied before,
/// returns the version that it has created.
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
        // Either another patch or an earlier try of this one was committed
        // first; the row of the patch id shows which.
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

/// Transaction that creates a configuration version. It fails if the current
/// document has another version than `current`, or the patch id was used.
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

/// Reads the configuration version that a patch id has created.
async fn read_applied<T: Table>(table: &T, row: &Row) -> Result<Arc<VersionedConfig>, PatchError> {
    let damaged = |reason: &str| PatchError::Damaged {
        reason: format!("{}: {reason}", row.key),
    };
    let version = row.value.parse().map_err(|_| damaged("not a number"))?;
    let created = table.get(&history_key(version)).await;
    let created = created.map_err(|source| PatchError::Unavailable { source })?;
    let created = created.ok_or_else(|| damaged("its version is not in the history"))?;
    Ok(Arc::new(parse(&created)?))
}

fn check_id(id: &str) -> Result<(), PatchError> {
    let is_plain = id
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.'));
    if is_plain && (1..=64).contains(&id.len()) {
        return Ok(());
    }
    Err(PatchError::BadId {
        found: id.to_owned(),
    })
}
