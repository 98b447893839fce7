//! Settings of a process, read from a YAML file that the platform fills in.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use job::Mechanism;
use job::Policy;
use job::Switches;
use serde::Deserialize;
use snafu::ResultExt;

use crate::CellError;
use crate::access::ConfigAges;
use crate::calls_per_second;
use crate::error::ReadSettingsSnafu;

/// Addresses that a process listens on, except the one for its peers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listen {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: SocketAddr,
}

/// Settings of the communication between processes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Peers {
    /// First of the ports that the platform reserves for this project.
    pub first_port: u16,
}

/// Times that the platform guarantees or requires.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Longest lease of a worker that the platform allows, in milliseconds.
    pub lease_ms: u64,
    /// Time for which an ended job can be queried, in seconds.
    pub keep_s: f64,
    /// Time between the stop signal and the kill, in seconds.
    pub grace_s: f64,
    /// Time after which a worker that has registered as draining may get no more tasks, in
    /// milliseconds; [`DEFAULT_DRAIN_MS`] if the platform states none.
    #[serde(default)]
    pub drain_ms: Option<u64>,
    /// Time within which a new configuration must take effect, in milliseconds.
    #[serde(default = "default_config_ms")]
    pub config_ms: u64,
    /// Time by which an unstable store may extend that time, in milliseconds.
    #[serde(default = "default_stretch_ms")]
    pub stretch_ms: u64,
    /// Share by which an organisation may exceed its limits while it is not known what it has
    /// running; 0 if the platform states none.
    #[serde(default)]
    pub overshoot: Option<f64>,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct CellSettings {
    /// Name of the host.
    pub node: String,
    /// Failure domain of the host.
    pub zone: String,
    /// IP address of the host.
    pub ip: IpAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Communication between processes.
    pub peers: Peers,
    /// Number of cores of the host; below 1 if it has only a part of a core.
    pub cores: f64,
    /// Bandwidth of the host's link, in megabits per second.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Memory of the host, in megabytes; [`DEFAULT_MEMORY_MB`] if the platform states none.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Descriptors that the process may have open; [`DEFAULT_DESCRIPTORS`] if the platform states
    /// none.
    #[serde(default)]
    pub descriptors: Option<usize>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum size of a row in the store, in bytes; [`DEFAULT_ROW_BYTES`] if the platform states
    /// none.
    #[serde(default)]
    pub row_bytes: Option<usize>,
    /// Address of the advice service, which decides which workers may run a step; empty if there
    /// is none.
    #[serde(default)]
    pub advice: String,
    /// Address of the service that reports the state of the machines; empty if there is none.
    #[serde(default)]
    pub machines: String,
    /// Times that the platform guarantees or requires.
    pub bounds: Bounds,
    /// Optional mechanisms that are switched on.
    #[serde(default)]
    pub on: Vec<Mechanism>,
    /// Mechanisms that are switched off, in order to measure their benefit.
    #[serde(default)]
    pub off: Vec<Mechanism>,
}

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "CLOVERMOUNT_BOOT";

/// Lease given to workers, as a share of the longest one that the platform allows. It is long
/// enough for a successor to renew it after the owner's death, and short enough that the tasks of
/// a worker that crashed without notice soon start again.
const LEASE_SHARE: f64 = 0.75;

/// Default time after which a draining worker may get no more tasks, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 2000;

/// Default memory of a host, in megabytes.
const DEFAULT_MEMORY_MB: usize = 256;

/// Bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;

/// Default number of descriptors that a process may have open.
const DEFAULT_DESCRIPTORS: usize = 4096;

/// Default maximum size of a row in the store, in bytes.
const DEFAULT_ROW_BYTES: usize = 65_536;

/// Default time within which a new configuration must take effect, in milliseconds.
fn default_config_ms() -> u64 {
    2000
}

/// Default time by which an unstable store may extend it, in milliseconds.
fn default_stretch_ms() -> u64 {
    5000
}

