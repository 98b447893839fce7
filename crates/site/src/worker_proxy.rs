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
use web::Asked;
use web::Handler;
use web::Whole;

use crate::Restart;
use crate::WorkerSupervisor;

/// Time for which a worker that starts again is down.
const RESTART_DOWNTIME: Duration = Duration::from_millis(5);

/// Longest time for which an acknowledgement is held up.
const MAX_ACK_DELAY: Duration = Duration::from_secs(2);

/// Time between two looks at a worker.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// An address of a place. Calls get no answer once it is closed.
pub(crate) struct WorkerProxy {
    supervisor: Arc<WorkerSupervisor>,
    closed: AtomicBool,
    /// For how long starts are held up.
    delay: Mutex<Duration>,
    /// The worker starts again under the next acknowledgement.
    restart_armed: AtomicBool,
    /// How often it did.
    restarts: watch::Sender<usize>,
    /// Starts that are held up.
    delayed_starts: Arc<AtomicUsize>,
    /// Acknowledgements that came while a start was held up.
    overlapping_acks: AtomicUsize,
}

impl WorkerProxy {
    pub(crate) fn new(supervisor: Arc<WorkerSupervisor>) -> Arc<WorkerProxy> {
        Arc::new(WorkerProxy {
            supervisor,
            closed: AtomicBool::new(false),
            delay: Mutex::default(),
            restart_armed: AtomicBool::new(false),
            restarts: watch::Sender::new(0),
            delayed_starts: Arc::default(),
            overlapping_acks: AtomicUsize::new(0),
        })
    }

    /// Acknowledgements that came while a start was held up.
    pub(crate) fn overlapping_acks(&self) -> usize {
        self.overlapping_acks.load(Ordering::Relaxed)
    }

    pub(crate) fn set_start_delay(&self, delay: Duration) {
        *self.lock() = delay;
    }

    fn lock(&self) -> MutexGuard<'_, Duration> {
        self.delay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The worker starts again while the next acknowledgement is on its way, which reaches
    /// the new life after that has ended a run; gives when the new life has begun.
    pub(crate) fn arm_restart(&self) -> watch::Receiver<usize> {
        self.restart_armed.store(true, Ordering::Relaxed);
        self.restarts.subscribe()
    }

    async fn restart_if_armed(&self, asked: &Asked) {
        if !acknowledges(asked) || !self.restart_armed.swap(false, Ordering::Relaxed) {
            return;
        }
        self.supervisor
            .restart(Restart::after(RESTART_DOWNTIME))
            .await;
        self.restarts.send_modify(|times| *times += 1);
        let incarnation = self.supervisor.current();
        let ended = async {
            while incarnation.ends() == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        // Without a run there is nothing to be forgotten; the test shows that.
        let _ = tokio::time::timeout(MAX_ACK_DELAY, ended).await;
    }

    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// Whether an order acknowledges ends.
fn acknowledges(asked: &Asked) -> bool {
    let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
    body["seen_upto"].as_u64().is_some_and(|seen| seen > 0)
}

impl Handler for WorkerProxy {
    async fn handle(&self, asked: Asked) -> Whole {
        if self.closed.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let delay = *self.lock();
        if asked.path == "/-/run-start" && !delay.is_zero() {
            let (delayed_starts, supervisor) =
                (self.delayed_starts.clone(), self.supervisor.clone());
            // It arrives whether its answer is still waited for or not.
            let carried = tokio::spawn(async move {
                delayed_starts.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(delay).await;
                delayed_starts.fetch_sub(1, Ordering::Relaxed);
                supervisor.handle(asked).await
            });
            return carried.await.expect("a late start is carried out");
        }
        if self.delayed_starts.load(Ordering::Relaxed) > 0 && acknowledges(&asked) {
            self.overlapping_acks.fetch_add(1, Ordering::Relaxed);
        }
        if self.restart_armed.load(Ordering::Relaxed) {
            self.restart_if_armed(&asked).await;
        }
        self.supervisor.handle(asked).await
    }
}
