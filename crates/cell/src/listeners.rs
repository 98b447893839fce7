//! Limits of a process's listeners, which share the memory and the descriptors of its host.
//!
//! Load that this answers: many clients that occupy as much as they can at any of the listeners. Each
//! listener has a part of its own, so that a crowd at one takes nothing from the others. A quarter of the
//! memory, and a third of the descriptors, are left to the work of the process and to its connections to
//! the store, the workers and the other processes.

use std::time::Duration;

use web::Limits;

use crate::CellSettings;

/// Most memory that a connection takes besides the body of its request, in bytes: buffers of the HTTP
/// library for a head and a reply, received bytes that were not read, and the state of its task.
const CONNECTION_BYTES: usize = 48 * 1024;

/// Most memory that a connection takes before it is accepted, in bytes: what its client has sent.
const QUEUED_BYTES: usize = 2 * web::RECEIVE_BUFFER_BYTES as usize;

/// Most memory that a request in progress takes besides its body and its job, in bytes: its
/// connections to the store and the owner.
const REQUEST_BYTES: usize = 32 * 1024;

/// Smallest memory for jobs whose submission is in progress, in bytes: two of the largest size.
const MIN_JOB_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of a request body at addresses where none is expected, in bytes.
const SMALL_BODY_BYTES: usize = 4096;

/// Maximum number of connections of the readiness checks and of the metrics, each.
const SMALL_CONNECTIONS: usize = 24;

/// Smallest number of connections of a listener for callers or for processes.
const MIN_CONNECTIONS: usize = 16;

/// Time for a client to send the body of a request where none is expected.
const SMALL_RECEIVE: Duration = Duration::from_secs(3);

/// Limits of the listeners of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// For callers.
    pub callers: Limits,
    /// For the other processes of the cell.
    pub peers: Limits,
    /// For the readiness checks, and for the metrics.
    pub small: Limits,
    /// Calls to the store and the owner at the same time for the requests of callers and of other
    /// processes.
    pub calls: usize,
    /// Memory for jobs whose submission is in progress, in bytes.
    pub jobs: usize,
}

impl ListenerLimits {
    /// Divides what a host has.
    #[must_use]
    pub fn new(settings: &CellSettings) -> ListenerLimits {
        let memory = settings.memory();
        let descriptors = settings.descriptor_limit();
        let defaults = Limits::default();
        let connections = |part: usize| {
            let held = part / CONNECTION_BYTES;
            held.min(descriptors / 4).max(MIN_CONNECTIONS)
        };
        let queue = |part: usize| (part / QUEUED_BYTES).max(MIN_CONNECTIONS);
        // Two bodies of the largest size fit on the smallest host.
        let bodies = |part: usize| part.max(2 * defaults.body_bytes);
        let requests = (memory / 16 / REQUEST_BYTES).min(descriptors / 8);
        ListenerLimits {
            calls: (descriptors / 16).max(MIN_CONNECTIONS),
            jobs: (memory / 12).max(MIN_JOB_BYTES),
            callers: Limits {
                connections: connections(memory / 8),
                queue: queue(memory / 12),
                memory: bodies(memory / 6),
                requests: requests.max(MIN_CONNECTIONS),
                ..defaults
            },
            peers: Limits {
                connections: connections(memory / 8),
                queue: queue(memory / 64),
                memory: bodies(memory / 16),
                ..defaults
            },
            small: Limits {
                body_bytes: SMALL_BODY_BYTES,
                receive: SMALL_RECEIVE,
                connections: SMALL_CONNECTIONS,
                queue: SMALL_CONNECTIONS / 2,
                memory: SMALL_CONNECTIONS * SMALL_BODY_BYTES,
                ..defaults
            },
        }
    }
}
