//! The owner of the pool: one task that runs the planner, and the tasks around it that call the
//! workers, write progress to the store and assign advice calls to helpers, which are processes on
//! other hosts that make these calls for the owner.

mod cancellation;
mod clock_estimate;
mod commands;
mod dispatch;
mod fencing;
mod freshness;
mod guarded_commit;
mod handlers;
mod helpers;
mod learnt_state;
mod link;
mod liveness;
mod load;
mod marks;
mod messages;
mod overload;
mod pool;
mod queue_counts;
mod registrations;
mod renewal_interval;
mod renewal_task;
mod reply_latency;
mod reply_wait;
mod retention;
mod saver;
mod start_age;
mod start_call;
mod start_deadline;
mod start_window;
mod store_contact;
mod supervise;
mod takeover;
mod worker_rows;

pub use helpers::quick_helpers;
pub use messages::*;
pub use renewal_interval::calls_per_second;
pub use renewal_interval::max_reply_delay;
pub use reply_latency::ReplyLatency;
pub use reply_wait::ReplyWait;
pub use start_deadline::StartDeadline;
pub use start_window::StartWindow;
pub use store_contact::StoreContact;
pub use supervise::*;
pub use worker_rows::WorkerRows;

pub(crate) use helpers::Helpers;
pub(crate) use link::Link;
pub(crate) use link::LinkShared;
pub(crate) use link::MAX_CLAIMS;
pub(crate) use liveness::LivenessCheck;
pub(crate) use pool::Pool;
pub(crate) use queue_counts::QueueCounts;
pub(crate) use registrations::follow_workers;
pub(crate) use retention::Retention;
pub(crate) use saver::Saver;
