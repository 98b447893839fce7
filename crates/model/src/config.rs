//! The cell's versioned configuration document, which operators patch.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;

use crate::Resources;
use crate::TeamId;
use crate::TeamShards;
use crate::Version;
use crate::WorkerId;

/// Maximum size of the configuration document, in bytes of JSON.
pub const MAX_CONFIG_BYTES: usize = 256 * 1024;

/// Limits that apply to one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Maximum resources of the team's running tasks in the whole cell.
    pub quota: Resources,
    /// Number of shards over which the team is spread, fixed when the team is
    /// created. 0 in the patch that creates the team selects the default: one
    /// shard per 8 slots of the quota, but at least one.
    #[serde(default)]
    pub span: u16,
    /// Maximum number of the team's requests that wait in the queue of one shard.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

/// Number of slots of a team's quota for each shard of its default span.
const SLOTS_PER_SHARD: u32 = 8;

fn default_span(slots: u32) -> u16 {
    u16::try_from(slots / SLOTS_PER_SHARD)
        .unwrap_or(u16::MAX)
        .max(1)
}

fn default_queue() -> u32 {
    4096
}

/// Limits and policies that apply to the whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Maximum power of all running tasks, in watts.
    pub site_watts: u32,
    /// Maximum power of the running tasks in one rack, in watts.
    pub rack_watts: u32,
    /// Teams that may submit requests, by name.
    pub teams: BTreeMap<TeamId, Team>,
    /// Workers that receive no new tasks, and whose batch tasks are stopped with
    /// a checkpoint and continue on another worker.
    #[serde(default)]
    pub drained: BTreeSet<WorkerId>,
    /// Placement preference, in percent. Of the workers on which a task fits, 0
    /// prefers the least loaded one, for short waiting times, and 100 the most
    /// loaded one, for tight packing; 50 ignores the load.
    #[serde(default)]
    pub pack_percent: u32,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            site_watts: 1_000_000,
            rack_watts: 1_000_000,
            teams: BTreeMap::new(),
            drained: BTreeSet::new(),
            pack_percent: 0,
        }
    }
}

/// Reason why a patch of the configuration document was rejected.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum ConfigError {
    /// The patched document cannot be parsed.
    #[snafu(display("the patched document is invalid: {reason}"))]
    Malformed {
        /// Error message of the parser.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[snafu(display("{field}: found {found}, allowed: {allowed}"))]
    InvalidField {
        /// Path of the field in the document.
        field: String,
        /// Value of the field.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl Config {
    /// Applies a JSON merge patch (RFC 7396) and validates the resulting document.
    ///
    /// # Errors
    /// The resulting document is too large, cannot be parsed, has a field with a
    /// value that is not allowed, or changes the span of an existing team.
    pub fn patched(&self, patch: &Value) -> Result<Config, ConfigError> {
        let mut document = serde_json::to_value(self).unwrap_or(Value::Null);
        json_patch::merge(&mut document, patch);
        let size = document.to_string().len();
        check(
            "document",
            &size,
            size <= MAX_CONFIG_BYTES,
            "at most 262144 bytes",
        )?;
        let mut config: Config =
            serde_json::from_value(document).map_err(|error| ConfigError::Malformed {
                reason: error.to_string(),
            })?;
        config.check()?;
        config.check_spans(self)?;
        for team in config.teams.values_mut().filter(|team| team.span == 0) {
            team.span = default_span(team.quota.slots);
        }
        Ok(config)
    }

    /// Rejects a change of the span of an existing team. With another span, the
    /// retry of a request would be routed to another shard, which has no record
    /// of the request and would run it again.
    fn check_spans(&self, previous_config: &Config) -> Result<(), ConfigError> {
        for (name, team) in &self.teams {
            let previous = previous_config
                .teams
                .get(name)
                .map(|previous| previous.span);
            let Some(previous) = previous else {
                continue;
            };
            let field = format!("teams.{name}.span");
            let allowed = format!("{previous}, as the team was made");
            check(&field, &team.span, team.span == previous, &allowed)?;
        }
        Ok(())
    }

    /// Returns the shards of a team in a cell of `shards` shards; none if the team
    /// does not exist.
    #[must_use]
    pub fn team_shards(&self, team: &str, shards: u16) -> Option<TeamShards> {
        let team_limits = self.teams.get(team)?;
        Some(TeamShards::new(team, team_limits.span, shards))
    }

    /// Validates every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), ConfigError> {
        check(
            "pack_percent",
            &self.pack_percent,
            self.pack_percent <= 100,
            "0 to 100",
        )?;
        let valid_rack = self.rack_watts <= self.site_watts;
        check(
            "rack_watts",
            &self.rack_watts,
            valid_rack,
            "at most site_watts",
        )?;
        for (name, team) in &self.teams {
            let valid_chars = name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            let valid_name = valid_chars && (1..=64).contains(&name.len());
            check(
                "teams",
                name,
                valid_name,
                "names of 1 to 64 letters, digits and hyphens",
            )?;
            let field = format!("teams.{name}.queue");
            check(
                &field,
                &team.queue,
                (1..=100_000).contains(&team.queue),
                "1 to 100000",
            )?;
        }
        Ok(())
    }
}

fn check(
    field: &str,
    found: &impl std::fmt::Display,
    valid: bool,
    allowed: &str,
) -> Result<(), ConfigError> {
    if valid {
        return Ok(());
    }
    Err(ConfigError::InvalidField {
        field: field.to_owned(),
        found: found.to_string(),
        allowed: allowed.to_owned(),
    })
}

/// A configuration document with its version number and the id of the patch
/// that produced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version number of the document; 0 before the first patch.
    pub version: Version,
    /// Id of the patch, chosen by the operator.
    pub patch_id: String,
    /// Content of the document.
    pub config: Config,
}
