//! Settings of a process: read from a YAML file and validated.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use entry::Token;
use serde::Deserialize;
use serde::Serialize;
use shard::Timing;
use snafu::ResultExt;

use crate::DaemonError;
use crate::error::ReadSnafu;

/// Settings of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process: unique in the cell, and the same after a restart.
    pub name: String,
    /// Failure domain of the process.
    pub domain: String,
    /// Settings that all processes of the cell share.
    pub cell: CellSettings,
    /// HTTP interface for callers and operators.
    pub http: HttpSettings,
    /// Transport between the processes of the cell.
    pub peer: PeerSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Durations of leases and of stored answers.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Access tokens of callers and operators.
    #[serde(default)]
    pub tokens: Vec<Token>,
}

/// Settings of the cell, the same for all its processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Number of shards, fixed when the first process of the cell starts.
    pub shards: u16,
    /// Writes per second that the table accepts from the whole cell.
    pub write_rate: u32,
}

/// HTTP interface for callers and operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Maximum number of open connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Maximum number of requests in flight for each team.
    #[serde(default = "default_flight")]
    pub in_flight: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body")]
    pub body_bytes: usize,
    /// Maximum size of a request head (request line and headers), in bytes.
    #[serde(default = "default_head")]
    pub head_bytes: usize,
    /// Idle timeout of a connection, in milliseconds.
    #[serde(default = "default_idle")]
    pub idle_millis: u64,
    /// Time for a client to send a request body, in milliseconds.
    #[serde(default = "default_receive")]
    pub receive_millis: u64,
    /// Memory for the request bodies of all connections together, in bytes; if it is not set,
    /// [`DEFAULT_MEMORY_BYTES`], or room for two bodies of the largest size if they need more.
    #[serde(default)]
    pub memory_bytes: Option<usize>,
}

/// Transport between the processes of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Address at which the other processes reach this one; `listen` if not set.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Folder with the key and certificate files of the transport.
    pub keys: PathBuf,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table, a transactional key-value store.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list, which names the workers.
    pub hosts: SocketAddr,
    /// Timeout of one call to any of these services, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_millis: u64,
}

/// Durations of leases and of stored answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Time without a renewal of the process's lease after which another process takes its
    /// shards over, in milliseconds.
    pub ttl_millis: u64,
    /// Interval between renewals of the lease, in milliseconds.
    pub renew_millis: u64,
    /// Time from the start of a successful renewal for which the process may act as the owner of
    /// its shards, in milliseconds. Shorter than `ttl_millis`, so that the process has stopped
    /// acting before a successor starts.
    pub hold_millis: u64,
    /// Lease of the tasks on a worker, in milliseconds: the worker stops them if the owner of
    /// their shard has not renewed it for this time.
    pub task_millis: u64,
    /// Retention time of answers to requests, in milliseconds.
    pub retention_millis: u64,
    /// Whether a process that renews its lease after it has expired keeps the state of its shards,
    /// except for those that another process has claimed in the meantime.
    pub reclaim: bool,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            ttl_millis: 2000,
            renew_millis: 500,
            hold_millis: 1600,
            task_millis: 10_000,
            retention_millis: 600_000,
            reclaim: true,
        }
    }
}

impl From<&LeaseSettings> for Timing {
    fn from(lease: &LeaseSettings) -> Timing {
        Timing {
            ttl: Duration::from_millis(lease.ttl_millis),
            renew: Duration::from_millis(lease.renew_millis),
            hold: Duration::from_millis(lease.hold_millis),
            task_lease: Duration::from_millis(lease.task_millis),
            retention: Duration::from_millis(lease.retention_millis),
        }
    }
}

fn default_connections() -> usize {
    4096
}

fn default_flight() -> usize {
    2048
}

fn default_body() -> usize {
    1024 * 1024
}

fn default_head() -> usize {
    16 * 1024
}

fn default_idle() -> u64 {
    60_000
}

fn default_receive() -> u64 {
    30_000
}

fn default_timeout() -> u64 {
    600
}

/// Default memory for the request bodies of all connections together, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 48 * 1024 * 1024;

impl HttpSettings {
    /// Smallest memory for request bodies: large bodies may use three quarters of it.
    fn least_memory(&self) -> usize {
        self.body_bytes.saturating_mul(2)
    }

