//! An address at which one life of a worker follows another, under its id or another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::sync::watch;
use web::Asked;
use web::Handler;
use web::Whole;

use crate::FakeAdvice;
use crate::FakeStore;
use crate::FakeWorker;
use crate::RunLog;
use crate::wall_millis;

/// Header that names the life of the worker that a call is meant for.
const TARGET_INSTANCE: &str = "target-instance";

/// Time from a crash until the worker is back under another id.
const CHANGED_ID_DELAY: Duration = Duration::from_millis(1500);

/// The same under its id: no list of machines misses it.
const SAME_ID_DELAY: Duration = Duration::from_millis(100);

/// Time between two looks at the worker.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a worker of the place knows besides itself.
#[derive(Clone)]
pub struct WorkerContext {
    /// Where it registers.
    pub store: Arc<FakeStore>,
    /// Knows the machines.
    pub advice: Arc<FakeAdvice>,
    /// Judges what it does.
    pub log: RunLog,
}

/// Under which id a worker comes back after a task has taken it down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestartId {
    /// Another one.
    #[default]
    Changed,
    /// The one that it had.
    Same,
    /// One and the other in turn.
    Alternating,
    /// Another one, as workers do that name no life.
    Unreported,
}

/// A restart of a worker under its id.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// Time for which it is down.
    pub down: Duration,
    /// Time from its start until its entry says so.
    pub registration_delay: Duration,
    /// Milliseconds by which its clock went back meanwhile.
    pub clock_back: u64,
}

impl Restart {
    /// A restart after `down`, with an entry at once.
    #[must_use]
    pub fn after(down: Duration) -> Restart {
        Restart {
            down,
            registration_delay: Duration::ZERO,
            clock_back: 0,
        }
    }
}

/// A place for a worker, which comes back after a task has taken it down.
pub struct WorkerSupervisor {
    name: String,
    context: WorkerContext,
    restart_id: RestartId,
    /// Where it is reached, once it lives.
    address: Mutex<Option<SocketAddr>>,
    current: Mutex<Arc<FakeWorker>>,
}

impl WorkerSupervisor {
    /// A place with its first life, whose id is `name`.
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

    /// The worker that is there now.
    #[must_use]
    pub fn current(&self) -> Arc<FakeWorker> {
        self.lock().clone()
    }

    /// Lets the worker go on by its own clock, and come back after a crash. `address`
    /// is where it is reached.
    pub async fn supervise(
        self: Arc<WorkerSupervisor>,
        address: SocketAddr,
        stop: watch::Receiver<bool>,
    ) {
        self.set_address(address);
        let mut incarnations = 1;
        // The channel closes with the test.
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

    /// The worker comes back after a crash, unless it was started again meanwhile.
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
            self.rename(crashed, incarnations);
        }
    }

    /// Where the worker says from its next entry on that it is reached.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    /// The worker goes down, and starts again under its id.
    pub async fn restart(&self, restart: Restart) {
        self.current().die();
        tokio::time::sleep(restart.down).await;
        self.start_incarnation(restart.clock_back);
        tokio::time::sleep(restart.registration_delay).await;
        self.register();
    }

    fn start_incarnation(&self, clock_back: u64) {
        let former = self.current();
        // Two lives of one millisecond would be one.
        let incarnation = match clock_back {
            0 => wall_millis().max(former.incarnation + 1),
            back => former.incarnation - back,
        };
        let next = former.next_incarnation(incarnation);
        self.context.advice.add(next.clone());
        *self.lock() = next;
    }

    /// The worker that is there writes its entry.
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

    fn rename(&self, former: &FakeWorker, incarnations: usize) {
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
    async fn handle(&self, asked: Asked) -> Whole {
        let current = self.current();
        let target = asked.headers.get(TARGET_INSTANCE);
        let target = target.and_then(|value| value.to_str().ok());
        if !current.dead() && target.is_some_and(|id| id != current.id) {
            return web::json(StatusCode::MISDIRECTED_REQUEST, &json!({}));
        }
        current.handle(asked).await
    }
}
