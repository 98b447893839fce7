//! Model of jobs, steps, tasks and workers, and the planner that places tasks on workers.
//!
//! This crate does no I/O and reads no clock: the owner process passes in events with the time of
//! its monotonic clock and sends the commands that the planner returns.

mod admission;
mod bounds;
mod id;
mod learnt;
mod mechanism;
mod organisation;
mod planner;
mod progress;
mod queue;
mod renewal;
mod spec;
mod worker;

pub use admission::*;
pub use bounds::*;
pub use id::*;
pub use learnt::*;
pub use mechanism::*;
pub use organisation::*;
pub use planner::*;
pub use progress::*;
pub use queue::*;
pub use renewal::*;
pub use spec::*;
pub use worker::*;
