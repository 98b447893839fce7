//! Limits of a process's listeners, which share the memory of its host.
//!
//! Load that this answers: many clients that send as much as they can to any of the listeners. Each
//! listener has a part of its own, so that a crowd at one takes nothing from the others.

use std::time::Duration;

use web::Limits;

use crate::CellSettings;

/// Maximum size of a request body at addresses where none is expected, in bytes.
const SMALL_BODY_BYTES: usize = 4096;

/// Memory for such bodies, in bytes.
const SMALL_MEMORY_BYTES: usize = 128 * 1024;

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
}

impl ListenerLimits {
    /// Divides what a host has.
    #[must_use]
    pub fn new(settings: &CellSettings) -> ListenerLimits {
        let memory = settings.memory();
        let defaults = Limits::default();
        // Two bodies of the largest size fit on the smallest host.
        let bodies = |part: usize| part.max(2 * defaults.body_bytes);
        ListenerLimits {
            callers: Limits {
                memory: bodies(memory / 6),
                ..defaults
            },
            peers: Limits {
                memory: bodies(memory / 16),
                ..defaults
            },
            small: Limits {
                body_bytes: SMALL_BODY_BYTES,
                receive: SMALL_RECEIVE,
                memory: SMALL_MEMORY_BYTES,
                ..defaults
            },
        }
    }
}
