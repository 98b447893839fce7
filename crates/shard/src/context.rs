//! Settings and handles that a process sets up at launch and shares among its
//! tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use event::Timeline;
use model::Incarnation;
use peer::PeerEndpoint;
use worker::WorkerClient;

use crate::CellId;
use crate::LeaseGate;
use crate::Pacer;

/// Time limits of leases and ownership.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time without a renewal after which another process may expire the lease
    /// and take the shards.
    pub ttl: Duration,
    /// Interval between renewals of the lease.
    pub renew: Duration,
    /// Time after the start of a successful renewal during which the process
    /// may act. Shorter than `ttl`, so that the process has stopped before a
    /// successor starts.
    pub hold: Duration,
    /// Duration of the lease of the tasks on workers.
    pub task_lease: Duration,
    /// How long final answers are kept.
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

/// Immutable settings and shared handles of one process. The type parameters
/// are the table, the object store and the host list of the platform.
#[derive(Debug)]
pub struct Context<T, O, H> {
    /// Name of the process in its settings; stays the same across restarts.
    pub name: String,
    /// Incarnation of the process.
    pub process: Incarnation,
    /// Failure domain of the process.
    pub domain: String,
    /// Address for calls from other processes.
    pub peer: SocketAddr,
    /// Address for HTTP requests of callers.
    pub http: SocketAddr,
    /// Number of shards in the cell.
    pub shards: u16,
    /// Id of the cell that the process joined when it started.
    pub cell: CellId,
    /// Limit on the table writes per second of the whole cell.
    pub write_rate: u32,
    /// Whether shards keep their state when the process renews a lease that had
    /// timed out, provided that no other process has claimed them.
    pub reclaim: bool,
    /// Time limits of leases and ownership.
    pub timing: Timing,
    /// The platform's table.
    pub table: T,
    /// The platform's object store.
    pub objects: O,
    /// The platform's host list.
    pub hosts: H,
    /// Client for calls to workers.
    pub workers: WorkerClient,
    /// Client and server for calls between processes.
    pub endpoint: PeerEndpoint,
    /// Recorder of timeline events.
    pub timeline: Arc<Timeline>,
    /// Whether the process may currently act for its shards.
    pub gate: Arc<LeaseGate>,
    /// Limits journal commits to this process's share of the write rate.
    pub pacer: Pacer,
}