/// Default bandwidth of a host's link, in megabits per second.
fn default_link() -> f64 {
    1000.0
}

impl CellSettings {
    /// Returns the path of the settings file from the environment.
    ///
    /// # Errors
    /// Fails if the variable is not set.
    pub fn path() -> Result<PathBuf, CellError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        path.ok_or(CellError::NoPath {
            name: SETTINGS_VARIABLE,
        })
    }

    /// Reads the settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read, or a field is missing or malformed.
    pub fn load(path: &Path) -> Result<CellSettings, CellError> {
        let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
        CellSettings::parse(&text).map_err(|reason| CellError::ParseSettings {
            path: path.to_owned(),
            reason,
        })
    }

    /// Parses settings; unknown fields are ignored.
    ///
    /// # Errors
    /// Returns the parser's message with line and column.
    pub fn parse(text: &str) -> Result<CellSettings, String> {
        serde_saphyr::from_str(text).map_err(|error| error.to_string())
    }

    /// Returns the address on which peers reach this process.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peers.first_port)
    }

    /// Returns the address of the advice service; `None` if the setting is empty or malformed.
    #[must_use]
    pub fn advice_address(&self) -> Option<SocketAddr> {
        self.advice.parse().ok()
    }

    /// Returns the address of the service that reports the state of the machines; `None` if the
    /// setting is empty or malformed.
    #[must_use]
    pub fn machines_address(&self) -> Option<SocketAddr> {
        self.machines.parse().ok()
    }

    /// Returns the time for which an ended job can be queried; one hour if the setting is negative
    /// or too large.
    #[must_use]
    pub fn retention(&self) -> Duration {
        Duration::try_from_secs_f64(self.bounds.keep_s).unwrap_or(Duration::from_hours(1))
    }

    /// Returns the time between the stop signal and the kill; zero if the setting is negative or
    /// too large.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.bounds.grace_s).unwrap_or_default()
    }

    /// Returns the time after which a worker that has registered as draining may get no more tasks.
    #[must_use]
    pub fn drain_bound(&self) -> Duration {
        Duration::from_millis(self.bounds.drain_ms.unwrap_or(DEFAULT_DRAIN_MS))
    }

    /// Returns the memory of the host, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        let megabytes = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        megabytes.saturating_mul(MEGABYTE)
    }

    /// Returns the number of descriptors that the process may have open.
    #[must_use]
    pub fn descriptor_limit(&self) -> usize {
        self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS)
    }

    /// Returns the maximum size of a row in the store, in bytes.
    #[must_use]
    pub fn row_limit(&self) -> usize {
        self.row_bytes.unwrap_or(DEFAULT_ROW_BYTES)
    }

    /// Returns the ages up to which the configuration may be relied on.
    #[must_use]
    pub fn config_ages(&self) -> ConfigAges {
        let current = Duration::from_millis(self.bounds.config_ms);
        ConfigAges {
            current,
            usable: current + Duration::from_millis(self.bounds.stretch_ms),
        }
    }

    /// Returns the planner's parameters.
    #[must_use]
    pub fn policy(&self) -> Policy {
        let longest = Duration::from_millis(self.bounds.lease_ms);
        Policy {
            lease: longest.mul_f64(LEASE_SHARE),
            max_lease: longest,
            switches: self.switches(),
            overshoot: self.bounds.overshoot.unwrap_or_default(),
            ..Policy::default()
        }
    }

    /// Returns the number of calls per second that this host could make as owner of the pool.
    #[must_use]
    pub fn owner_calls(&self) -> u32 {
        let calls = calls_per_second(self.cores, self.link_mbps);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let calls = calls as u32; // saturates
        calls
    }

    /// Returns which mechanisms are switched on.
    #[must_use]
    pub fn switches(&self) -> Switches {
        Switches::new(&self.on, &self.off)
    }

    /// Whether a mechanism is switched on.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.switches().enabled(mechanism)
    }
}
