//! What a successor takes over: runs of the former owner, incarnations of workers, saved progress.

pub(crate) mod adopt;
pub(crate) mod batch;
pub(crate) mod incarnations;
pub(crate) mod inherited;
pub(crate) mod learnt;
