//! Proxy between the processes and a worker. It can be closed permanently, as when the worker
//! moves to another address, delay start commands, and restart the worker before an
//! acknowledgement arrives.

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

/// Longest time for which an acknowledgement is delayed after a restart.
const MAX_ACK_DELAY: Duration = Duration::from_secs(2);

/// Time between two checks whether a run has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Forwards calls to the current incarnation of a worker. Calls get no reply once the proxy is
/// closed.
pub(crate) struct WorkerProxy {
    supervisor: Arc<WorkerSupervisor>,
    closed: AtomicBool,
    /// Delay of start commands.
    start_delay: Mutex<Duration>,
    /// Whether the worker restarts before the next acknowledgement of ended runs is delivered.
    restart_armed: AtomicBool,
    /// Number of restarts of the worker by this proxy.
    restarts: watch::Sender<usize>,
    /// Number of start commands that are delayed at present.
    delayed_starts: Arc<AtomicUsize>,
    /// Number of acknowledgements of ended runs that arrived while a start command was delayed.
    overlapping_acks: AtomicUsize,
}

impl WorkerProxy {
    pub(crate) fn new(supervisor: Arc<WorkerSupervisor>) -> Arc<WorkerProxy> {
        Arc::new(WorkerProxy {
            supervisor,
            closed: AtomicBool::new(false),
            start_delay: Mutex::default(),
            restart_armed: AtomicBool::new(false),
            restarts: watch::Sender::new(0),
            delayed_starts: Arc::default(),
            overlapping_acks: AtomicUsize::new(0),
        })
    }

    /// Number of acknowledgements of ended runs that arrived while a start command was delayed.
    pub(crate) fn overlapping_acks(&self) -> usize {
        self.overlapping_acks.load(Ordering::Relaxed)
    }

    pub(crate) fn set_start_delay(&self, delay: Duration) {
        *self.lock() = delay;
    }

    fn lock(&self) -> MutexGuard<'_, Duration> {
        self.start_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the worker while the next acknowledgement of ended runs is in transit. The
    /// acknowledgement reaches the new incarnation after a run of this incarnation has ended.
    /// The returned channel changes when the new incarnation has started.
    pub(crate) fn arm_restart(&self) -> watch::Receiver<usize> {
        self.restart_armed.store(true, Ordering::Relaxed);
        self.restarts.subscribe()
    }

    /// If a restart is armed and the command acknowledges ended runs, restarts the worker and
    /// returns once a run of the new incarnation has ended, or after [`MAX_ACK_DELAY`].
    async fn restart_if_armed(&self, request: &HttpRequest) {
        if !acknowledges(request) || !self.restart_armed.swap(false, Ordering::Relaxed) {
            return;
        }
        self.supervisor
            .restart(Restart::after(RESTART_DOWNTIME))
            .await;
        self.restarts.send_modify(|count| *count += 1);
        let restarted = self.supervisor.current();
        let ended = async {
            while restarted.ends() == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        // If no run ends within the maximum delay, the acknowledgement is delivered anyway; the
        // new incarnation then has no end that it could remove.
        let _ = tokio::time::timeout(MAX_ACK_DELAY, ended).await;
    }

    /// Closes the proxy permanently: all further calls get no reply.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// Whether a command acknowledges ended runs.
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
            let reply = tokio::spawn(async move {
                delayed_starts.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(delay).await;
                delayed_starts.fetch_sub(1, Ordering::Relaxed);
                supervisor.handle(request).await
            });
            return reply
                .await
                .expect("the delayed start command is carried out");
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
