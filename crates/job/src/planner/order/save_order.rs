//! Decides which jobs are saved first when a transaction cannot hold all that are unsaved.
//!
//! Load that this answers: a store so slow that jobs end faster than the owner can save them.

use std::time::Duration;

use crate::planner::state::job_state::JobState;

/// Rank of an unsaved job; lower ranks are saved first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SaveRank {
    /// The job has an outcome that can no longer be shown within the objective.
    late: bool,
    /// End of the objective.
    due: Duration,
}

/// Returns the rank of an unsaved job. A job without an outcome is never late: the next starts of its
/// tasks may depend on the records of their crashes.
pub(crate) fn save_rank(job: &JobState, now: Duration) -> SaveRank {
    let due = job.accepted_at + job.expected.objective;
    SaveRank {
        late: job.outcome.is_some() && now > due,
        due,
    }
}
