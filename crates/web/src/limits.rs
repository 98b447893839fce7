//! Limits that an HTTP server imposes on its clients.

use std::time::Duration;

/// Limits per request, per connection and for all connections together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of the request line and headers, in bytes; less than 8192
    /// counts as 8192, the minimum that hyper allows.
    pub head_bytes: usize,
    /// Timeout for receiving the head of the next request on a connection; when it
    /// expires, the connection is closed.
    pub idle: Duration,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1024 * 1024,
            head_bytes: 16 * 1024,
            idle: Duration::from_mins(1),
            connections: 4096,
        }
    }
}
