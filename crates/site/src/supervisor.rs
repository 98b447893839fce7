//! Restarts a simulated worker at its address, under the same id or another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::sync::watch;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::FakeAdvice;
use crate::FakeStore;
use crate::FakeWorker;
use crate::RunLog;
use crate::wall_millis;

/// Header with the id of the worker that a call is meant for.
const TARGET_INSTANCE: &str = "target-instance";

/// Time from a crash until the worker has restarted under another id.
const CHANGED_ID_DELAY: Duration = Duration::from_millis(1500);

/// Time from a crash until the worker has restarted under the same id. An owner reads the list
/// of machines when a worker has been unresponsive for 250 ms; by then this worker is listed
/// again.
const SAME_ID_DELAY: Duration = Duration::from_millis(100);

/// Time between two checks for runs that are due and for crashes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Services that a supervised worker uses.
#[derive(Clone)]
pub struct WorkerContext {
    /// Store in which the worker registers.
    pub store: Arc<FakeStore>,
    /// Service that lists the machines.
    pub advice: Arc<FakeAdvice>,
    /// Log in which the worker records its runs, for the checks of the tests.
    pub log: RunLog,
}

/// Id under which a worker restarts after a task has crashed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestartId {
    /// A new id.
    #[default]
    Changed,
    /// The same id.
    Same,
    /// The same id and a new id alternately, beginning with the same id.
    Alternating,
    /// A new id; the worker does not report its incarnation.
    Unreported,
}

/// A restart of a worker under the same id.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// Time between the end of the old incarnation and the start of the new one.
    pub downtime: Duration,
    /// Time from the start of the new incarnation until its registration is written.
    pub registration_delay: Duration,
    /// Milliseconds by which the wall clock of the worker is set back during the restart: the start
    /// time of the new incarnation is that much earlier than the former one's; 0 if it is not set
    /// back.
    pub clock_back: u64,
}

impl Restart {
    /// Returns a restart that takes `downtime`, after which the worker registers at once.
    #[must_use]
    pub fn after(downtime: Duration) -> Restart {
        Restart {
            downtime,
            registration_delay: Duration::ZERO,
            clock_back: 0,
        }
    }
}

/// Runs a worker and restarts it after a task has crashed it.
pub struct WorkerSupervisor {
    /// Id of the first incarnation; new ids are derived from it.
    name: String,
    context: WorkerContext,
    restart_id: RestartId,
    /// Address of the worker; none until it is supervised.
    address: Mutex<Option<SocketAddr>>,
    current: Mutex<Arc<FakeWorker>>,
}

impl WorkerSupervisor {
    /// Creates a supervisor with the first incarnation of its worker, whose id is `name`.
    #[must_use]
    pub fn new(name: &str, context: WorkerContext, restart_id: RestartId) -> Arc<WorkerSupervisor> {
        let first = FakeWorker::new(name, context.log.clone());
        first.set_omits_incarnation(restart_id == RestartId::Unreported);
        context.advice.add(first.clone());
        Arc::new(WorkerSupervisor {
            name: name.to_owned(),
            context,
            restart_id,
            address: Mutex::default(),
            current: Mutex::new(first),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Arc<FakeWorker>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn current(&self) -> Arc<FakeWorker> {
        self.lock().clone()
    }

    /// Ends the worker's runs when they are due, and restarts the worker after crashes, until
    /// the sender of `stop` is dropped. `address` is the address of the worker.
    pub async fn supervise(
        self: Arc<WorkerSupervisor>,
        address: SocketAddr,
        stop: watch::Receiver<bool>,
    ) {
        self.set_address(address);
        let mut incarnations = 1;
        // The channel closes when the test ends.
        while stop.has_changed().is_ok() {
            let current = self.current();
            current.tick();
            if current.crashed() {
                incarnations += 1;
                self.restart_crashed(&current, incarnations).await;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Restarts the worker after a crash, unless the test has restarted it during the delay.
    /// `incarnations` is the number of incarnations including the one to be started.
    async fn restart_crashed(&self, crashed: &Arc<FakeWorker>, incarnations: usize) {
        let same = match self.restart_id {
            RestartId::Changed | RestartId::Unreported => false,
            RestartId::Same => true,
            RestartId::Alternating => incarnations.is_multiple_of(2),
        };
        tokio::time::sleep(if same {
            SAME_ID_DELAY
        } else {
            CHANGED_ID_DELAY
        })
        .await;
        if !Arc::ptr_eq(crashed, &self.current()) {
            return;
        }
        if same {
            self.start_incarnation(0);
            self.register();
        } else {
            self.restart_renamed(crashed, incarnations);
        }
    }

    /// Sets the address that the next registration contains.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    /// Ends the current incarnation and starts the next one under the same id.
    pub async fn restart(&self, restart: Restart) {
        self.current().die();
        tokio::time::sleep(restart.downtime).await;
        self.start_incarnation(restart.clock_back);
        tokio::time::sleep(restart.registration_delay).await;
        self.register();
    }

    /// Starts the next incarnation under the same id; `clock_back` as in [`Restart`].
    fn start_incarnation(&self, clock_back: u64) {
        let former = self.current();
        // The start time identifies the incarnation, so it must differ from the former one.
        let incarnation = match clock_back {
            0 => wall_millis().max(former.incarnation + 1),
            back => former.incarnation - back,
        };
        let next = former.next_incarnation(incarnation);
        self.context.advice.add(next.clone());
        *self.lock() = next;
    }

    /// Writes the registration of the current incarnation to the store.
    fn register(&self) {
        let address = *self.address.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current();
        if let Some(address) = address {
            let registration_row = current.registration_row(address);
            self.context
                .store
                .write("servers", &current.id, &registration_row);
        }
    }

    /// Starts the next incarnation under a new id, which contains its number `incarnations`, and
    /// registers it in place of the former one.
    fn restart_renamed(&self, former: &FakeWorker, incarnations: usize) {
        let id = format!("{}-{incarnations}", self.name);
        let next = FakeWorker::new(&id, self.context.log.clone());
        next.set_omits_incarnation(self.restart_id == RestartId::Unreported);
        self.context.advice.add(next.clone());
        *self.lock() = next;
        self.context.store.remove("servers", &former.id);
        self.register();
    }
}

impl Handler for WorkerSupervisor {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let current = self.current();
        let target = request.headers.get(TARGET_INSTANCE);
        let target = target.and_then(|value| value.to_str().ok());
        // A worker that is down answers no call, whichever worker the call is meant for.
        if !current.dead() && target.is_some_and(|id| id != current.id) {
            return web::json(StatusCode::MISDIRECTED_REQUEST, &json!({}));
        }
        current.handle(request).await
    }
}
