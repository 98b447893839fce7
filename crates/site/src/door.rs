//! A way to a worker's address that can be closed for good, as when it moves to another.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use web::Asked;
use web::Handler;
use web::Whole;

use crate::WorkerPlace;

/// An address of a place. Calls get no answer once it is closed.
pub(crate) struct WorkerDoor {
    place: Arc<WorkerPlace>,
    closed: AtomicBool,
}

impl WorkerDoor {
    pub(crate) fn new(place: Arc<WorkerPlace>) -> Arc<WorkerDoor> {
        Arc::new(WorkerDoor {
            place,
            closed: AtomicBool::new(false),
        })
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
        self.place.handle(asked).await
    }
}
