//! Requests, as submitted by callers.

use std::fmt::Display;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::Class;
use crate::RequestId;
use crate::Resources;
use crate::TeamId;

/// Maximum length of a request id, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Maximum number of members in a gang.
pub const MAX_GANG_MEMBERS: u32 = 128;

/// Maximum of [`Request::deadline_millis`]: one day.
pub const MAX_DEADLINE_MILLIS: u64 = 86_400_000;

/// A request to run one task, or the tasks of one gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Id chosen by the caller, unique within the team. A retry must use the same
    /// id, so that the request does not run twice.
    pub id: RequestId,
    /// Team of the caller. Set from the caller's token; a value in the body is
    /// ignored.
    #[serde(default)]
    pub team: TeamId,
    /// Work class, which selects the scheduling policy.
    pub class: Class,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Run time that the caller expects, in milliseconds. Tasks that run longer are
    /// not stopped.
    pub run_millis: u64,
    /// Maximum time from the arrival of the submission at a process of the cell to
    /// the start of the tasks, in milliseconds.
    pub deadline_millis: u64,
    /// Whether the request may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Number of tasks (members) that start together; 1 unless the request is a
    /// gang.
    #[serde(default = "one")]
    pub members: u32,
    /// Label with which several requests can be cancelled in one call.
    #[serde(default)]
    pub label: String,
    /// Time at which the caller first sent the request, in milliseconds since
    /// 1970; unchanged in retries. The owner of the shard recognises an old request
    /// by it: one whose answer may no longer be stored ([`Code::Forgotten`]), or one
    /// that a former owner of the shard may have run ([`Code::OwnerLost`]). 0 stands
    /// for the time of arrival; a retry with 0 counts as new, so it may be answered
    /// "not run" although an earlier attempt has run.
    ///
    /// [`Code::Forgotten`]: crate::Code::Forgotten
    /// [`Code::OwnerLost`]: crate::Code::OwnerLost
    #[serde(default)]
    pub sent_millis: u64,
    /// Payload, passed to the task unchanged.
    #[serde(default)]
    pub payload: String,
}

fn one() -> u32 {
    1
}

/// Reason why a request is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: found {found}, allowed: {allowed}"))]
pub struct RequestError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Value of the field; for the payload, its length in bytes.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Request {
    /// Validates `id`, `needs.slots`, `members`, `deadline_millis` and `payload`.
    /// The other fields may have any value; whether `needs` fits a worker, the quota
    /// of the team and the power limits is checked when the request is accepted.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), RequestError> {
        // A slash ends the team in a request key, and a tilde ends the request key in
        // the key of an offloaded request.
        let is_allowed = |b: u8| b.is_ascii_graphic() && b != b'/' && b != b'~';
        let valid_chars = self.id.bytes().all(is_allowed);
        let length = self.id.len();
        ensure(
            "id",
            &self.id,
            valid_chars && (1..=MAX_ID_BYTES).contains(&length),
            || {
                format!(
                    "1 to {MAX_ID_BYTES} printable ASCII characters without spaces, slashes or tildes"
                )
            },
        )?;
        ensure(
            "needs.slots",
            &self.needs.slots,
            self.needs.slots <= 1,
            || "0 or 1; a task takes one slot".to_owned(),
        )?;
        let gang = self.class == Class::Gang;
        let members = if gang { 2..=MAX_GANG_MEMBERS } else { 1..=1 };
        ensure(
            "members",
            &self.members,
            members.contains(&self.members),
            || format!("2 to {MAX_GANG_MEMBERS} for a gang, 1 otherwise"),
        )?;
        let deadline = 1..=MAX_DEADLINE_MILLIS;
        ensure(
            "deadline_millis",
            &self.deadline_millis,
            deadline.contains(&self.deadline_millis),
            || format!("1 to {MAX_DEADLINE_MILLIS}"),
        )?;
        ensure(
            "payload",
            &self.payload.len(),
            self.payload.len() <= MAX_PAYLOAD_BYTES,
            || format!("at most {MAX_PAYLOAD_BYTES} bytes"),
        )
    }

    /// Whether the intent to start must be recorded in the platform's table before
    /// the start message is sent to a worker, so that the next owner of the shard
    /// reads it there: for durable classes, and for all requests that must not
    /// run twice.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.class.is_durable() || !self.idempotent
    }

    /// Resources that each task needs, including its slot.
    #[must_use]
    pub fn task_needs(&self) -> Resources {
        Resources {
            slots: 1,
            ..self.needs
        }
    }

    /// The time in [`Request::deadline_millis`].
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_millis)
    }
}

fn ensure(
    field: &'static str,
    found: &impl Display,
    valid: bool,
    allowed: impl FnOnce() -> String,
) -> Result<(), RequestError> {
    if valid {
        return Ok(());
    }
    Err(RequestError {
        field,
        found: found.to_string(),
        allowed: allowed(),
    })
}
