//! HTTP client and server helpers over hyper, shared by all crates that
//! speak to callers, to the platform and to workers.

mod client;
mod limits;
mod reply;
mod server;
mod traffic;

pub use client::*;
pub use limits::*;
pub use reply::*;
pub use server::*;
pub use traffic::*;

pub use hyper::Method;
pub use hyper::StatusCode;
