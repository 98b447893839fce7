//! Data types shared by all processes of a cell: ids, resources, requests,
//! answers, result codes and the configuration document.
//!
//! A cell is a group of scheduler processes with its workers. The processes share
//! one table of the platform, which is the environment that they run on: it offers
//! the table, an object store and the list of the workers (crate `store`). The
//! requests are divided into shards, each of which is owned by one process at a
//! time.

mod answer;
mod class;
mod code;
mod config;
mod id;
mod request;
mod resources;

pub use answer::*;
pub use class::*;
pub use code::*;
pub use config::*;
pub use id::*;
pub use request::*;
pub use resources::*;
