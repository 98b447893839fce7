//! Encoding of one request or reply on a QUIC stream.

use event::Stamp;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a received frame, in bytes; a longer one fails the call.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A request or reply, with the timestamp at which it was sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Timestamp from the sender's hybrid logical clock; the receiver merges it
    /// into its own clock, so that timestamps order events causally.
    pub stamp: Stamp,
    /// The request or reply.
    pub body: T,
}

/// Encodes a frame.
///
/// # Errors
/// The body contains a value that the codec does not support.
pub fn encode<T: Serialize>(frame: &Frame<T>) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(frame)
}

/// Decodes a frame.
///
/// # Errors
/// The bytes are not a valid frame with a body of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Frame<T>, postcard::Error> {
    postcard::from_bytes(bytes)
}
