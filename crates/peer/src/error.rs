//! Errors of calls between processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a call has no reply.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// Nothing was sent.
    #[snafu(display("cannot reach {peer}: {reason}"))]
    Unreachable {
        /// Address of the other process.
        peer: SocketAddr,
        /// Text of the cause.
        reason: String,
    },
    /// The other process may have received it.
    #[snafu(display("no reply from {peer}: {reason}"))]
    NoReply {
        /// Address of the other process.
        peer: SocketAddr,
        /// Text of the cause.
        reason: String,
    },
}

/// Why the transport cannot be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OpenError {
    /// A key file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// A key file does not hold what it should.
    #[snafu(display("{}: {reason}", path.display()))]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The socket cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
}
