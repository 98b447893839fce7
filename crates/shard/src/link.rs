//! Link of a shard to one worker: claims the worker, renews the lease of its
//! tasks by polling, and sends starts and stops. All calls of the shard to the
//! worker are made here.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use model::ShardId;
use model::WorkerId;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use worker::AttemptId;
use worker::Claim;
use worker::ClaimReply;
use worker::Fence;
use worker::Poll;
use worker::PollReply;
use worker::RefusalReason;
use worker::ReplyNumber;
use worker::Start;
use worker::Stop;
use worker::Task;
use worker::WorkerClient;
use worker::WorkerError;

use crate::Input;
use crate::LeaseGate;
use crate::NotStarted;
use crate::StopMode;
use crate::UnfencedStart;
use crate::WorkerHost;

/// Maximum time for which a worker may delay the reply to a poll.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// Time without a poll reply after which no new tasks are placed on a worker.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a refused claim is repeated.
const CLAIM_PAUSE: Duration = Duration::from_millis(300);

/// Margin added to the lease for clocks that run at different rates, in
/// percent.
const CLOCK_MARGIN_PERCENT: u32 = 10;

/// Maximum number of attempts to connect for a start.
const MAX_CONNECT_TRIES: u32 = 2;

/// Commands from the shard to a link.
#[derive(Debug)]
pub enum LinkCommand {
    /// Start a task.
    Start(UnfencedStart),
    /// Stop a task.
    Stop(AttemptId, StopMode),
    /// Let the worker forget these ended tasks.
    Forget(Vec<AttemptId>),
}

/// Properties of a link that do not change.
#[derive(Clone, Debug)]
pub struct LinkParams {
    /// Worker at the other end of the link.
    pub host: WorkerHost,
    /// Shard to which the worker is assigned.
    pub shard: ShardId,
    /// Duration of the lease of the worker's tasks.
    pub lease: Duration,
    /// Client for calls to workers.
    pub client: WorkerClient,
    /// Open while the process may act as the owner.
    pub gate: Arc<LeaseGate>,
}

/// Link of a shard to one worker.
#[derive(Debug)]
pub struct Link {
    params: LinkParams,
    fence: Fence,
    commands: mpsc::UnboundedReceiver<LinkCommand>,
    inputs: mpsc::UnboundedSender<Input>,
    /// Arrival of the newest poll reply. The next poll acknowledges it and so
    /// renews the lease. `None` before the first reply and after lease expiry.
    last_reply: Option<Instant>,
    /// Number of the newest reply, which the next poll acknowledges.
    newest_reply: ReplyNumber,
    /// Ended tasks that the next poll lets the worker forget.
    forget: Vec<AttemptId>,
    /// Whether the loss of the worker, or its refusal of a poll, was reported to
    /// the shard since the newest reply.
    lost: bool,
    /// Starts that were sent and whose outcome is unknown.
    unconfirmed: HashSet<AttemptId>,
}

/// Reason why polling ended.
enum PollEnd {
    /// The worker has to be claimed again.
    Reclaim,
    /// The shard has closed the link.
    Closed,
}

