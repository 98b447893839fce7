//! What may run at all: limits of organisations, capacities that may have shrunk, jobs that can
//! never run.

pub(crate) mod bands;
pub(crate) mod excess;
pub(crate) mod impossible;
pub(crate) mod organisations;
pub(crate) mod peak_pools;
pub(crate) mod shares;
pub(crate) mod stale_capacity;
pub(crate) mod turns;
