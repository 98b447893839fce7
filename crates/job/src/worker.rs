//! Registrations and reports of workers.

use std::net::SocketAddr;
use std::time::Duration;

use strum::Display;
use strum::EnumString;

use crate::IncarnationId;
use crate::Resources;
use crate::RunId;
use crate::TaskKey;
use crate::WorkerId;

/// Registration of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Incarnation of the worker; `None` if its registration, or the row that a former owner
    /// stored for it, does not name one.
    pub incarnation: Option<IncarnationId>,
    /// Name of the service to which the worker belongs, which is a pool of workers. The worker runs
    /// only tasks of queues with this service.
    pub service: String,
    /// Address at which the worker accepts commands.
    pub address: SocketAddr,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker: its kind and its rack. A step may require one of them.
    pub labels: Vec<String>,
    /// The worker will shut down and accepts no new runs.
    pub draining: bool,
    /// Minimum time until a draining worker shuts down; `None` if its registration does not state
    /// it.
    pub remaining: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum RunEnd {
    /// Successfully.
    Done,
    /// By a failure of the task or the worker.
    Failed,
    /// By a stop command.
    Stopped,
    /// Since the worker's lease expired.
    #[strum(serialize = "lapsed")]
    Expired,
    /// Since another member of the gang ended.
    #[strum(serialize = "broken")]
    GangBroken,
    /// Since the other members of the gang did not start in time.
    #[strum(serialize = "alone")]
    GangIncomplete,
}

/// A run that a worker reports as active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task that the run executes.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunId,
    /// Newest checkpoint, as the text with which a later run can resume; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent, 0 to 100.
    pub percent: u32,
}

/// A run that a worker reports as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end among those of this incarnation of the worker, from 1.
    pub number: u64,
    /// Task that the run executed.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunId,
    /// How the run ended.
    pub how: RunEnd,
    /// Newest checkpoint, as the text with which a later run can resume; empty if there is none.
    pub checkpoint: String,
}

/// A worker's reply that lists its active runs, and the ended runs that are not acknowledged yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Incarnation of the worker that replied; `None` if the worker does not report it.
    pub incarnation: Option<IncarnationId>,
    /// Time of the worker's monotonic clock when it replied, for which the owner computes the
    /// expiry of leases.
    pub clock: Duration,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Ended runs, oldest first.
    pub ended: Vec<EndedRun>,
    /// The worker may have further ended runs, which it lists once these are acknowledged. Until
    /// then, a run that is not listed may have ended.
    pub more_ends: bool,
}

/// A worker that may run a step, with the ticket that proves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Worker for which the ticket is valid.
    pub worker: WorkerId,
    /// Text of the ticket, which is sent with each start.
    pub text: String,
}
