//! Messages to the owner's task.

use std::time::Duration;

use job::Batch;
use job::JobId;
use job::Requester;
use job::RunId;
use job::StartReply;
use job::StopReply;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;
use job::WorkerReport;
use platform::Committed;
use platform::StoreError;
use platform::Version;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::AcceptedJob;
use crate::Change;
use crate::EarlyCancel;
use crate::EarlyCancelReply;
use crate::EarlyWrites;
use crate::HelperPoll;
use crate::JobView;
use crate::PollReply;
use crate::UsedWorker;

/// Capacity of the queue of messages to the owner. Links, callers and helpers together send
/// far fewer within one planning cycle.
pub(crate) const OWNER_QUEUE_CAPACITY: usize = 4096;

/// A message to the owner's task.
#[derive(Debug)]
pub enum OwnerMessage {
    /// Asks for the status of a job. Processes of earlier versions do not name the requester.
    QueryStatus(JobId, Option<Requester>, oneshot::Sender<JobView>),
    /// Asks how many jobs of a queue wait.
    QueryLength(String, oneshot::Sender<usize>),
    /// A helper delivers the result of its last advice call, and asks for the next one and for the
    /// forecast.
    Poll(HelperPoll, oneshot::Sender<PollReply>),
    /// Rows of jobs, and the monotonic time up to which all accepted jobs have now been read.
    JobRows(Change, Duration),
    /// A job was accepted; sent by the process that accepted it.
    JobAccepted(Box<AcceptedJob>, oneshot::Sender<()>),
    /// A job was cancelled; sent by the process that cancelled it.
    JobCanceled(JobId, Option<Requester>, oneshot::Sender<()>),
    /// A job is to be cancelled that this owner may not know.
    CancelEarly(EarlyCancel, oneshot::Sender<EarlyCancelReply>),
    /// Registrations of workers have changed.
    Registrations(RegistrationChange),
    /// An event from the link to a worker.
    Worker(WorkerKey, WorkerEvent),
    /// Unresponsive workers that are not in the list of machines, so that their incarnations
    /// have ended; `None` if the list could not be read.
    WorkersEnded(Option<Vec<WorkerKey>>),
    /// The rows of these jobs were removed, at these versions.
    RowsRemoved(Vec<(JobId, Version)>),
    /// A transaction of the owner has finished.
    SaveFinished(Save, Result<Committed, StoreError>),
    /// The guard row, on which the owner's writes are conditional, was read again.
    GuardRead(Result<Option<Version>, StoreError>),
}

/// Changes among the registered workers.
#[derive(Debug, Default)]
pub struct RegistrationChange {
    /// Workers whose registration is new or has changed.
    pub updated: Vec<WorkerInfo>,
    /// Workers whose registration was removed.
    pub deleted: Vec<String>,
    /// When the newest read started that returned all changes made before it.
    pub read_started: Duration,
    /// When the last read ended.
    pub read_ended: Duration,
}

/// An event from the link to a worker.
#[derive(Debug)]
pub enum WorkerEvent {
    /// A call that renews the worker's lease is being sent.
    LeaseSent,
    /// The worker did not answer a call in time.
    Unresponsive,
    /// The reply to a call is late. The call was sent at the first of these times; after the
    /// second one, the reply is not expected any more.
    Late(Duration, Duration),
    /// The worker sent a report, in reply to a call that was sent at this monotonic time.
    Reported(Duration, WorkerReport),
    /// The worker answered a start.
    StartAnswered(TaskKey, RunId, StartReply),
    /// The worker answered a stop.
    StopAnswered(TaskKey, RunId, StopReply),
    /// The worker refused a command since it obeys a newer owner.
    Fenced,
    /// The incarnation of the worker has ended.
    Ended,
}

/// Contents of a transaction of the owner.
#[derive(Clone, Debug, Default)]
pub struct Save {
    /// Progress of jobs, and the numbers of the ends that it covers.
    pub batch: Batch,
    /// Workers that are about to be used.
    pub used_workers: Vec<(String, UsedWorker)>,
    /// Workers on which no run can be running any more.
    pub unused_workers: Vec<String>,
    /// Cancellations of jobs that are not stored.
    pub early_cancels: EarlyWrites,
    /// Row of learnt state.
    pub learnt: Option<Vec<u8>>,
    /// The transaction releases the pool.
    pub releases: bool,
    /// The transaction renews the ownership.
    pub renews: bool,
    /// When the transaction was sent.
    pub started: Duration,
    /// Time that the reply took; `None` if none came.
    pub reply_time: Option<Duration>,
}

/// Handle to the owner in this process, if there is one.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    sender: watch::Receiver<Option<mpsc::Sender<OwnerMessage>>>,
}

impl OwnerHandle {
    /// Creates a handle. `sender` contains a sender to the owner while this process owns the
    /// pool.
    #[must_use]
    pub fn new(sender: watch::Receiver<Option<mpsc::Sender<OwnerMessage>>>) -> OwnerHandle {
        OwnerHandle { sender }
    }

    /// Sends a message and waits for the reply. Returns `None` if there is no owner in this
    /// process, or if it does not answer in time.
    pub async fn send_request<T>(
        &self,
        make_message: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
        timeout: Duration,
    ) -> Option<T> {
        let sender = self.sender.borrow().clone()?;
        let (reply, answer) = oneshot::channel();
        sender.try_send(make_message(reply)).ok()?;
        tokio::time::timeout(timeout, answer).await.ok()?.ok()
    }
}
