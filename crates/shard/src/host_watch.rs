//! Polls the platform's host list and shares it with all tasks of the process.

use std::sync::Arc;
use std::time::Duration;

use store::Host;
use store::HostList;
use tokio::sync::watch;

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The newest host list; `None` until the first one was read.
pub type Hosts = Option<Arc<Vec<Host>>>;

/// Polls the host list until all receivers are gone. While the list cannot be
/// read, the last one remains in use.
pub async fn watch_hosts<H: HostList>(list: H, hosts: watch::Sender<Hosts>) {
    while !hosts.is_closed() {
        match list.hosts().await {
            Ok(newest) => publish(&hosts, newest),
            Err(error) => log::debug!("cannot read the host list: {error}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn publish(hosts: &watch::Sender<Hosts>, newest: Vec<Host>) {
    hosts.send_if_modified(|current| {
        if current.as_ref().is_some_and(|current| **current == newest) {
            return false;
        }
        *current = Some(Arc::new(newest));
        true
    });
}
