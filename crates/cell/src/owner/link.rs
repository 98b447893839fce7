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

use super::ReplyLatency;
use super::StartDeadline;
use super::clock_estimate::ClockEstimate;
use super::clock_estimate::ClockFloor;
use super::fencing::WorkerFencing;
use super::renewal_task::RenewalTask;
use crate::Context;
use crate::OwnerMessage;

/// Maximum number of workers that are claimed at the same time, each with a first call that
/// carries this owner's epoch. When an owner that took over 3,000 workers claimed all of them
/// at once, its own renewals were delayed by 1.2 s, and the pool was lost as soon as it was
/// opened, again and again.
pub(crate) const MAX_CLAIMS: usize = 128;

/// State that all links of an owner share.
#[derive(Clone, Debug)]
pub(crate) struct LinkShared {
    /// Time until which leases may be renewed.
    pub(crate) owned_until: watch::Receiver<Duration>,
    /// How long a worker may delay its reply to a call while it has no end to report.
    pub(crate) reply_delay: watch::Receiver<Duration>,
    /// Permits to claim a worker, [`MAX_CLAIMS`] of them.
    pub(crate) claim_permits: Arc<Semaphore>,
    /// Estimate of how long workers take to answer.
    pub(crate) latency: Arc<ReplyLatency>,
}

/// The owner's side of the connection to one worker.
pub(crate) struct Link {
    /// Address at which the worker takes commands.
    pub(crate) address: SocketAddr,
    /// Id of the worker.
    pub(crate) id: String,
    /// Fencing token of the worker's commands, and starts in progress.
    pub(super) fencing: Arc<WorkerFencing>,
    /// Estimate of the worker's clock; `None` until its first report.
    clock: Option<ClockEstimate>,
    /// Lower bound of the worker's clock; `None` until its first report.
    clock_floor: Option<ClockFloor>,
    /// Time at which the newest call that the worker accepted was sent.
    last_accepted: Option<Duration>,
    /// Number of the newest end that is saved in the store.
    saved_end: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Link {
    /// Opens a link. Its task claims the worker, with a first call that carries this owner's
    /// epoch, and then renews its lease.
    pub(super) fn open(
        context: &Context,
        key: WorkerKey,
        info: &WorkerInfo,
        fencing: Arc<WorkerFencing>,
        sender: mpsc::Sender<OwnerMessage>,
        shared: LinkShared,
    ) -> Link {
        let (saved_end, saved_end_rx) = watch::channel(0);
        let renewal_task = RenewalTask::new(
            context,
            key,
            info,
            fencing.clone(),
            sender,
            (shared, saved_end_rx),
        );
        Link {
            address: info.address,
            id: info.id.clone(),
            fencing,
            clock: None,
            clock_floor: None,
            last_accepted: None,
            saved_end,
            task: tokio::spawn(renewal_task.run()),
        }
    }

    pub(crate) fn set_clock(&mut self, reading: Duration, read_at: Duration) {
        let clock = ClockEstimate { reading, read_at };
        self.clock = Some(clock);
        self.clock_floor = Some(ClockFloor::after(self.clock_floor, clock));
    }

    /// Number of the newest end that is saved in the store, up to which ends may be
    /// acknowledged.
    pub(crate) fn saved_end(&self) -> u64 {
        *self.saved_end.borrow()
    }

    /// Records that the worker accepted a call that was sent at this time.
    pub(crate) fn record_accepted(&mut self, sent: Duration) {
        self.last_accepted = self.last_accepted.max(Some(sent));
    }

    /// Time at which the newest call that the worker accepted was sent.
    pub(crate) fn last_accepted(&self) -> Option<Duration> {
        self.last_accepted
    }

    /// Expiry of a lease that begins at `now`, on the worker's clock; `None` if no reply with the
    /// time of its clock has been received.
    pub(crate) fn lease_end(&self, now: Duration, lease: Duration) -> Option<Duration> {
        self.clock.map(|clock| clock.worker_time(now) + lease)
    }

    /// Time on the worker's clock from which on the worker refuses a start with this deadline.
    pub(crate) fn refusal_time(&self, deadline: StartDeadline) -> Option<Duration> {
        match deadline {
            StartDeadline::At(deadline) => Some(self.clock_floor?.worker_time(deadline)),
            StartDeadline::Unlimited => None,
        }
    }

    /// Records that ends up to `number` are saved in the store.
    pub(crate) fn set_saved_end(&self, number: u64) {
        self.saved_end.send_if_modified(|saved_end| {
            let higher = number > *saved_end;
            *saved_end = number.max(*saved_end);
            higher
        });
    }

    /// Closes the link and stops its task.
    pub(crate) fn close(self) {
        self.task.abort();
    }
}
