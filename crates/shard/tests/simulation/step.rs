//! What can happen in the world.

use bolero::TypeGenerator;

/// One thing that happens.
#[derive(Clone, Debug, TypeGenerator)]
pub enum Step {
    /// A caller submits, or submits again, one of a few requests.
    Submit(u8),
    /// The oldest batch of records is committed.
    Commit,
    /// A start reaches its worker.
    Arrive(u8),
    /// A start is refused, or never sent.
    Refuse(u8),
    /// A task ends; its worker reports it.
    End(u8),
    /// A worker reports all its ends again.
    RepeatEnds(u8),
    /// A worker forgets everything.
    Restart(u8),
    /// A link claims its worker again.
    Claim(u8),
    /// The shard reads what the link of a worker has told it.
    DeliverReports(u8),
    /// The lease of a worker's tasks runs out.
    LeaseOver(u8),
    /// Time passes, in tenths of a second.
    Wait(u8),
    /// A caller withdraws a request.
    Cancel(u8),
    /// The owner dies; another takes over from what was committed.
    CrashOwner,
}
