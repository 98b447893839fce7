//! HTTP API for callers and operators: authentication, limits and routing.

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
