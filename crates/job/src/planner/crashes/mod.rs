//! Tasks that may crash their workers: counts, trials and start intents.

pub(crate) mod crash_count;
pub(crate) mod start_intent;
pub(crate) mod trial;
