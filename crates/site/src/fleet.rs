//! Workers that write heartbeats to the store, and drain before they leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;

use crate::FakeAdvice;
use crate::FakeStore;
use crate::FakeWorker;
use crate::LimitedLink;
use crate::RunLog;
use crate::serve;

/// Time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A worker of the fleet.
struct Member {
    worker: Arc<FakeWorker>,
    address: SocketAddr,
}

impl Member {
    /// Writes the registration with the number `seq` of the heartbeat.
    fn register(&self, store: &FakeStore, seq: u64) {
        let mut row = self.worker.registration_row(self.address);
        row["seq"] = json!(seq);
        store.write("servers", &self.worker.id, &row);
    }
}

/// Workers that write heartbeats.
pub struct Fleet {
    members: Vec<Arc<Member>>,
    store: Arc<FakeStore>,
}

impl Fleet {
    /// Starts `count` workers, which are reached over `link` if it is given, and which write
    /// heartbeats until the sender of `stop` is dropped.
    pub async fn open(
        count: usize,
        store: &Arc<FakeStore>,
        advice: &Arc<FakeAdvice>,
        log: &RunLog,
        link: Option<&Arc<LimitedLink>>,
        stop: &watch::Receiver<bool>,
    ) -> Fleet {
        let mut members = Vec::new();
        for index in 0..count {
            let worker = FakeWorker::new(&format!("w{index}"), log.clone());
            advice.add(worker.clone());
            let mut address = serve(worker.clone(), stop).await;
            if let Some(link) = link {
                address = link.listen(address, stop.clone()).await;
            }
            let member = Arc::new(Member { worker, address });
            let delay = HEARTBEAT.mul_f64(share(index, count));
            tokio::spawn(beat(member.clone(), store.clone(), delay, stop.clone()));
            members.push(member);
        }
        Fleet {
            members,
            store: store.clone(),
        }
    }

    /// Number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no workers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Registers a worker as draining at once.
    pub fn drain(&self, index: usize) {
        let member = &self.members[index];
        member.worker.drain();
        member.register(&self.store, 0);
    }

    /// Lets a worker leave: its runs end, it answers no more, and its registration is removed.
    pub fn leave(&self, index: usize) {
        let worker = &self.members[index].worker;
        worker.die();
        self.store.remove("servers", &worker.id);
    }
}

#[allow(clippy::cast_precision_loss)] // small numbers
fn share(index: usize, count: usize) -> f64 {
    index as f64 / count as f64
}

/// Writes the heartbeats of a worker, the first one at once.
async fn beat(
    member: Arc<Member>,
    store: Arc<FakeStore>,
    delay: Duration,
    stop: watch::Receiver<bool>,
) {
    member.register(&store, 1);
    tokio::time::sleep(delay).await;
    let mut seq = 1;
    while stop.has_changed().is_ok() && !member.worker.dead() {
        seq += 1;
        member.register(&store, seq);
        tokio::time::sleep(HEARTBEAT).await;
    }
}
