//! Decides which handshakes a process begins.
//!
//! Load that this answers: clients without a certificate of the cell that begin handshakes and never
//! continue them. Each takes hundreds of kilobytes until it times out. Those that cannot receive at the
//! address that they state leave most of the places to those that can.

use std::time::Duration;

/// Maximum number of handshakes at the same time.
pub const MAX_HANDSHAKES: usize = 64;

/// Number of handshakes at the same time from which on an address has to be validated first.
pub const VALIDATE_FROM: usize = 16;

/// Time for a client to complete its handshake.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// What to do with the first packet of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeDecision {
    /// The handshake begins.
    Begin,
    /// The client is to try again with a token that is sent to its address. Nothing is kept for it.
    Validate,
    /// The client is told that the connection is refused.
    Refuse,
}

/// Decides on a new handshake beside `current` others. `validated`: the client has shown that it receives
/// what is sent to its address.
#[must_use]
pub fn decide_handshake(current: usize, validated: bool) -> HandshakeDecision {
    if current < VALIDATE_FROM || validated && current < MAX_HANDSHAKES {
        HandshakeDecision::Begin
    } else if validated {
        HandshakeDecision::Refuse
    } else {
        HandshakeDecision::Validate
    }
}
