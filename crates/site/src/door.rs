//! A way to a worker's address that can be closed for good, as when it moves to another, or
//! on which starts are held up.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use web::Asked;
use web::Handler;
use web::Whole;

use crate::WorkerPlace;

/// An address of a place. Calls get no answer once it is closed.
pub(crate) struct WorkerDoor {
    place: Arc<WorkerPlace>,
    closed: AtomicBool,
    /// Time for which starts are on their way.
    start_delay: Mutex<Duration>,
}

impl WorkerDoor {
    pub(crate) fn new(place: Arc<WorkerPlace>) -> Arc<WorkerDoor> {
        Arc::new(WorkerDoor {
            place,
            closed: AtomicBool::new(false),
            start_delay: Mutex::default(),
        })
    }

    pub(crate) fn set_start_delay(&self, delay: Duration) {
        *self.lock() = delay;
    }

    fn lock(&self) -> MutexGuard<'_, Duration> {
        self.start_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

impl Handler for WorkerDoor {
    async fn handle(&self, asked: Asked) -> Whole {
        if self.closed.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if asked.path == "/-/run-start" {
            let delay = *self.lock();
            tokio::time::sleep(delay).await;
        }
        self.place.handle(asked).await
    }
}
