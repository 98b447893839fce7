//! A way to a worker's address that can be closed for good, as when it moves to another, or
//! on which starts are held up.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::watch;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::Restart;
use crate::WorkerPlace;

/// Time for which a worker that starts again is down.
const DOWN: Duration = Duration::from_millis(5);

/// Longest time for which an acknowledgement is held up.
const MOST_WAIT: Duration = Duration::from_secs(2);

/// Time between two looks at a worker.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// An address of a place. Calls get no answer once it is closed.
pub(crate) struct WorkerDoor {
    place: Arc<WorkerPlace>,
    closed: AtomicBool,
    /// For how long starts are held up.
    delay: Mutex<Duration>,
    /// The worker starts again under the next acknowledgement.
    trap: AtomicBool,
    /// How often it did.
    trapped: watch::Sender<usize>,
    /// Starts that are held up.
    held: Arc<AtomicUsize>,
    /// Acknowledgements that came while a start was held up.
    crossed: AtomicUsize,
}

impl WorkerDoor {
    pub(crate) fn new(place: Arc<WorkerPlace>) -> Arc<WorkerDoor> {
        Arc::new(WorkerDoor {
            place,
            closed: AtomicBool::new(false),
            delay: Mutex::default(),
            trap: AtomicBool::new(false),
            trapped: watch::Sender::new(0),
            held: Arc::default(),
            crossed: AtomicUsize::new(0),
        })
    }

    /// Acknowledgements that came while a start was held up.
    pub(crate) fn crossed(&self) -> usize {
        self.crossed.load(Ordering::Relaxed)
    }

    pub(crate) fn set_start_delay(&self, delay: Duration) {
        *self.lock() = delay;
    }

    fn lock(&self) -> MutexGuard<'_, Duration> {
        self.delay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The worker starts again while the next acknowledgement is on its way, which reaches
    /// the new life after that has ended a run; gives when the new life has begun.
    pub(crate) fn trap(&self) -> watch::Receiver<usize> {
        self.trap.store(true, Ordering::Relaxed);
        self.trapped.subscribe()
    }

    async fn spring(&self, asked: &HttpRequest) {
        if !acknowledges(asked) || !self.trap.swap(false, Ordering::Relaxed) {
            return;
        }
        self.place.restart(Restart::after(DOWN)).await;
        self.trapped.send_modify(|times| *times += 1);
        let life = self.place.current();
        let ended = async {
            while life.ends() == 0 {
                tokio::time::sleep(LOOK_EVERY).await;
            }
        };
        // Without a run there is nothing to be forgotten; the test shows that.
        let _ = tokio::time::timeout(MOST_WAIT, ended).await;
    }

    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// Whether an order acknowledges ends.
fn acknowledges(asked: &HttpRequest) -> bool {
    let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
    body["seen_upto"].as_u64().is_some_and(|seen| seen > 0)
}

impl Handler for WorkerDoor {
    async fn handle(&self, asked: HttpRequest) -> HttpResponse {
        if self.closed.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let delay = *self.lock();
        if asked.path == "/-/run-start" && !delay.is_zero() {
            let (held, place) = (self.held.clone(), self.place.clone());
            // It arrives whether its answer is still waited for or not.
            let carried = tokio::spawn(async move {
                held.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(delay).await;
                held.fetch_sub(1, Ordering::Relaxed);
                place.handle(asked).await
            });
            return carried.await.expect("a late start is carried out");
        }
        if self.held.load(Ordering::Relaxed) > 0 && acknowledges(&asked) {
            self.crossed.fetch_add(1, Ordering::Relaxed);
        }
        if self.trap.load(Ordering::Relaxed) {
            self.spring(&asked).await;
        }
        self.place.handle(asked).await
    }
}
