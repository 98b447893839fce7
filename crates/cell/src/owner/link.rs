//! The link to one worker: renews its lease and listens for ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use job::Epoch;
use job::Listing;
use job::WorkerInfo;
use job::WorkerKey;
use platform::Hold;
use platform::Ordered;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Context;
use crate::OwnerMessage;
use crate::WorkerNews;

/// Time for the worker's answer beyond that wait; it usually takes 5 ms.
const HOLD_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause after a renewal that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for ends to be recorded before the worker is asked again: it
/// answers at once while it lists ends that it has to keep.
const RECORD_WAIT: Duration = Duration::from_millis(250);

/// An estimate of a worker's steady clock.
#[derive(Clone, Copy, Debug, Default)]
struct ClockGuess {
    worker: Duration,
    ours: Duration,
}

impl ClockGuess {
    /// The worker's clock now; at most the true one, since its reading was on
    /// the way for some time.
    fn at(&self, now: Duration) -> Duration {
        self.worker + now.saturating_sub(self.ours)
    }
}

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
}

/// The owner's end of a link.
pub(crate) struct Link {
    /// Where the worker takes orders.
    pub(crate) address: SocketAddr,
    /// This life of the worker.
    pub(crate) id: String,
    clock: Option<ClockGuess>,
    /// When the newest call was sent that the worker obeyed.
    heard: Option<Duration>,
    seen: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Link {
    /// Opens a link; its task claims the worker and then renews its lease.
    pub(crate) fn open(
        context: &Context,
        key: WorkerKey,
        info: &WorkerInfo,
        epoch: Epoch,
        sender: mpsc::Sender<OwnerMessage>,
        pace: LinkPace,
    ) -> Link {
        let (seen, seen_rx) = watch::channel(0);
        let holder = Holder {
            context: context.clone(),
            key,
            address: info.address,
            id: info.id.clone(),
            epoch,
            lease: context.settings.policy().lease,
            sender,
            pace,
            seen: seen_rx,
            clock: None,
            renews: false,
            listed: 0,
        };
        Link {
            address: info.address,
            id: info.id.clone(),
            clock: None,
            heard: None,
            seen,
            task: tokio::spawn(holder.run()),
        }
    }

    pub(crate) fn set_clock(&mut self, worker: Duration, ours: Duration) {
        self.clock = Some(ClockGuess { worker, ours });
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

/// The task of a link.
struct Holder {
    context: Context,
    key: WorkerKey,
    address: SocketAddr,
    id: String,
    epoch: Epoch,
    lease: Duration,
    sender: mpsc::Sender<OwnerMessage>,
    pace: LinkPace,
    seen: watch::Receiver<u64>,
    clock: Option<ClockGuess>,
    /// The worker answered the last call, so the next one renews its lease.
    /// Calls to a silent one do not: each could arrive, so the lease would
    /// never be over and its tasks would never run again.
    renews: bool,
    /// Newest end that the worker has listed.
    listed: u64,
}

impl Holder {
    async fn run(mut self) {
        let mut reached = true;
        // Fails only if the semaphore is closed, which nobody does.
        let mut permit = self.pace.claims.clone().acquire_owned().await.ok();
        loop {
            let sent = self.context.now();
            let answer = self.hold(sent).await;
            permit.take();
            let failed = match answer {
                Ordered::Done(listing) => {
                    self.take(sent, listing).await;
                    None
                }
                Ordered::Fenced => {
                    self.tell(WorkerNews::Fenced).await;
                    return;
                }
                Ordered::Replaced => {
                    self.tell(WorkerNews::Over).await;
                    return;
                }
                Ordered::Unknown(error) | Ordered::Unreachable(error) => Some(error.to_string()),
                other => Some(format!("{other:?}")),
            };
            if let Some(reason) = &failed {
                self.tell(WorkerNews::Silent).await;
                if reached {
                    log::warn!(code = 347, worker = self.id.as_str(), reason = reason.as_str(); "worker does not answer");
                }
                tokio::time::sleep(FAILED_PAUSE).await;
            } else if !reached {
                log::info!(code = 348, worker = self.id.as_str(); "worker answers again");
            }
            reached = failed.is_none();
            self.renews = reached;
        }
    }

    async fn hold(&mut self, sent: Duration) -> Ordered<Listing> {
        let seen = *self.seen.borrow_and_update();
        let kept = self.listed > seen;
        let clock = self.clock.filter(|_| self.renews);
        let tenured = sent < *self.pace.tenure.borrow();
        let wait = if kept || clock.is_none() {
            Duration::ZERO
        } else {
            *self.pace.wait.borrow()
        };
        let hold = Hold {
            epoch: self.epoch,
            seen,
            lease_end: clock
                .filter(|_| tenured)
                .map(|clock| clock.at(sent) + self.lease),
            wait,
        };
        if hold.lease_end.is_some() {
            self.tell(WorkerNews::LeaseSent).await;
        }
        let timeout = wait + HOLD_TIMEOUT;
        let orders = &self.context.orders;
        orders.hold(self.address, &self.id, hold, timeout).await
    }

    async fn take(&mut self, sent: Duration, listing: Listing) {
        self.clock = Some(ClockGuess {
            worker: listing.clock,
            ours: self.context.now(),
        });
        let newest = listing.ended.last().map_or(0, |end| end.number);
        self.listed = self.listed.max(newest);
        self.tell(WorkerNews::Listed(sent, listing)).await;
        let listed = self.listed;
        let recorded = self.seen.wait_for(|seen| *seen >= listed);
        // If it takes longer, the worker is asked all the same: its lease must
        // not run out while the store is away.
        let _ = tokio::time::timeout(RECORD_WAIT, recorded).await;
    }

    async fn tell(&self, news: WorkerNews) {
        // The owner's end is gone only when this task is about to be, too.
        let _ = self.sender.send(OwnerMessage::Worker(self.key, news)).await;
    }
}
