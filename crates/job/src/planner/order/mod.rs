//! The order in which waiting work starts and in which changes are saved.

pub(crate) mod forecast;
pub(crate) mod rank;
pub(crate) mod save_order;
