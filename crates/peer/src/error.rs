//! Errors of calls between processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Error of a call to another process.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The call was not sent: no connection, or the request cannot be encoded.
    #[snafu(display("cannot reach {peer}: {reason}"))]
    Unreachable {
        /// Address of the other process.
        peer: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
    /// No valid reply was received before the timeout; the other process may have
    /// received the call.
    #[snafu(display("no reply from {peer}: {reason}"))]
    NoReply {
        /// Address of the other process.
        peer: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
}

/// Error while the endpoint is opened or key files are generated.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OpenError {
    /// A key file or its folder cannot be created or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// A key or certificate cannot be read, is invalid or cannot be generated.
    #[snafu(display("{}: cannot load or generate key or certificate: {reason}", path.display()))]
    Key {
        /// Path of the file or folder.
        path: PathBuf,
        /// Description of the error.
        reason: String,
    },
    /// The socket cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
}
