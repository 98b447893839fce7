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
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::AdviceStand;
use crate::RunLog;
use crate::StoreStand;
use crate::WorkerStand;
use crate::wall_millis;

/// Header that names the life of the worker that a call is meant for.
const INCARNATION: &str = "target-instance";

/// Time from a crash until the worker is back under another id.
const RETURN_TIME: Duration = Duration::from_millis(1500);

/// The same under its id: no list of machines misses it.
const QUICK_RETURN: Duration = Duration::from_millis(100);

/// Time between two looks at the worker.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// What a worker of the place knows besides itself.
#[derive(Clone)]
pub struct Surroundings {
    /// Where it registers.
    pub store: Arc<StoreStand>,
    /// Knows the machines.
    pub advice: Arc<AdviceStand>,
    /// Judges what it does.
    pub log: RunLog,
}

/// Under which id a worker comes back after a task has taken it down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ComesBack {
    /// Another one.
    #[default]
    Renamed,
    /// The one that it had.
    Same,
    /// One and the other in turn.
    InTurn,
    /// Another one, as workers do that name no life.
    Nameless,
}

/// A restart of a worker under its id.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// Time for which it is down.
    pub down: Duration,
    /// Time from its start until its entry says so.
    pub entry_after: Duration,
    /// Milliseconds by which its clock went back meanwhile.
    pub clock_back: u64,
}

impl Restart {
    /// A restart after `down`, with an entry at once.
    #[must_use]
    pub fn after(down: Duration) -> Restart {
        Restart {
            down,
            entry_after: Duration::ZERO,
            clock_back: 0,
        }
    }
}

/// A place for a worker, which comes back after a task has taken it down.
pub struct WorkerPlace {
    name: String,
    around: Surroundings,
    comes_back: ComesBack,
    /// Where it is reached, once it lives.
    address: Mutex<Option<SocketAddr>>,
    current: Mutex<Arc<WorkerStand>>,
}

impl WorkerPlace {
    /// A place with its first life, whose id is `name`.
    #[must_use]
    pub fn new(name: &str, around: Surroundings, comes_back: ComesBack) -> Arc<WorkerPlace> {
        let first = WorkerStand::new(name, around.log.clone());
        first.set_nameless(comes_back == ComesBack::Nameless);
        around.advice.add(first.clone());
        Arc::new(WorkerPlace {
            name: name.to_owned(),
            around,
            comes_back,
            address: Mutex::default(),
            current: Mutex::new(first),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Arc<WorkerStand>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The worker that is there now.
    #[must_use]
    pub fn current(&self) -> Arc<WorkerStand> {
        self.lock().clone()
    }

    /// Lets the worker go on by its own clock, and come back after a crash. `address`
    /// is where it is reached.
    pub async fn live(self: Arc<WorkerPlace>, address: SocketAddr, stop: watch::Receiver<bool>) {
        self.set_address(address);
        let mut life = 1;
        // The channel closes with the test.
        while stop.has_changed().is_ok() {
            let current = self.current();
            current.tick();
            if current.crashed() {
                life += 1;
                self.come_back(&current, life).await;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// The worker comes back after a crash, unless it was started again meanwhile.
    async fn come_back(&self, crashed: &Arc<WorkerStand>, life: usize) {
        let same = match self.comes_back {
            ComesBack::Renamed | ComesBack::Nameless => false,
            ComesBack::Same => true,
            ComesBack::InTurn => life.is_multiple_of(2),
        };
        tokio::time::sleep(if same { QUICK_RETURN } else { RETURN_TIME }).await;
        if !Arc::ptr_eq(crashed, &self.current()) {
            return;
        }
        if same {
            self.start_again(0);
            self.register();
        } else {
            self.rename(crashed, life);
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
        self.start_again(restart.clock_back);
        tokio::time::sleep(restart.entry_after).await;
        self.register();
    }

    fn start_again(&self, clock_back: u64) {
        let former = self.current();
        // Two lives of one millisecond would be one.
        let born = match clock_back {
            0 => wall_millis().max(former.born + 1),
            back => former.born - back,
        };
        let next = former.next_life(born);
        self.around.advice.add(next.clone());
        *self.lock() = next;
    }

    /// The worker that is there writes its entry.
    fn register(&self) {
        let address = *self.address.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current();
        if let Some(address) = address {
            let entry = current.entry(address);
            self.around.store.write("servers", &current.id, &entry);
        }
    }

    fn rename(&self, former: &WorkerStand, life: usize) {
        let id = format!("{}-{life}", self.name);
        let next = WorkerStand::new(&id, self.around.log.clone());
        next.set_nameless(self.comes_back == ComesBack::Nameless);
        self.around.advice.add(next.clone());
        *self.lock() = next;
        self.around.store.remove("servers", &former.id);
        self.register();
    }
}

impl Handler for WorkerPlace {
    async fn handle(&self, asked: HttpRequest) -> HttpResponse {
        let current = self.current();
        let meant = asked.headers.get(INCARNATION);
        let meant = meant.and_then(|value| value.to_str().ok());
        if !current.dead() && meant.is_some_and(|id| id != current.id) {
            return web::json(StatusCode::MISDIRECTED_REQUEST, &json!({}));
        }
        current.handle(asked).await
    }
}