impl Link {
    /// Creates a link that receives `commands` and reports to `inputs`.
    #[must_use]
    pub fn new(
        params: LinkParams,
        fence: Fence,
        commands: mpsc::UnboundedReceiver<LinkCommand>,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Link {
        Link {
            params,
            fence,
            commands,
            inputs,
            last_reply: None,
            newest_reply: 0,
            forget: Vec::new(),
            lost: false,
            unconfirmed: HashSet::new(),
        }
    }

    fn id(&self) -> &WorkerId {
        &self.params.host.host.id
    }

    /// Runs until the shard closes the link.
    pub async fn run(mut self) {
        loop {
            let Some((claimed, ended)) = self.claim().await else {
                return;
            };
            if self.report_claim(claimed, ended).is_err() {
                return;
            }
            match self.poll_until_end().await {
                PollEnd::Reclaim => {}
                PollEnd::Closed => return,
            }
        }
    }

    fn report(&self, input: Input) -> Result<(), ()> {
        self.inputs.send(input).map_err(|_| ())
    }

    /// Reports a claim, the tasks that ended since, and the starts that were in
    /// flight before it. Starts that the worker does not list can never be
    /// carried out: either they name an older fence or incarnation, or their
    /// lease has expired and the shard has settled them.
    fn report_claim(&mut self, claimed: ClaimReply, ended: Vec<Task>) -> Result<(), ()> {
        self.lost = false;
        for task in &claimed.tasks {
            self.unconfirmed.remove(&task.attempt);
        }
        self.report(Input::Claimed(self.id().clone(), claimed))?;
        self.report(Input::Ended(self.id().clone(), ended))?;
        for attempt in std::mem::take(&mut self.unconfirmed) {
            self.report(Input::NotStarted(attempt, NotStarted::Fenced))?;
        }
        Ok(())
    }

    /// Repeats the claim until the worker accepts it; returns `None` when the
    /// link is closed.
    async fn claim(&mut self) -> Option<(ClaimReply, Vec<Task>)> {
        loop {
            if self.params.gate.is_open() {
                match self.try_claim().await {
                    Ok(claimed) => return Some(claimed),
                    Err(error) => log::debug!("claim of worker {} failed: {error}", self.id()),
                }
            }
            self.check_lease().ok()?;
            self.pause_sending(jittered(CLAIM_PAUSE)).await.ok()?;
        }
    }

    /// Claims the worker and polls it once. The claim alone does not renew the
    /// lease, the poll does. Its reply may report the end of tasks that the
    /// claim lists as running.
    async fn try_claim(&mut self) -> Result<(ClaimReply, Vec<Task>), WorkerError> {
        let claim = Claim {
            fence: self.fence,
            shard: self.params.shard,
            lease_millis: crate::intake::millis(self.params.lease),
        };
        let address = self.params.host.host.address;
        let claimed = self.params.client.claim(address, &claim).await?;
        self.newest_reply = claimed.reply_number;
        let poll = self.poll_message(Duration::ZERO);
        let polled = self.params.client.poll(address, &poll).await?;
        Ok((claimed, self.process_reply(polled)))
    }

    /// Handles commands during a pause in which nothing may be sent: starts are
    /// reported as not sent, stops are dropped.
    async fn pause_sending(&mut self, pause: Duration) -> Result<(), ()> {
        let until = tokio::time::sleep(pause);
        tokio::pin!(until);
        loop {
            tokio::select! {
                () = &mut until => return Ok(()),
                command = self.commands.recv() => match command {
                    None => return Err(()),
                    Some(LinkCommand::Start(start)) => {
                        let unsent = Input::NotStarted(start.attempt, NotStarted::Unsent);
                        self.report(unsent)?;
                    }
                    Some(LinkCommand::Forget(mut ended)) => self.forget.append(&mut ended),
                    Some(LinkCommand::Stop(..)) => {}
                },
            }
        }
    }

    /// Reports to the shard when the worker has not answered for too long, and
    /// when the lease of its tasks has expired. The worker counts the lease
    /// from the time at which it sent the acknowledged reply, the link from the
    /// later time at which that reply arrived. So the lease expires later here,
    /// and the shard can rely on the tasks having stopped.
    fn check_lease(&mut self) -> Result<(), ()> {
        let Some(last_reply) = self.last_reply else {
            return Ok(());
        };
        let silence = last_reply.elapsed();
        if silence >= SILENCE_TIMEOUT && !self.lost {
            self.lost = true;
            self.report(Input::WorkerLost(self.id().clone()))?;
        }
        let lease = self.params.lease;
        if silence >= lease + lease * CLOCK_MARGIN_PERCENT / 100 {
            self.last_reply = None;
            self.report(Input::LeaseExpired(self.id().clone()))?;
        }
        Ok(())
    }

    async fn poll_until_end(&mut self) -> PollEnd {
        // Dropping the set aborts the calls in flight. Their starts may still
        // arrive; the worker refuses them once its lease has expired.
        let mut calls: JoinSet<Option<Input>> = JoinSet::new();
        let mut wait = POLL_WAIT;
        loop {
            let message = self.poll_message(wait);
            let forget_count = message.ended.len();
            let client = self.params.client.clone();
            let address = self.params.host.host.address;
            let poll = async move { client.poll(address, &message).await };
            tokio::pin!(poll);
            let polled = loop {
                tokio::select! {
                    polled = &mut poll => break polled,
                    command = self.commands.recv() => match command {
                        None => return PollEnd::Closed,
                        Some(command) => self.dispatch(command, &mut calls),
                    },
                    Some(done) = calls.join_next() => {
                        if self.on_call(done.ok().flatten()).is_err() {
                            return PollEnd::Closed;
                        }
                    }
                }
            };
            match polled {
                Ok(polled) => {
                    self.forget.drain(..forget_count);
                    let ended = self.process_reply(polled);
                    if self.report(Input::Ended(self.id().clone(), ended)).is_err() {
                        return PollEnd::Closed;
                    }
                    wait = POLL_WAIT;
                }
                Err(error) => {
                    if self.on_poll_error(&error).await.is_err() {
                        return PollEnd::Closed;
                    }
                    if matches!(error, WorkerError::Refused { .. }) || self.last_reply.is_none() {
                        return PollEnd::Reclaim;
                    }
                    wait = Duration::ZERO;
                }
            }
            while !self.params.gate.is_open() {
                if self.check_lease().is_err() {
                    return PollEnd::Closed;
                }
                if self.pause_sending(RETRY_PAUSE).await.is_err() {
                    return PollEnd::Closed;
                }
            }
        }
    }

    /// Reports the result of a start or stop call to the shard; `Err` if the
    /// shard's task has ended.
    fn on_call(&mut self, result: Option<Input>) -> Result<(), ()> {
        let Some(input) = result else {
            return Ok(());
        };
        if let Input::Started(attempt) | Input::NotStarted(attempt, _) = &input {
            self.unconfirmed.remove(attempt);
        }
        self.report(input)
    }

    /// Processes a failed poll: reports a refusal to the shard, and an expired
    /// lease, then pauses before the next poll. `Err` if the shard's task has
    /// ended.
    async fn on_poll_error(&mut self, error: &WorkerError) -> Result<(), ()> {
        log::debug!("poll of worker {} failed: {error}", self.id());
        if let WorkerError::Refused { refusal } = error {
            self.lost = true;
            let id = self.id().clone();
            if refusal.fence.assigned > self.fence.assigned {
                self.last_reply = None;
                self.report(Input::WorkerReassigned(id))?;
            } else {
                self.report(Input::WorkerRefused(id))?;
            }
        }
        self.check_lease()?;
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
        Ok(())
    }

    fn poll_message(&self, wait: Duration) -> Poll {
        Poll {
            fence: self.fence,
            reply_number: self.newest_reply,
            ended: self.forget.clone(),
            wait_millis: crate::intake::millis(wait),
        }
    }

    /// Processes a poll reply and returns the ended tasks in it. The next poll
    /// acknowledges the reply, after which the worker does not report them
    /// again. If the caller dropped them, their requests would wait until the
    /// worker is claimed again.
    #[must_use]
    fn process_reply(&mut self, polled: PollReply) -> Vec<Task> {
        self.newest_reply = polled.reply_number;
        self.last_reply = Some(Instant::now());
        self.lost = false;
        polled.ended
    }

    fn dispatch(&mut self, command: LinkCommand, calls: &mut JoinSet<Option<Input>>) {
        let client = self.params.client.clone();
        let address = self.params.host.host.address;
        match command {
            LinkCommand::Start(unfenced) => {
                let gate = self.params.gate.clone();
                let start = unfenced.fenced(self.fence, self.newest_reply);
                self.unconfirmed.insert(start.attempt.clone());
                calls.spawn(async move { send_start(&client, address, &gate, start).await });
            }
            LinkCommand::Stop(attempt, mode) => {
                let stop = Stop {
                    fence: self.fence,
                    attempt,
                    checkpoint: mode == StopMode::Checkpoint,
                };
                calls.spawn(async move {
                    send_stop(&client, address, &stop).await;
                    None
                });
            }
            LinkCommand::Forget(mut ended) => self.forget.append(&mut ended),
        }
    }
}

/// Repeats one start until a reply shows its outcome; returns `None` if only the
/// next claim can show it. The worker starts an attempt at most once, so
/// repeating is safe. After a lost reply, only a refusal by the same
/// incarnation under the same fence proves that the task was not started: a
/// worker that has restarted refuses the second message, although its earlier
/// incarnation may have carried out the first.
async fn send_start(
    client: &WorkerClient,
    address: std::net::SocketAddr,
    gate: &LeaseGate,
    start: Start,
) -> Option<Input> {
    let mut may_have_started = false;
    let mut tries = 0;
    loop {
        tries += 1;
        if !gate.is_open() && !may_have_started {
            return Some(Input::NotStarted(start.attempt, NotStarted::Unsent));
        }
        match client.start(address, &start).await {
            Ok(()) => return Some(Input::Started(start.attempt)),
            Err(WorkerError::Refused { refusal })
                if may_have_started && is_inconclusive(refusal.reason) =>
            {
                return None;
            }
            Err(WorkerError::Refused { refusal }) => {
                let reason = match refusal.reason {
                    RefusalReason::Full => NotStarted::Full,
                    _ => NotStarted::Fenced,
                };
                return Some(Input::NotStarted(start.attempt, reason));
            }
            Err(WorkerError::Unreachable { .. })
                if !may_have_started && tries >= MAX_CONNECT_TRIES =>
            {
                return Some(Input::NotStarted(start.attempt, NotStarted::Unsent));
            }
            Err(WorkerError::Unreachable { .. }) => {}
            Err(WorkerError::NoReply { .. }) => may_have_started = true,
        }
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
    }
}

/// Whether a refusal may only mean that the worker has restarted or was claimed
/// by another owner, so that the outcome of earlier tries remains unknown. The
/// poll is refused as well then, and the link claims the worker again.
fn is_inconclusive(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::Fenced | RefusalReason::Unclaimed)
}

/// Repeats one stop until the worker has answered. The link aborts it when
/// polling ends.
async fn send_stop(client: &WorkerClient, address: std::net::SocketAddr, stop: &Stop) {
    while let Err(error) = client.stop(address, stop).await {
        if matches!(error, WorkerError::Refused { .. }) {
            return;
        }
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
