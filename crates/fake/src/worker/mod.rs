//! Stand-in for a worker.

mod behaviour;
mod fake_worker;
mod handler;
mod lease;
mod state;

pub use self::behaviour::Behaviour;
pub use self::behaviour::FAIL_PAYLOAD;
pub use self::fake_worker::FakeWorker;
