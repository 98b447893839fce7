//! Errors of a process.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// The reason why a process cannot start, or had to stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The settings file cannot be read.
    #[snafu(display("cannot read the settings file {}: {source}", path.display()))]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The settings file is invalid.
    #[snafu(display("invalid settings in {}: {reason}", path.display()))]
    Settings {
        /// Path of the settings file.
        path: PathBuf,
        /// Line and field of the error, the value found and the values allowed.
        reason: String,
    },
    /// The address for callers cannot be bound.
    #[snafu(display("cannot listen for callers on {address} (http.listen): {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The transport between processes cannot be opened.
    #[snafu(display("{source}"), context(false))]
    Peer {
        /// Error from the transport.
        source: peer::OpenError,
    },
    /// The metrics cannot be registered.
    #[snafu(display("cannot register the metrics: {source}"), context(false))]
    Metrics {
        /// Error from the metrics registry.
        source: prometheus::Error,
    },
    /// The settings contain another number of shards than the cell was created with.
    #[snafu(display(
        "cell.shards: found {found}, allowed: {allowed} (the number that the cell was created with)"
    ))]
    ShardCount {
        /// Number of shards in the settings.
        found: u16,
        /// Number of shards in the parameters of the cell, a row of the table.
        allowed: u16,
    },
    /// The table row with the parameters of the cell is damaged or has an unknown format.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Error from decoding the row.
        source: shard::ShardError,
    },
    /// An async task of the process has ended, which none does before a planned stop.
    #[snafu(display("the async task {task} has ended unexpectedly; the process stops"))]
    TaskEnded {
        /// Name of the task: `hosts`, `peers`, `keeper` (the shard manager), `http` or `upload`.
        task: &'static str,
    },
}
