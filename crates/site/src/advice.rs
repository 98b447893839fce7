//! Stand-in of the service that knows which workers may run a step, and of the
//! one that knows the machines.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

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
    workers: Vec<Arc<WorkerStand>>,
}

impl AdviceStand {
    /// A stand-in that knows `workers`.
    #[must_use]
    pub fn new(workers: Vec<Arc<WorkerStand>>) -> Arc<AdviceStand> {
        Arc::new(AdviceStand {
            calls: AtomicUsize::new(0),
            workers,
        })
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
            let alive = self.workers.iter().filter(|worker| !worker.dead());
            let machines: Vec<Value> = alive
                .map(|worker| json!({"machine": worker.id, "state": "up", "id": worker.id}))
                .collect();
            let body = json!({"machines": machines, "next_token": null});
            return web::json(StatusCode::OK, &body);
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
        let named = body["workers"].as_array().cloned().unwrap_or_default();
        let good: Vec<Value> = named.into_iter().map(|id| json!([id, "t"])).collect();
        web::json(StatusCode::OK, &json!({"good": good, "valid_ms": 1500}))
    }
}
