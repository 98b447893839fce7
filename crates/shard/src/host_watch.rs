//! Polls the platform's host list and shares it with all tasks of the process.

use std::sync::Arc;
use std::time::Duration;

use store::Host;
use store::HostList;
use tokio::sync::watch;

/// Interval between polls.
const POLL: Duration = Duration::from_millis(500);

/// The newest host list; `None` until the first one was read.
pub type Hosts = Option<Arc<Vec<Host>>>;

/// Polls the host list until all receivers are gone. While the list cannot be
/// read, the last one remains in use.
pub async fn watch_hosts<H: HostList>(list: H, hosts: watch::Sender<Hosts>) {
    while !hosts.is_closed() {
        match list.hosts().await {
            Ok(now) => publish(&hosts, now),
            Err(error) => log::debug!("cannot read the host list: {error}"),
        }
        tokio::time::sleep(POLL).await;
    }
}

fn publish(hosts: &watch::Sender<Hosts>, now: Vec<Host>) {
    hosts.send_if_modified(|known| {
        if known.as_ref().is_some_and(|known| **known == now) {
            return false;
        }
        *known = Some(Arc::new(now));
        true
    });
}
