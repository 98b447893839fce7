//! Errors of calls to the platform's services.

use snafu::Snafu;

/// Error of a call to one of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call was not sent, or the service replied with an error status. The
    /// call had no effect.
    #[snafu(display("the platform's service is unavailable: {reason}"))]
    Unavailable {
        /// Description of the cause.
        reason: String,
    },
    /// No complete, well-formed reply was received; the call may have taken
    /// effect.
    #[snafu(display("the answer of the platform's service was lost: {reason}"))]
    Unknown {
        /// Description of the cause.
        reason: String,
    },
}

impl From<web::CallError> for StoreError {
    fn from(error: web::CallError) -> StoreError {
        let reason = error.to_string();
        match error {
            web::CallError::Connect { .. } | web::CallError::Busy { .. } => {
                StoreError::Unavailable { reason }
            }
            web::CallError::Lost { .. } | web::CallError::Garbled { .. } => {
                StoreError::Unknown { reason }
            }
        }
    }
}
