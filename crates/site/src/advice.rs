//! Stand-in of the service that knows which workers may run a step, and of the
//! one that knows the machines.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::WorkerStand;

/// Calls all workers good.
#[derive(Debug)]
pub struct AdviceStand {
    calls: AtomicUsize,
    workers: Mutex<Vec<Arc<WorkerStand>>>,
    /// Lists of machines given, or being given.
    lists: AtomicUsize,
    /// How long the list of machines is under way after it was made.
    list_delay: Mutex<Duration>,
}

impl AdviceStand {
    /// A stand-in that knows `workers`.
    #[must_use]
    pub fn new(workers: Vec<Arc<WorkerStand>>) -> Arc<AdviceStand> {
        Arc::new(AdviceStand {
            calls: AtomicUsize::new(0),
            workers: Mutex::new(workers),
            lists: AtomicUsize::new(0),
            list_delay: Mutex::default(),
        })
    }

    /// A worker begins its life on a machine.
    pub fn add(&self, worker: Arc<WorkerStand>) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.push(worker);
    }

    /// The list of machines is under way for so long after it was made.
    pub fn set_list_delay(&self, delay: Duration) {
        let mut kept = self
            .list_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *kept = delay;
    }

    /// Number of lists of machines made so far.
    #[must_use]
    pub fn lists(&self) -> usize {
        self.lists.load(Ordering::Relaxed)
    }

    fn machines(&self) -> Value {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let alive = workers.iter().filter(|worker| !worker.dead());
        let machines: Vec<Value> = alive
            .map(|worker| json!({"machine": worker.id, "state": "up", "id": worker.id}))
            .collect();
        json!({"machines": machines, "next_token": null})
    }

    /// Number of calls for advice so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

impl Handler for AdviceStand {
    async fn handle(&self, asked: HttpRequest) -> HttpResponse {
        if asked.path == "/-/machines" {
            let body = self.machines();
            self.lists.fetch_add(1, Ordering::Relaxed);
            let delay = *self
                .list_delay
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            tokio::time::sleep(delay).await;
            return web::json(StatusCode::OK, &body);
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
        let named = body["workers"].as_array().cloned().unwrap_or_default();
        let good: Vec<Value> = named.into_iter().map(|id| json!([id, "t"])).collect();
        web::json(StatusCode::OK, &json!({"good": good, "valid_ms": 1500}))
    }
}
