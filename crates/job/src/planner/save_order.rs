//! Decides which jobs are saved first when a transaction cannot hold all that are unsaved.
//!
//! Load that this answers: a store so slow that jobs end faster than the owner can save them.

use std::time::Duration;

use super::job_state::JobState;

/// Rank of an unsaved job; lower ranks are saved first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SaveRank {
    urgency: Urgency,
    /// End of the objective for outcomes, time of acceptance for the others.
    since: Duration,
}

/// How urgent it is to save a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It has an outcome that can still be shown within the objective.
    InTime,
    /// It has no outcome, but ends or crash records, on which its next starts may depend.
    InProgress,
    /// Its outcome is late.
    Late,
}

/// Returns the rank of an unsaved job.
pub(super) fn save_rank(job: &JobState, now: Duration) -> SaveRank {
    let due = job.accepted_at + job.expected.objective;
    let (urgency, since) = match job.outcome {
        None => (Urgency::InProgress, job.accepted_at),
        Some(_) if now <= due => (Urgency::InTime, due),
        Some(_) => (Urgency::Late, due),
    };
    SaveRank { urgency, since }
}
