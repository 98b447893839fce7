//! The owner of the pool: one task that runs the planner, and the tasks around it that talk to
//! the workers, write progress to the store and hand advice calls to helpers.

mod answer_time;
mod clock_guess;
mod counts;
mod gate;
mod helpers;
mod hold_pace;
mod holder;
mod intake;
mod link;
mod lives;
mod load;
mod messages;
mod news;
mod pool;
mod retention;
mod roster;
mod saver;
mod sender;
mod standing;
mod start_call;
mod start_window;
mod strain;
mod supervise;
mod takeover;
mod worker_rows;

pub use answer_time::AnswerTime;
pub use hold_pace::calls_a_second;
pub use hold_pace::hold_wait;
pub use messages::*;
pub use start_window::StartWindow;
pub use supervise::*;

pub(crate) use counts::Counts;
pub(crate) use helpers::Helpers;
pub(crate) use link::CLAIMS;
pub(crate) use link::Link;
pub(crate) use link::LinkPace;
pub(crate) use lives::LifeCheck;
pub(crate) use pool::Pool;
pub(crate) use retention::Retention;
pub(crate) use roster::follow_workers;
pub(crate) use saver::Saver;
pub(crate) use worker_rows::WorkerRows;
