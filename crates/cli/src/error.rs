//! Errors of the commands.

use std::path::PathBuf;

use snafu::Snafu;

/// Reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// An argument is missing or invalid.
    #[snafu(display("{reason}"))]
    Usage { reason: String },
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The entry process sent no complete, well-formed reply.
    #[snafu(display("{source}"), context(false))]
    Call { source: web::CallError },
    /// The entry process refused the call.
    #[snafu(display("the entry process refused the call (status {status}): {reason}"))]
    Refused { status: u16, reason: String },
    /// The settings are invalid, or a process of the demo cannot start.
    #[snafu(display("{source}"), context(false))]
    Settings { source: daemon::DaemonError },
    /// The keys cannot be created.
    #[snafu(display("{source}"), context(false))]
    Keys { source: peer::OpenError },
    /// The embedded cell of the demo failed.
    #[snafu(display("the embedded cell of the demo failed: {reason}"))]
    Demo { reason: String },
}

/// Creates a [`CliError::Usage`].
pub(crate) fn usage_error(reason: impl Into<String>) -> CliError {
    let reason = reason.into();
    CliError::Usage { reason }
}
