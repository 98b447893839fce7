//! What a process knows at launch and shares with all its tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use event::Timeline;
use model::Incarnation;
use peer::PeerEndpoint;
use worker::WorkerClient;

use crate::CellId;
use crate::Gate;
use crate::Pacer;

/// Time limits of ownership.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Standstill after which another process may take the shards.
    pub ttl: Duration,
    /// Interval of renewals.
    pub renew: Duration,
    /// How long after the start of a renewal the process acts on it; shorter
    /// than `ttl`, so that it has stopped before another one begins.
    pub hold: Duration,
    /// Lease of tasks on workers.
    pub task_lease: Duration,
    /// Longest time for which answers are remembered.
    pub retention: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            ttl: Duration::from_secs(2),
            renew: Duration::from_millis(500),
            hold: Duration::from_millis(1600),
            task_lease: Duration::from_secs(10),
            retention: Duration::from_mins(10),
        }
    }
}

/// Immutable facts and shared handles of one process.
#[derive(Debug)]
pub struct Context<T, O, H> {
    /// Name in the settings; the same after a restart.
    pub name: String,
    /// This run of the process.
    pub process: Incarnation,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Where the other processes reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Number of shards of the cell.
    pub shards: u16,
    /// The cell that the process joined when it started.
    pub cell: CellId,
    /// Writes a second that the whole cell may make.
    pub write_rate: u32,
    /// Whether a timed-out lease is claimed again with its state kept.
    pub reclaim: bool,
    /// Time limits.
    pub timing: Timing,
    /// The platform's table.
    pub table: T,
    /// The platform's object store.
    pub objects: O,
    /// The platform's host list.
    pub hosts: H,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Calls to other processes.
    pub node: PeerEndpoint,
    /// Events.
    pub timeline: Arc<Timeline>,
    /// Right to act.
    pub gate: Arc<Gate>,
    /// Share of the table's write rate.
    pub pacer: Pacer,
}
