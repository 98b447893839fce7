//! Errors that prevent a process from starting.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// An error that prevents a process from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CellError {
    /// The environment variable with the path of the settings file is not set.
    #[snafu(display("environment variable {name}: not set, allowed: path of the settings file"))]
    NoPath {
        /// Name of the environment variable.
        name: &'static str,
    },
    /// The settings file cannot be read.
    #[snafu(display("settings {}: {source}", path.display()))]
    ReadSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// I/O error of the read.
        source: std::io::Error,
    },
    /// The settings file is malformed.
    #[snafu(display("settings {}: {reason}", path.display()))]
    ParseSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// Message of the parser, with line and column.
        reason: String,
    },
    /// The process cannot listen on an address.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// I/O error of the bind.
        source: std::io::Error,
    },
}
