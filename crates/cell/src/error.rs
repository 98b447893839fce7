//! Why a process cannot start.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a process cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CellError {
    /// The variable that names the settings file is not set.
    #[snafu(display("environment variable {name}: not set, allowed: path of the settings file"))]
    NoPath {
        /// Name of the variable.
        name: &'static str,
    },
    /// The settings file cannot be read.
    #[snafu(display("settings {}: {source}", path.display()))]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings file is malformed.
    #[snafu(display("settings {}: {reason}", path.display()))]
    ParseSettings {
        /// Path of the file.
        path: PathBuf,
        /// Cause, with line and column.
        reason: String,
    },
    /// An address cannot be listened on.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}
