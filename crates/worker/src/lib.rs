//! Worker protocol and client. The worker itself decides which starts it accepts,
//! based on fence, incarnation, lease and free resources.

mod client;
mod message;

pub use client::*;
pub use message::*;
