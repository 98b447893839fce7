//! Limits that an HTTP server imposes on its clients.

use std::time::Duration;

/// Limits per request, per connection and for all connections of a listener together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of the request line and headers, in bytes; less than 8192
    /// counts as 8192, the minimum that hyper allows.
    pub head_bytes: usize,
    /// Time for a client to read a reply and to send the head of the next request on
    /// the connection; when it expires, the connection is closed.
    pub idle: Duration,
    /// Time for a client to send the body of a request.
    pub receive: Duration,
    /// Maximum number of open connections. When it is reached, the connection that
    /// has been without a request for the longest time is closed for a new one.
    pub connections: usize,
    /// Maximum number of connections that wait until they are accepted.
    pub queue: usize,
    /// Memory for the bodies of all requests together, in bytes. When it is used up,
    /// the largest body that has not arrived whole yields.
    pub memory: usize,
    /// Maximum number of requests that are handled at the same time; further ones wait
    /// for their turn, at most a second.
    pub requests: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1024 * 1024,
            head_bytes: 16 * 1024,
            idle: Duration::from_mins(1),
            receive: Duration::from_secs(30),
            connections: 4096,
            queue: 2048,
            memory: 48 * 1024 * 1024,
            requests: 4096,
        }
    }
}

/// Part of the memory that only small bodies may use, as its reciprocal.
const SMALL_SHARE: usize = 4;

/// Size up to which a body is small, as part of the largest one allowed, as its
/// reciprocal.
const SMALL_SIZE: usize = 16;

impl Limits {
    /// Memory that may be in use after a body has grown to `size`. Large bodies leave a
    /// part of it to small ones.
    pub(crate) fn memory_for(&self, size: usize) -> usize {
        if size > self.body_bytes / SMALL_SIZE {
            self.memory - self.memory / SMALL_SHARE
        } else {
            self.memory
        }
    }
}
