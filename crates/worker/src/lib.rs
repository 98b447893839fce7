//! Messages between the owner of a shard and its workers, and the HTTP client that
//! sends them. Each worker itself decides which starts it accepts, based on fence,
//! incarnation, lease and free resources.

mod client;
mod message;

pub use client::*;
pub use message::*;
