//! What the planner knows of jobs, their tasks, workers and runs. Decisions are in other folders.

pub(crate) mod job_state;
pub(crate) mod load;
pub(crate) mod loss;
pub(crate) mod pool_speeds;
pub(crate) mod roster;
pub(crate) mod stop_reason;
pub(crate) mod suspicion;
