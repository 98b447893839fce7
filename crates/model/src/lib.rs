//! Data types shared by all processes of a cell: ids, resources, requests,
//! answers, result codes and the configuration document.

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
