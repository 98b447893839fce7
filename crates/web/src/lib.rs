//! HTTP client and server on top of hyper, shared by all crates that communicate
//! with callers, the platform or workers.

mod body;
mod client;
mod gate;
mod ledger;
mod limits;
mod listen;
mod reply;
mod server;
mod traffic;

pub use body::Refusal;
pub use client::*;
pub use ledger::*;
pub use limits::*;
pub use listen::*;
pub use reply::*;
pub use server::*;
pub use traffic::*;

pub use hyper::Method;
pub use hyper::StatusCode;
