//! A cell: equal processes that share one pool of workers. Each process accepts jobs into the
//! store; one process at a time owns the pool and sends commands to the workers.

mod acceptor;
pub mod access;
mod advice_helper;
mod callers;
mod cancel;
mod context;
mod error;
mod follower;
mod forecast;
mod known_version;
mod learnt;
mod logging;
mod metrics;
mod owner;
mod ownership;
mod peers;
mod probe;
mod process;
mod rejection;
mod retry;
mod rows;
mod settings;
mod stop;
mod stored;
mod submit;

pub use acceptor::*;
pub use advice_helper::*;
pub use callers::*;
pub use context::*;
pub use error::*;
pub use follower::*;
pub use forecast::*;
pub use known_version::*;
pub use learnt::*;
pub use logging::*;
pub use metrics::*;
pub use owner::*;
pub use ownership::*;
pub use peers::*;
pub(crate) use probe::probe_store;
pub use process::*;
pub use retry::spread;
pub use rows::*;
pub use settings::*;
pub use stop::*;
