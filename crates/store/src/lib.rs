//! Interfaces to the services of the platform on which the scheduler runs: the
//! transactional table, the object store and the host list. Each has a trait and
//! an HTTP client.

mod commit;
mod error;
mod hosts;
mod http_table;
mod objects;
mod table;

pub use commit::*;
pub use error::*;
pub use hosts::*;
pub use http_table::*;
pub use objects::*;
pub use table::*;
