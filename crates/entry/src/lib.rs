//! HTTP API of a process, for callers and operators: authenticates calls, limits
//! the requests in flight and forwards them to the owners of the shards.

mod api;
mod auth;
mod body;
mod in_flight;
mod metrics;

pub use api::*;
pub use auth::*;
pub use body::*;
pub use in_flight::*;
pub use metrics::*;
