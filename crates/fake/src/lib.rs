//! Small stand-ins for the platform's services and for workers, a
//! fault-injecting relay, and a harness that starts a whole cell. Only tests,
//! benches and the demo use them.

mod bucket;
mod cell;
mod checker;
mod client;
mod faults;
mod hosts;
mod load;
mod objects;
mod platform;
mod relay;
mod run_log;
mod table;
mod udp_relay;
mod verify;
mod way;
mod worker;

pub use cell::*;
pub use checker::*;
pub use client::*;
pub use faults::*;
pub use hosts::*;
pub use load::*;
pub use objects::*;
pub use platform::*;
pub use relay::*;
pub use run_log::*;
pub use table::*;
pub use udp_relay::*;
pub use verify::*;
pub use way::Way;
pub use worker::*;
