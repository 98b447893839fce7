//! Scheduling core of one shard: placement, queues and limits. It does no I/O
//! and uses neither a clock nor randomness, so the same sequence of calls
//! always gives the same decisions.

mod budget;
mod core;
mod health;
mod job;
mod offload;
mod policy;
mod pool;
mod queue;
mod worker;

pub use budget::*;
pub use core::*;
pub use health::*;
pub use job::*;
pub use policy::*;
pub use pool::*;
pub use queue::*;
pub use worker::*;
