//! Stand-in of a worker.

mod fake_worker;
mod handler;
mod lease;
mod manner;
mod state;

pub use self::fake_worker::FakeWorker;
pub use self::manner::FAIL_PAYLOAD;
pub use self::manner::Manner;
