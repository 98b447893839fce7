//! Fake of the service that advises which workers may run a step, and of the one that lists
//! the machines.

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
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::FakeWorker;

/// Gives a ticket for each worker that a call for advice names, and lists the machines of the
/// workers that have not gone down.
#[derive(Debug)]
pub struct FakeAdvice {
    /// Number of calls for advice so far.
    calls: AtomicUsize,
    workers: Mutex<Vec<Arc<FakeWorker>>>,
    /// Number of calls for the list of machines so far.
    machine_lists: AtomicUsize,
    /// Time from reading the state of the machines until the list is sent.
    list_delay: Mutex<Duration>,
    /// JSON of further entries of the list.
    odd_machines: Mutex<Vec<String>>,
}

impl FakeAdvice {
    /// Creates a fake with these workers.
    #[must_use]
    pub fn new(workers: Vec<Arc<FakeWorker>>) -> Arc<FakeAdvice> {
        Arc::new(FakeAdvice {
            calls: AtomicUsize::new(0),
            workers: Mutex::new(workers),
            machine_lists: AtomicUsize::new(0),
            list_delay: Mutex::default(),
            odd_machines: Mutex::default(),
        })
    }

    /// Adds a worker, or a new incarnation of one, whose machine is listed until this incarnation
    /// ends.
    pub fn add(&self, worker: Arc<FakeWorker>) {
        lock(&self.workers).push(worker);
    }

    /// Sets the time from reading the state of the machines until the list is sent, which may
    /// then be outdated.
    pub fn set_list_delay(&self, delay: Duration) {
        *lock(&self.list_delay) = delay;
    }

    /// Adds an entry of another writer to the list of machines.
    pub fn add_odd_machine(&self, entry: &str) {
        let mut odd = lock(&self.odd_machines);
        odd.push(entry.to_owned());
    }

    /// Returns the number of calls for the list of machines so far.
    #[must_use]
    pub fn machine_lists(&self) -> usize {
        self.machine_lists.load(Ordering::Relaxed)
    }

    /// Returns the list as JSON, with the odd entries first.
    fn machines(&self) -> String {
        let workers = lock(&self.workers);
        let live = workers.iter().filter(|worker| !worker.dead());
        // Each worker is a machine of its own with the same id.
        let entry = |worker: &Arc<FakeWorker>| {
            json!({"machine": worker.id, "state": "up", "id": worker.id}).to_string()
        };
        let mut machines = lock(&self.odd_machines).clone();
        machines.extend(live.map(entry));
        let machines = machines.join(",");
        format!(r#"{{"machines":[{machines}],"next_token":null}}"#)
    }

    /// Returns the number of calls for advice so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

impl Handler for FakeAdvice {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        if request.path == "/-/machines" {
            let body = self.machines();
            self.machine_lists.fetch_add(1, Ordering::Relaxed);
            let delay = *lock(&self.list_delay);
            tokio::time::sleep(delay).await;
            return web::with_content_type(StatusCode::OK, "application/json", body.into_bytes());
        }
        // Any other path is a call for advice.
        self.calls.fetch_add(1, Ordering::Relaxed);
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let named = body["workers"].as_array().cloned().unwrap_or_default();
        // Worker and ticket for each worker; the tickets are valid for `valid_ms` milliseconds.
        let good: Vec<Value> = named.into_iter().map(|id| json!([id, "t"])).collect();
        web::json(StatusCode::OK, &json!({"good": good, "valid_ms": 1500}))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
