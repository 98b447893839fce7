//! The `clovermountd` process: its settings, its start, the supervision of its async tasks, and
//! its stop.

mod error;
mod process;
mod settings;
mod signals;
mod stop;
mod uploader;

pub use error::*;
pub use process::*;
pub use settings::*;
pub use signals::*;
pub use uploader::*;
