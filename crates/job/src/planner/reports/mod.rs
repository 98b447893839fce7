//! What reports of workers change.

pub(crate) mod job_start;
pub(crate) mod late_end;
pub(crate) mod observed_factors;
pub(crate) mod observed_times;
pub(crate) mod report;
pub(crate) mod unmatched;
