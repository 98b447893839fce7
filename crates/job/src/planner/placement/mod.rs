//! Where tasks run: the choice of workers, gangs, preemption, reservations and advice.

pub(crate) mod advice;
pub(crate) mod advice_candidates;
pub(crate) mod gang;
pub(crate) mod headroom;
pub(crate) mod place;
pub(crate) mod preempt;
pub(crate) mod reservations;
pub(crate) mod speed_order;
pub(crate) mod speeds;
