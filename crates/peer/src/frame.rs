//! Encoding of one message on a stream.

use event::Stamp;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest encoded message, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A message with the causal time at which it was sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame<T> {
    /// Sender's causal time.
    pub stamp: Stamp,
    /// The message.
    pub body: T,
}

/// Encodes a frame.
///
/// # Errors
/// The message holds something that the codec cannot express.
pub fn encode<T: Serialize>(frame: &Frame<T>) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(frame)
}

/// Decodes a frame.
///
/// # Errors
/// The bytes are not a frame of this message type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Frame<T>, postcard::Error> {
    postcard::from_bytes(bytes)
}
