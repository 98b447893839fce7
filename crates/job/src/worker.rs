//! What workers say of themselves and of what they run.

use std::net::SocketAddr;
use std::time::Duration;

use strum::Display;
use strum::EnumString;

use crate::LifeId;
use crate::Room;
use crate::RunId;
use crate::TaskKey;
use crate::WorkerId;

/// A worker as it is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The worker.
    pub id: WorkerId,
    /// This life of it; nothing if it is not known.
    pub life: Option<LifeId>,
    /// Pool that it belongs to.
    pub service: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Processors, memory and accelerators in all.
    pub capacity: Room,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// It will leave and takes no new work.
    pub draining: bool,
    /// Least time until it leaves, while it drains.
    pub remaining: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum RunEnd {
    /// With success.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that is at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress, 0 to 100.
    pub percent: u32,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: RunEnd,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Everything that a worker runs, and the ends that it still remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The life of the worker that made it; nothing if it does not say.
    pub life: Option<LifeId>,
    /// The worker's own steady clock.
    pub clock: Duration,
    /// Runs at work.
    pub running: Vec<RunningTask>,
    /// Ends, oldest first.
    pub ended: Vec<EndedTask>,
}

/// A worker that may run a step, with the proof to show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The worker.
    pub worker: WorkerId,
    /// Text to hand over with each start.
    pub text: String,
}
