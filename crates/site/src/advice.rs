//! Stand-in of the service that knows which workers may run a step, and of the
//! one that knows the machines.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use web::Asked;
use web::Handler;
use web::Whole;

use crate::WorkerStand;

/// Calls all workers good.
#[derive(Debug)]
pub struct AdviceStand {
    calls: AtomicUsize,
    lists: AtomicUsize,
    known: Mutex<Known>,
}

#[derive(Debug)]
struct Known {
    workers: Vec<Arc<WorkerStand>>,
    /// Time between the look at the machines and the answer.
    list_delay: Duration,
}

impl AdviceStand {
    /// A stand-in that knows `workers`.
    #[must_use]
    pub fn new(workers: Vec<Arc<WorkerStand>>) -> Arc<AdviceStand> {
        Arc::new(AdviceStand {
            calls: AtomicUsize::new(0),
            lists: AtomicUsize::new(0),
            known: Mutex::new(Known {
                workers,
                list_delay: Duration::ZERO,
            }),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another machine runs a worker.
    pub fn add(&self, worker: Arc<WorkerStand>) {
        self.lock().workers.push(worker);
    }

    /// Lists of machines are answered this long after they were made.
    pub fn set_list_delay(&self, delay: Duration) {
        self.lock().list_delay = delay;
    }

    /// Number of lists of machines so far.
    #[must_use]
    pub fn lists(&self) -> usize {
        self.lists.load(Ordering::Relaxed)
    }

    async fn list(&self) -> Whole {
        let (machines, delay) = {
            let known = self.lock();
            let alive = known.workers.iter().filter(|worker| !worker.dead());
            let machines: Vec<Value> = alive
                .map(|worker| json!({"machine": worker.id, "state": "up", "id": worker.id}))
                .collect();
            (machines, known.list_delay)
        };
        self.lists.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(delay).await;
        let body = json!({"machines": machines, "next_token": null});
        web::json(StatusCode::OK, &body)
    }

    /// Number of calls for advice so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

impl Handler for AdviceStand {
    async fn handle(&self, asked: Asked) -> Whole {
        if asked.path == "/-/machines" {
            return self.list().await;
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
        let named = body["workers"].as_array().cloned().unwrap_or_default();
        let good: Vec<Value> = named.into_iter().map(|id| json!([id, "t"])).collect();
        web::json(StatusCode::OK, &json!({"good": good, "valid_ms": 1500}))
    }
}
