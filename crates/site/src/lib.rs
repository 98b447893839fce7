//! Stand-ins of the platform, written from its published protocol, and a
//! harness that runs whole processes against them. Only tests use them.

mod advice;
mod caller;
mod cell;
mod cores;
mod door;
mod entry;
mod finish;
mod late;
mod loopback;
mod place;
mod runs;
mod script;
mod store;
mod thin_link;
mod ticking;
mod worker;

pub use advice::*;
pub use caller::*;
pub use cell::*;
pub use entry::*;
pub use late::*;
pub use loopback::*;
pub use place::*;
pub use runs::*;
pub use script::*;
pub use store::*;
pub use thin_link::*;
pub use ticking::*;
pub use worker::*;
