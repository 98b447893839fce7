//! Fakes of the platform's services, and a harness that runs whole processes against them. The
//! fakes implement the platform's published protocol without sharing code with its clients.
//! Only tests use this crate.

mod advice;
mod caller;
mod cell;
mod clock;
mod cores;
mod cpu_quota;
mod delayed;
mod finish;
mod fleet;
mod limited_link;
mod loopback;
mod odd;
mod registration;
mod run_log;
mod scripted;
mod store;
mod supervisor;
mod worker;
mod worker_proxy;

pub use advice::*;
pub use caller::*;
pub use cell::*;
pub use clock::*;
pub use cpu_quota::*;
pub use delayed::*;
pub use fleet::*;
pub use limited_link::*;
pub use loopback::*;
pub use odd::*;
pub use registration::*;
pub use run_log::*;
pub use scripted::*;
pub use store::*;
pub use supervisor::*;
pub use worker::*;
