//! Settings of a process: a YAML file, filled in by the platform.

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
use crate::calls_per_second;
use crate::error::ReadSettingsSnafu;

/// Addresses that a process listens on for others than its peers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// The balancer's readiness checks.
    pub ready: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// How the processes talk to one another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Peers {
    /// First of the ports that are free for the project.
    pub first_port: u16,
}

/// Times and factors that the platform guarantees or asks for.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Longest lease of a worker, in milliseconds.
    pub lease_ms: u64,
    /// Time for which callers may ask for an ended job, in seconds.
    pub keep_s: f64,
    /// Time between the signal to stop and the kill, in seconds.
    pub grace_s: f64,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct CellSettings {
    /// Name of the host.
    pub node: String,
    /// Failure domain of the host.
    pub zone: String,
    /// Address of the host.
    pub ip: IpAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Talk between processes.
    pub peers: Peers,
    /// Cores of the host, or the part of one that it has.
    pub cores: f64,
    /// Bandwidth of the host's link, in megabits a second.
    #[serde(default = "usual_link")]
    pub link_mbps: f64,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the service that knows which workers may run a step; empty
    /// where there is none.
    #[serde(default)]
    pub advice: String,
    /// Address of the service that knows the machines; empty where there is
    /// none.
    #[serde(default)]
    pub machines: String,
    /// Times and factors.
    pub bounds: Bounds,
    /// Mechanisms that are switched off, to learn what they are worth.
    #[serde(default)]
    pub off: Vec<Mechanism>,
}

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "CLOVERMOUNT_BOOT";

/// Lease given to workers, as a share of the longest one: long enough that a
/// successor renews it after the owner's death, short enough that the tasks
/// of a worker that died silently start again soon.
const LEASE_SHARE: f64 = 0.75;

/// Link of a host whose settings do not tell it, in megabits a second.
fn usual_link() -> f64 {
    1000.0
}

impl CellSettings {
    /// Path of the settings file from the environment.
    ///
    /// # Errors
    /// The variable is not set.
    pub fn path() -> Result<PathBuf, CellError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        path.ok_or(CellError::NoPath {
            name: SETTINGS_VARIABLE,
        })
    }

    /// Reads the settings file.
    ///
    /// # Errors
    /// It cannot be read, or a field is missing or malformed.
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
    /// Text of the cause, with line and column.
    pub fn parse(text: &str) -> Result<CellSettings, String> {
        serde_saphyr::from_str(text).map_err(|error| error.to_string())
    }

    /// Address on which peers reach this process.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peers.first_port)
    }

    /// Address of the advice service, if there is one.
    #[must_use]
    pub fn advice_address(&self) -> Option<SocketAddr> {
        self.advice.parse().ok()
    }

    /// Address of the service that knows the machines, if there is one.
    #[must_use]
    pub fn machines_address(&self) -> Option<SocketAddr> {
        self.machines.parse().ok()
    }

    /// Time for which callers may ask for an ended job.
    #[must_use]
    pub fn retention(&self) -> Duration {
        Duration::try_from_secs_f64(self.bounds.keep_s).unwrap_or(Duration::from_hours(1))
    }

    /// Time between the signal to stop and the kill.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.bounds.grace_s).unwrap_or_default()
    }

    /// Figures for the planner.
    #[must_use]
    pub fn policy(&self) -> Policy {
        let longest = Duration::from_millis(self.bounds.lease_ms);
        Policy {
            lease: longest.mul_f64(LEASE_SHARE),
            longest_lease: longest,
            switches: Switches::without(&self.off),
            ..Policy::default()
        }
    }

    /// Calls a second that this host can make as the owner of the pool.
    #[must_use]
    pub fn owner_calls(&self) -> u32 {
        let calls = calls_per_second(self.cores, self.link_mbps);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let calls = calls as u32; // saturates
        calls
    }

    /// Whether a mechanism is on.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
