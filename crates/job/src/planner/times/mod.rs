//! Estimates of run times and of the speeds of workers. They know neither jobs nor workers.

pub(crate) mod expected;
pub(crate) mod factor;
pub(crate) mod run_times;
pub(crate) mod speed;
pub(crate) mod spread;
