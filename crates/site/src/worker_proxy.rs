//! Proxy of a worker's address that can be closed for good, as when the worker moves to
//! another address, and that can delay start commands.

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
use crate::WorkerSupervisor;

/// Time between the end of an incarnation and the start of the next one.
const RESTART_DOWNTIME: Duration = Duration::from_millis(5);

/// Longest time for which an acknowledgement is delayed.
const MAX_ACK_DELAY: Duration = Duration::from_secs(2);

/// Time between two checks of a worker.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Forwards calls to the current incarnation of a worker. Calls get no reply once the proxy is
/// closed.
pub(crate) struct WorkerProxy {
    supervisor: Arc<WorkerSupervisor>,
    closed: AtomicBool,
    /// Delay of start commands.
    delay: Mutex<Duration>,
    /// Whether the worker restarts before the next acknowledgement is delivered.
    restart_armed: AtomicBool,
    /// Number of such restarts.
    restarts: watch::Sender<usize>,
    /// Number of start commands that are delayed at present.
    delayed_starts: Arc<AtomicUsize>,
    /// Number of acknowledgements that arrived while a start command was delayed.
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

    /// Number of acknowledgements that arrived while a start command was delayed.
    pub(crate) fn overlapping_acks(&self) -> usize {
        self.overlapping_acks.load(Ordering::Relaxed)
    }

    pub(crate) fn set_start_delay(&self, delay: Duration) {
        *self.lock() = delay;
    }

    fn lock(&self) -> MutexGuard<'_, Duration> {
        self.delay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the worker while the next acknowledgement is in transit; the acknowledgement
    /// reaches the new incarnation after that has ended a run. The returned channel changes
    /// when the new incarnation has started.
    pub(crate) fn arm_restart(&self) -> watch::Receiver<usize> {
        self.restart_armed.store(true, Ordering::Relaxed);
        self.restarts.subscribe()
    }

    async fn restart_if_armed(&self, request: &HttpRequest) {
        if !acknowledges(request) || !self.restart_armed.swap(false, Ordering::Relaxed) {
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
        // If no run ends within this time, the acknowledgement can remove no end and is
        // delivered.
        let _ = tokio::time::timeout(MAX_ACK_DELAY, ended).await;
    }

    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// Whether a command acknowledges ends.
fn acknowledges(request: &HttpRequest) -> bool {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    body["seen_upto"].as_u64().is_some_and(|seen| seen > 0)
}

impl Handler for WorkerProxy {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if self.closed.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let delay = *self.lock();
        if request.path == "/-/run-start" && !delay.is_zero() {
            let (delayed_starts, supervisor) =
                (self.delayed_starts.clone(), self.supervisor.clone());
            // The command arrives even if the caller no longer waits for the reply.
            let carried = tokio::spawn(async move {
                delayed_starts.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(delay).await;
                delayed_starts.fetch_sub(1, Ordering::Relaxed);
                supervisor.handle(request).await
            });
            return carried.await.expect("the delayed start is carried out");
        }
        if self.delayed_starts.load(Ordering::Relaxed) > 0 && acknowledges(&request) {
            self.overlapping_acks.fetch_add(1, Ordering::Relaxed);
        }
        if self.restart_armed.load(Ordering::Relaxed) {
            self.restart_if_armed(&request).await;
        }
        self.supervisor.handle(request).await
    }
}
