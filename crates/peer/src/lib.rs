//! Calls between the processes of a cell over QUIC with mutual TLS, one stream
//! per call. Peers without a certificate from the cell's certificate authority
//! are rejected.

mod endpoint;
mod error;
mod frame;
mod handshake;
mod keys;
mod service;
mod tls;

pub use endpoint::*;
pub use error::*;
pub use frame::*;
pub use handshake::*;
pub use keys::*;
pub use service::*;
