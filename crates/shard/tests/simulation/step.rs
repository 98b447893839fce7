//! Steps of the simulation.

use bolero::TypeGenerator;

/// One step of the simulation.
#[derive(Clone, Debug, TypeGenerator)]
pub enum Step {
    /// A caller submits one of a few requests, possibly again.
    Submit(u8),
    /// The oldest uncommitted batch of records is committed.
    Commit,
    /// A start arrives at its worker.
    Arrive(u8),
    /// A start is dropped, and the owner is notified that it was not sent.
    Refuse(u8),
    /// A task ends, and its worker reports it.
    End(u8),
    /// A worker reports all ended tasks again.
    RepeatEnds(u8),
    /// A worker restarts and loses its state.
    Restart(u8),
    /// A link claims its worker again.
    Claim(u8),
    /// The shard handles the inputs queued by a worker's link.
    DeliverReports(u8),
    /// The lease of a worker's tasks expires.
    ExpireLease(u8),
    /// Time passes, in tenths of a second.
    Wait(u8),
    /// A caller cancels a request.
    Cancel(u8),
    /// The owner crashes; a successor recovers from the committed records.
    CrashOwner,
}
