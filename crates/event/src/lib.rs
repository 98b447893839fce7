//! Numbered event kinds, causal timestamps and the timeline of a process.

mod event;
mod hlc;
mod kind;
mod timeline;

pub use event::*;
pub use hlc::*;
pub use kind::*;
pub use timeline::*;
