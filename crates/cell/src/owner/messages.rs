//! Messages to the owner's task.

use std::time::Duration;

use job::Batch;
use job::JobId;
use job::Listing;
use job::RunId;
use job::StartReply;
use job::StopReply;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;
use platform::Committed;
use platform::StoreError;
use platform::Version;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::AcceptedJob;
use crate::AdviceQuery;
use crate::Change;
use crate::HelperPoll;
use crate::JobView;
use crate::UsedWorker;

/// Messages that may wait for the owner. Links, callers and helpers together
/// send far fewer within one round of the owner's loop.
pub(crate) const OWNER_QUEUE: usize = 4096;

/// A message to the owner's task.
#[derive(Debug)]
pub enum OwnerMessage {
    /// Asks for the state of a job.
    State(JobId, oneshot::Sender<JobView>),
    /// Asks how many jobs of a queue wait.
    Waiting(String, oneshot::Sender<usize>),
    /// A helper brings a result and asks for work.
    Help(HelperPoll, oneshot::Sender<Option<AdviceQuery>>),
    /// Rows of jobs, from a read of the feed that began at this monotonic time.
    Jobs(Change, Duration),
    /// A job was accepted, by the process that did it.
    Accepted(Box<AcceptedJob>, oneshot::Sender<()>),
    /// A job was cancelled, by the process that did it.
    Canceled(JobId, oneshot::Sender<()>),
    /// Registrations of workers have changed.
    Workers(RosterChange),
    /// News from a worker.
    Worker(WorkerKey, WorkerNews),
    /// Lives of workers that were silent and are over; none if that is not known.
    Dead(Vec<WorkerKey>),
    /// Rows of these expired jobs were removed, at these versions.
    Removed(Vec<(JobId, Version)>),
    /// A transaction has ended.
    Saved(Save, Result<Committed, StoreError>),
    /// The row that guards the owner's writes was read again.
    Guard(Result<Option<Version>, StoreError>),
}

/// Changes among the registered workers.
#[derive(Debug, Default)]
pub struct RosterChange {
    /// Workers that are new or have changed.
    pub present: Vec<WorkerInfo>,
    /// Workers whose registration has vanished.
    pub gone: Vec<String>,
    /// When the read began that brought this.
    pub read: Duration,
}

/// News from a worker.
#[derive(Debug)]
pub enum WorkerNews {
    /// A renewal of its lease is being sent.
    LeaseSent,
    /// It did not answer.
    Silent,
    /// The answer to a call that was sent at the first of these times may come until
    /// the second.
    Late(Duration, Duration),
    /// What it runs; asked at this monotonic time.
    Listed(Duration, Listing),
    /// It answered a start.
    StartAnswered(TaskKey, RunId, StartReply),
    /// It answered a stop.
    StopAnswered(TaskKey, RunId, StopReply),
    /// It has taken orders of a newer owner.
    Fenced,
    /// This life of it is over.
    Over,
}

/// What a transaction of the owner holds.
#[derive(Clone, Debug, Default)]
pub struct Save {
    /// Progress and recorded ends.
    pub batch: Batch,
    /// Workers about to be used.
    pub used: Vec<(String, UsedWorker)>,
    /// Workers that cannot have anything running any more.
    pub unused: Vec<String>,
    /// It gives up the pool.
    pub release: bool,
    /// It renews the ownership.
    pub renews: bool,
    /// When it was sent.
    pub begun: Duration,
}

/// Reaches the owner in this process, while there is one.
#[derive(Clone, Debug)]
pub struct OwnerPort {
    sender: watch::Receiver<Option<mpsc::Sender<OwnerMessage>>>,
}

impl OwnerPort {
    /// A port that follows `sender`.
    #[must_use]
    pub fn new(sender: watch::Receiver<Option<mpsc::Sender<OwnerMessage>>>) -> OwnerPort {
        OwnerPort { sender }
    }

    /// Sends a question and waits for its answer; nothing if there is no
    /// owner here, or it does not answer in time.
    pub async fn ask<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
        timeout: Duration,
    ) -> Option<T> {
        let sender = self.sender.borrow().clone()?;
        let (reply, answer) = oneshot::channel();
        sender.try_send(make(reply)).ok()?;
        tokio::time::timeout(timeout, answer).await.ok()?.ok()
    }
}
