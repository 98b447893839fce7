//! The owner's side of the connection to one worker.

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

/// Workers that are claimed at the same time. When an owner that took over 3,000 workers
/// claimed all of them at once, its own renewals were delayed by 1.2 s, and the pool was lost
/// as soon as it was opened, again and again.
pub(crate) const CLAIMS: usize = 128;

/// State that all links of an owner share.
#[derive(Clone, Debug)]
pub(crate) struct LinkPace {
    /// Until when leases may be renewed.
    pub(crate) tenure: watch::Receiver<Duration>,
    /// How long a worker may hold a call while it has no end to report.
    pub(crate) wait: watch::Receiver<Duration>,
    /// Permits to claim a worker, [`MAX_CLAIMS`] of them.
    pub(crate) claims: Arc<Semaphore>,
    /// Estimate of how long workers take to answer.
    pub(crate) answers: Arc<AnswerTime>,
}

/// The owner's side of the connection to one worker.
pub(crate) struct Link {
    /// Address at which the worker takes commands.
    pub(crate) address: SocketAddr,
    /// Id of the worker.
    pub(crate) id: String,
    /// Fencing token of the worker's commands, and starts in progress.
    pub(super) gate: Arc<Gate>,
    clock: Option<ClockGuess>,
    /// When the newest call was sent that the worker accepted.
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

    /// Number of the newest end that is saved in the store, up to which ends may be
    /// acknowledged.
    pub(crate) fn seen(&self) -> u64 {
        *self.seen.borrow()
    }

    /// Records that the worker accepted a call that was sent at this time.
    pub(crate) fn hear(&mut self, sent: Duration) {
        self.heard = self.heard.max(Some(sent));
    }

    /// When the newest call was sent that the worker accepted.
    pub(crate) fn heard(&self) -> Option<Duration> {
        self.heard
    }

    /// End of a lease that begins now, on the worker's clock.
    pub(crate) fn lease_end(&self, now: Duration, lease: Duration) -> Option<Duration> {
        self.clock.map(|clock| clock.at(now) + lease)
    }

    /// Records that ends up to `number` are saved in the store.
    pub(crate) fn set_seen(&self, number: u64) {
        self.seen.send_if_modified(|seen| {
            let higher = number > *seen;
            *seen = number.max(*seen);
            higher
        });
    }

    /// Closes the link and stops its task.
    pub(crate) fn close(self) {
        self.task.abort();
    }
}