    /// Returns the memory for the request bodies of all connections together, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        let default = DEFAULT_MEMORY_BYTES.max(self.least_memory());
        self.memory_bytes.unwrap_or(default)
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read or is invalid; the error names the first invalid field and its
    /// line.
    pub fn load(path: &Path) -> Result<Settings, DaemonError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Settings::parse(&text).map_err(|reason| DaemonError::Settings {
            path: path.to_owned(),
            reason,
        })
    }

    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    /// Message that names the first invalid field, and its line if the text shows it.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        match settings.first_violation() {
            None => Ok(settings),
            Some(violation) => Err(violation.message(text)),
        }
    }

    fn first_violation(&self) -> Option<Violation> {
        let (cell, lease, http) = (&self.cell, &self.lease, &self.http);
        let max_renew = lease.hold_millis / 2;
        let max_hold = lease.ttl_millis.saturating_sub(lease.ttl_millis / 10);
        let checks = [
            violation("name", &self.name, is_name(&self.name), NAME_FORMAT),
            violation("domain", &self.domain, is_name(&self.domain), NAME_FORMAT),
            violation(
                "shards",
                cell.shards,
                (1..=1024).contains(&cell.shards),
                "1 to 1024",
            ),
            violation(
                "write_rate",
                cell.write_rate,
                (10..=100_000).contains(&cell.write_rate),
                "10 to 100000",
            ),
            violation(
                "connections",
                http.connections,
                (1..=100_000).contains(&http.connections),
                "1 to 100000",
            ),
            violation(
                "in_flight",
                http.in_flight,
                http.in_flight >= 1,
                "1 or more",
            ),
            violation(
                "memory_bytes",
                http.memory(),
                http.memory() >= http.least_memory(),
                "at least twice body_bytes",
            ),
            violation(
                "receive_millis",
                http.receive_millis,
                http.receive_millis >= 1,
                "1 or more",
            ),
            violation(
                "ttl_millis",
                lease.ttl_millis,
                (500..=3000).contains(&lease.ttl_millis),
                "500 to 3000",
            ),
            violation(
                "hold_millis",
                lease.hold_millis,
                (100..=max_hold).contains(&lease.hold_millis),
                "100 to nine tenths of ttl_millis",
            ),
            violation(
                "renew_millis",
                lease.renew_millis,
                (50..=max_renew).contains(&lease.renew_millis),
                "50 to half of hold_millis",
            ),
            violation(
                "task_millis",
                lease.task_millis,
                lease.task_millis >= lease.ttl_millis * 3,
                "at least three times ttl_millis",
            ),
            violation(
                "timeout_millis",
                self.platform.timeout_millis,
                (10..=10_000).contains(&self.platform.timeout_millis),
                "10 to 10000",
            ),
        ];
        let tokens = self.tokens.iter().map(|token| {
            let is_hex =
                token.sha256.len() == 64 && token.sha256.bytes().all(|b| b.is_ascii_hexdigit());
            violation("sha256", &token.sha256, is_hex, "64 hexadecimal digits")
        });
        checks.into_iter().chain(tokens).flatten().next()
    }
}

const NAME_FORMAT: &str = "1 to 64 letters, digits, hyphens and dots";

fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.');
    (1..=64).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// A field whose value is not allowed.
struct Violation {
    field: &'static str,
    found: String,
    allowed: &'static str,
}

fn violation(
    field: &'static str,
    found: impl std::fmt::Display,
    valid: bool,
    allowed: &'static str,
) -> Option<Violation> {
    (!valid).then(|| Violation {
        field,
        found: found.to_string(),
        allowed,
    })
}

impl Violation {
    /// Formats the violation as an error message. It begins with the line of the field, if a line
    /// of `text` contains both the field and the value found.
    fn message(&self, text: &str) -> String {
        let names_field = |line: &&str| {
            let line = line.trim_start().trim_start_matches("- ");
            line.starts_with(&format!("{}:", self.field)) && line.contains(&self.found)
        };
        let line_index = text.lines().position(|line| names_field(&line));
        let line = line_index.map_or_else(String::new, |index| format!("line {}: ", index + 1));
        format!(
            "{line}{}: found {:?}, allowed: {}",
            self.field, self.found, self.allowed
        )
    }
}
