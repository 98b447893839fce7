//! An address at which one life of a worker follows another.

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

use crate::AdviceStand;
use crate::RunLog;
use crate::StoreStand;
use crate::WorkerStand;
use crate::registration;

/// Header that names the life of the worker that a call is meant for.
const INCARNATION: &str = "target-instance";

/// Time from a crash until the worker is back.
const RETURN_TIME: Duration = Duration::from_millis(1500);

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

/// A place for a worker, which comes back under another id after a task has taken it
/// down.
pub struct WorkerPlace {
    name: String,
    around: Surroundings,
    current: Mutex<Arc<WorkerStand>>,
}

impl WorkerPlace {
    /// A place with its first life, whose id is `name`.
    #[must_use]
    pub fn new(name: &str, around: Surroundings) -> Arc<WorkerPlace> {
        let first = WorkerStand::new(name, around.log.clone());
        around.advice.add(first.clone());
        Arc::new(WorkerPlace {
            name: name.to_owned(),
            around,
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
        let mut life = 1;
        // The channel closes with the test.
        while stop.has_changed().is_ok() {
            let current = self.current();
            current.tick();
            if current.crashed() {
                tokio::time::sleep(RETURN_TIME).await;
                life += 1;
                self.come_back(&current, life, address);
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    fn come_back(&self, former: &WorkerStand, life: usize, address: SocketAddr) {
        let id = format!("{}-{life}", self.name);
        let next = WorkerStand::new(&id, self.around.log.clone());
        self.around.advice.add(next.clone());
        *self.lock() = next;
        let store = &self.around.store;
        store.remove("servers", &former.id);
        store.write("servers", &id, &registration(address));
    }
}

impl Handler for WorkerPlace {
    async fn handle(&self, asked: Asked) -> Whole {
        let current = self.current();
        let meant = asked.headers.get(INCARNATION);
        let meant = meant.and_then(|value| value.to_str().ok());
        if !current.dead() && meant.is_some_and(|id| id != current.id) {
            return web::json(StatusCode::MISDIRECTED_REQUEST, &json!({}));
        }
        current.handle(asked).await
    }
}
