//! Exit codes, as listed in docs/CODES.md.

use model::Family;

use crate::error::CliError;

/// The command succeeded.
pub(crate) const SUCCESS: u8 = 0;
/// A check of `demo` or an expectation of `replay` failed, or the async runtime
/// or the embedded cell of `demo` could not run.
pub(crate) const FAILURE: u8 = 1;
/// An argument, file or setting is invalid.
pub(crate) const USAGE: u8 = 2;
/// The entry process did not reply or refused the call.
pub(crate) const REFUSED: u8 = 3;
/// The task ran and failed.
const TASK_FAILED: u8 = 10;
/// The request did not run and will not run.
const NOT_RUN: u8 = 11;
/// It is unknown whether the request ran.
const MAY_HAVE_RUN: u8 = 12;
/// The request has no final answer yet.
const PENDING: u8 = 13;

/// Returns the exit code for the family of an answer's result code.
pub(crate) fn family_code(family: Family) -> u8 {
    match family {
        Family::Succeeded => SUCCESS,
        Family::Failed => TASK_FAILED,
        Family::NotRun => NOT_RUN,
        Family::MayHaveRun => MAY_HAVE_RUN,
        Family::Pending => PENDING,
    }
}

/// Returns the exit code for an error.
pub(crate) fn exit_code(error: &CliError) -> u8 {
    match error {
        CliError::Usage { .. }
        | CliError::File { .. }
        | CliError::Settings { .. }
        | CliError::Keys { .. } => USAGE,
        CliError::Call { .. } | CliError::Refused { .. } => REFUSED,
        CliError::Demo { .. } => FAILURE,
    }
}
