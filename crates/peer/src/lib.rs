//! Calls between the processes of one cell: QUIC with mutual TLS, one stream
//! a call. Whoever has no certificate of the cell's authority gets nowhere.

mod endpoint;
mod error;
mod frame;
mod keys;
mod service;
mod tls;

pub use endpoint::*;
pub use error::*;
pub use frame::*;
pub use keys::*;
pub use service::*;
