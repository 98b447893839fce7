//! The owner's end of a link to one worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use job::WorkerInfo;
use job::WorkerKey;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::AnswerTime;
use super::clock_guess::ClockGuess;
use super::gate::Gate;
use super::holder::Holder;
use crate::Context;
use crate::OwnerMessage;

/// Workers that are claimed at the same time. An owner that takes 3,000 workers over
/// claimed all at once: its own renewals waited behind them for 1.2 s, and the pool was
/// lost as soon as it was open, again and again.
pub(crate) const CLAIMS: usize = 128;

/// What all links of an owner follow.
#[derive(Clone, Debug)]
pub(crate) struct LinkPace {
    /// Until when leases may be renewed.
    pub(crate) tenure: watch::Receiver<Duration>,
    /// How long a worker is to wait for an end.
    pub(crate) wait: watch::Receiver<Duration>,
    /// Permits to claim a worker, [`CLAIMS`] of them.
    pub(crate) claims: Arc<Semaphore>,
    /// How long answers take.
    pub(crate) answers: Arc<AnswerTime>,
}

/// The owner's end of a link.
pub(crate) struct Link {
    /// Where the worker takes orders.
    pub(crate) address: SocketAddr,
    /// The worker.
    pub(crate) id: String,
    /// What orders to it carry.
    pub(super) gate: Arc<Gate>,
    clock: Option<ClockGuess>,
    /// When the newest call was sent that the worker obeyed.
    heard: Option<Duration>,
    seen: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Link {
    /// Opens a link; its task claims the worker and then renews its lease.
    pub(super) fn open(
        context: &Context,
        key: WorkerKey,
        info: &WorkerInfo,
        gate: Arc<Gate>,
        sender: mpsc::Sender<OwnerMessage>,
        pace: LinkPace,
    ) -> Link {
        let (seen, seen_rx) = watch::channel(0);
        let holder = Holder::new(context, key, info, gate.clone(), sender, (pace, seen_rx));
        Link {
            address: info.address,
            id: info.id.clone(),
            gate,
            clock: None,
            heard: None,
            seen,
            task: tokio::spawn(holder.run()),
        }
    }

    pub(crate) fn set_clock(&mut self, worker: Duration, ours: Duration) {
        self.clock = Some(ClockGuess { worker, ours });
    }

    /// Ends up to this number were acknowledged.
    pub(crate) fn seen(&self) -> u64 {
        *self.seen.borrow()
    }

    /// The worker obeyed a call that was sent at this time.
    pub(crate) fn hear(&mut self, sent: Duration) {
        self.heard = self.heard.max(Some(sent));
    }

    /// When the newest call was sent that the worker obeyed.
    pub(crate) fn heard(&self) -> Option<Duration> {
        self.heard
    }

    /// End of a lease that begins now, on the worker's clock.
    pub(crate) fn lease_end(&self, now: Duration, lease: Duration) -> Option<Duration> {
        self.clock.map(|clock| clock.at(now) + lease)
    }

    /// Ends up to `number` are recorded.
    pub(crate) fn set_seen(&self, number: u64) {
        self.seen.send_if_modified(|seen| {
            let higher = number > *seen;
            *seen = number.max(*seen);
            higher
        });
    }

    /// Ends the link.
    pub(crate) fn close(self) {
        self.task.abort();
    }
}
