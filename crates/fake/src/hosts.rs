//! Stand-in for the platform's host list, in which each change becomes visible
//! after a delay.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use store::Host;
use store::HostState;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::StatusCode;

/// Versions of the list, each with the time from which it is visible.
type Changes = Vec<(Instant, Vec<Host>)>;

/// Stand-in for the platform's host list; clones share the list.
#[derive(Clone, Debug)]
pub struct FakeHosts {
    changes: Arc<Mutex<Changes>>,
    lag: Duration,
    /// JSON of entries of another writer.
    odd: Arc<Mutex<Vec<String>>>,
}

impl FakeHosts {
    /// Creates a list in which each change becomes visible after `lag`.
    #[must_use]
    pub fn new(hosts: Vec<Host>, lag: Duration) -> FakeHosts {
        FakeHosts {
            changes: Arc::new(Mutex::new(vec![(Instant::now(), hosts)])),
            lag,
            odd: Arc::default(),
        }
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut hosts = changes
            .last()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default();
        change(&mut hosts);
        changes.push((Instant::now() + self.lag, hosts));
    }

    /// Marks a worker as leaving.
    pub fn mark_leaving(&self, id: &str) {
        self.change(|hosts| {
            for host in hosts.iter_mut().filter(|host| host.id == id) {
                host.state = HostState::Leaving;
            }
        });
    }

    /// Removes a worker from the list.
    pub fn remove(&self, id: &str) {
        self.change(|hosts| hosts.retain(|host| host.id != id));
    }

    /// Adds a worker to the list.
    pub fn add(&self, host: Host) {
        self.change(|hosts| hosts.push(host));
    }

    /// Adds an entry of another writer, at the front of the list.
    pub fn add_odd(&self, entry: &str) {
        let mut odd = self.odd.lock().unwrap_or_else(PoisonError::into_inner);
        odd.push(entry.to_owned());
    }

    /// Returns the list that is visible now.
    #[must_use]
    pub fn visible(&self) -> Vec<Host> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let current = changes.iter().rev().find(|(from, _)| *from <= now);
        current.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}

impl Handler for FakeHosts {
    async fn handle(&self, _request: HttpRequest) -> HttpResponse {
        let mut entries = {
            let odd = self.odd.lock().unwrap_or_else(PoisonError::into_inner);
            odd.clone()
        };
        let hosts = self.visible();
        let encoded = hosts.iter().map(serde_json::to_string);
        entries.extend(encoded.filter_map(Result::ok));
        let list = format!("[{}]", entries.join(","));
        web::with_content_type(StatusCode::OK, "application/json", list.into_bytes())
    }
}
