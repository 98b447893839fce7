//! Encoding of a message on a QUIC stream.

use event::Stamp;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of an encoded message, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A message with the causal timestamp at which it was sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Timestamp from the sender's hybrid logical clock.
    pub stamp: Stamp,
    /// The message.
    pub body: T,
}

/// Encodes a frame.
///
/// # Errors
/// The message contains a value that the codec does not support.
pub fn encode<T: Serialize>(frame: &Frame<T>) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(frame)
}

/// Decodes a frame.
///
/// # Errors
/// The bytes are not a valid frame of this message type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Frame<T>, postcard::Error> {
    postcard::from_bytes(bytes)
}
