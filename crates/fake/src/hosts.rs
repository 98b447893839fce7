//! Stand-in of the platform's host list, which lags.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use store::Host;
use store::HostState;
use web::Asked;
use web::Handler;
use web::StatusCode;
use web::Whole;

/// Changes of the list, with the time from which they are visible.
type Changes = Vec<(Instant, Vec<Host>)>;

/// Stand-in of the platform's host list.
#[derive(Clone, Debug)]
pub struct FakeHosts {
    changes: Arc<Mutex<Changes>>,
    lag: Duration,
}

impl FakeHosts {
    /// A list that shows each change after `lag`.
    #[must_use]
    pub fn new(hosts: Vec<Host>, lag: Duration) -> FakeHosts {
        FakeHosts {
            changes: Arc::new(Mutex::new(vec![(Instant::now(), hosts)])),
            lag,
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

    /// Takes a worker off the list.
    pub fn remove(&self, id: &str) {
        self.change(|hosts| hosts.retain(|host| host.id != id));
    }

    /// Puts a worker on the list.
    pub fn add(&self, host: Host) {
        self.change(|hosts| hosts.push(host));
    }

    /// The list as it is visible now.
    #[must_use]
    pub fn visible(&self) -> Vec<Host> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let visible = changes.iter().rev().find(|(from, _)| *from <= now);
        visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}

impl Handler for FakeHosts {
    async fn handle(&self, _asked: Asked) -> Whole {
        web::json(StatusCode::OK, &self.visible())
    }
}
