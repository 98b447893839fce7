//! Small stand-ins for the platform's services and for workers,
//! fault-injecting relays, and a harness that starts a whole cell. Used only by
//! tests, benchmarks, and the demo and replay commands of the command-line tool.

mod cell;
mod checker;
mod client;
mod faults;
mod hosts;
mod load;
mod objects;
mod platform;
mod relay;
mod relay_handle;
mod run_log;
mod table;
mod token_bucket;
mod udp_relay;
mod verify;
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
pub use relay_handle::RelayHandle;
pub use run_log::*;
pub use table::*;
pub use udp_relay::*;
pub use verify::*;
pub use worker::*;
