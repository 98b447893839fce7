//! Errors of shard ownership and recovery.

use snafu::Snafu;
use store::StoreError;

/// Why a shard cannot be opened or served.
#[derive(Debug, Snafu)]
pub enum ShardError {
    /// A row or object cannot be decoded; it was left unchanged.
    #[snafu(display("{key} cannot be read: {reason}"))]
    Damaged {
        /// Key of the row, or name of the object.
        key: String,
        /// Why it cannot be decoded.
        reason: String,
    },
    /// A call to the platform's table or object store failed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Error of the call.
        source: StoreError,
    },
    /// Another process owns the shard.
    #[snafu(display("fenced: another process owns the shard"))]
    Fenced,
}
