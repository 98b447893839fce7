//! Link of a shard to one worker: claims it, renews the lease of its tasks by
//! polling, and sends starts and stops. The task owns all calls to the worker.

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

use crate::Gate;
use crate::Input;
use crate::NotStarted;
use crate::StartOrder;
use crate::StopMode;
use crate::WorkerHost;

/// How long a worker may hold a poll back.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// Silence after which nothing new is placed on a worker.
const SILENCE: Duration = Duration::from_millis(1500);

/// Pause before a failed call is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a refused claim is made again.
const CLAIM_PAUSE: Duration = Duration::from_millis(300);

/// Added to a task lease for clocks that run at unlike rates, in percent.
const CLOCK_PERCENT: u32 = 10;

/// Tries of a start whose connection cannot be made.
const CONNECT_TRIES: u32 = 2;

/// Orders to a link.
#[derive(Debug)]
pub enum LinkOrder {
    /// Start a task.
    Start(StartOrder),
    /// Stop a task.
    Stop(AttemptId, StopMode),
    /// Ended tasks that the worker may forget.
    Forget(Vec<AttemptId>),
}

/// Fixed facts of a link.
#[derive(Clone, Debug)]
pub struct LinkFacts {
    /// The worker.
    pub host: WorkerHost,
    /// Shard that it is assigned to.
    pub shard: ShardId,
    /// Lease of tasks.
    pub lease: Duration,
    /// Client of all workers.
    pub client: WorkerClient,
    /// Right to act.
    pub gate: Arc<Gate>,
}

/// Link of a shard to one worker.
#[derive(Debug)]
pub struct Link {
    facts: LinkFacts,
    fence: Fence,
    orders: mpsc::UnboundedReceiver<LinkOrder>,
    owner: mpsc::UnboundedSender<Input>,
    /// When the newest reply came that renewed, or will renew, the lease.
    replied: Option<Instant>,
    turn: ReplyNumber,
    forget: Vec<AttemptId>,
    lost: bool,
    /// Starts whose outcome is not known yet.
    sent: HashSet<AttemptId>,
}

/// How a stretch of polling ended.
enum Ended {
    /// Claim again.
    Reclaim,
    /// The shard has closed the link.
    Closed,
}

impl Link {
    /// A link that takes `orders` and reports to `owner`.
    #[must_use]
    pub fn new(
        facts: LinkFacts,
        fence: Fence,
        orders: mpsc::UnboundedReceiver<LinkOrder>,
        owner: mpsc::UnboundedSender<Input>,
    ) -> Link {
        Link {
            facts,
            fence,
            orders,
            owner,
            replied: None,
            turn: 0,
            forget: Vec::new(),
            lost: false,
            sent: HashSet::new(),
        }
    }

    fn id(&self) -> &WorkerId {
        &self.facts.host.host.id
    }

    /// Runs until the shard closes the link.
    pub async fn run(mut self) {
        loop {
            let Some((claimed, ended)) = self.claim().await else {
                return;
            };
            if self.announce(claimed, ended).is_err() {
                return;
            }
            match self.serve().await {
                Ended::Reclaim => {}
                Ended::Closed => return,
            }
        }
    }

    fn report(&self, input: Input) -> Result<(), ()> {
        self.owner.send(input).map_err(|_| ())
    }

    /// Reports a claim, what has ended since, and the starts that were in
    /// flight before it. Those that the worker does not list can never be
    /// carried out: either the fence or the run that they name is an older
    /// one, or their lease was over and the shard has given them up.
    fn announce(&mut self, claimed: ClaimReply, ended: Vec<Task>) -> Result<(), ()> {
        self.lost = false;
        for task in &claimed.tasks {
            self.sent.remove(&task.attempt);
        }
        self.report(Input::Claimed(self.id().clone(), claimed))?;
        self.report(Input::Ended(self.id().clone(), ended))?;
        for attempt in std::mem::take(&mut self.sent) {
            self.report(Input::NotStarted(attempt, NotStarted::Fenced))?;
        }
        Ok(())
    }

    /// Claims until the worker accepts; none when the link is closed.
    async fn claim(&mut self) -> Option<(ClaimReply, Vec<Task>)> {
        loop {
            if self.facts.gate.is_open() {
                match self.try_claim().await {
                    Ok(claimed) => return Some(claimed),
                    Err(error) => log::debug!("claim of {}: {error}", self.id()),
                }
            }
            self.check_lease().ok()?;
            self.refuse_orders(jittered(CLAIM_PAUSE)).await.ok()?;
        }
    }

    /// The poll renews the lease, which the claim alone does not; it may tell
    /// of ends of tasks that the claim lists as running.
    async fn try_claim(&mut self) -> Result<(ClaimReply, Vec<Task>), WorkerError> {
        let claim = Claim {
            fence: self.fence,
            shard: self.facts.shard,
            lease_millis: crate::intake::millis(self.facts.lease),
        };
        let address = self.facts.host.host.address;
        let claimed = self.facts.client.claim(address, &claim).await?;
        self.turn = claimed.turn;
        let poll = self.poll_message(Duration::ZERO);
        let polled = self.facts.client.poll(address, &poll).await?;
        Ok((claimed, self.take_poll(polled)))
    }

    /// While the worker is not claimed, nothing is sent to it.
    async fn refuse_orders(&mut self, pause: Duration) -> Result<(), ()> {
        let until = tokio::time::sleep(pause);
        tokio::pin!(until);
        loop {
            tokio::select! {
                () = &mut until => return Ok(()),
                order = self.orders.recv() => match order {
                    None => return Err(()),
                    Some(LinkOrder::Start(order)) => {
                        let unsent = Input::NotStarted(order.attempt, NotStarted::Unsent);
                        self.report(unsent)?;
                    }
                    Some(LinkOrder::Forget(mut ended)) => self.forget.append(&mut ended),
                    Some(LinkOrder::Stop(..)) => {}
                },
            }
        }
    }

    /// Tells the shard when the worker is silent, and when the lease of its
    /// tasks is over. The worker counts its lease from when it sent the reply
    /// that a poll acknowledges, which is before that reply came here: so
    /// here it ends later, and what was decided on it is safe.
    fn check_lease(&mut self) -> Result<(), ()> {
        let Some(replied) = self.replied else {
            return Ok(());
        };
        let silence = replied.elapsed();
        if silence >= SILENCE && !self.lost {
            self.lost = true;
            self.report(Input::WorkerLost(self.id().clone()))?;
        }
        let lease = self.facts.lease;
        if silence >= lease + lease * CLOCK_PERCENT / 100 {
            self.replied = None;
            self.report(Input::LeaseOver(self.id().clone()))?;
        }
        Ok(())
    }

    async fn serve(&mut self) -> Ended {
        // Dropping the set drops the calls in flight. Their starts may still
        // arrive; the worker refuses them once its lease is over.
        let mut calls: JoinSet<Option<Input>> = JoinSet::new();
        let mut wait = POLL_WAIT;
        loop {
            let message = self.poll_message(wait);
            let forgotten = message.ended.len();
            let client = self.facts.client.clone();
            let address = self.facts.host.host.address;
            let poll = async move { client.poll(address, &message).await };
            tokio::pin!(poll);
            let polled = loop {
                tokio::select! {
                    polled = &mut poll => break polled,
                    order = self.orders.recv() => match order {
                        None => return Ended::Closed,
                        Some(order) => self.dispatch(order, &mut calls),
                    },
                    Some(done) = calls.join_next() => {
                        if self.on_call(done.ok().flatten()).is_err() {
                            return Ended::Closed;
                        }
                    }
                }
            };
            match polled {
                Ok(polled) => {
                    self.forget.drain(..forgotten);
                    let ended = self.take_poll(polled);
                    if self.report(Input::Ended(self.id().clone(), ended)).is_err() {
                        return Ended::Closed;
                    }
                    wait = POLL_WAIT;
                }
                Err(error) => {
                    if self.on_poll_error(&error).await.is_err() {
                        return Ended::Closed;
                    }
                    if matches!(error, WorkerError::Refused { .. }) || self.replied.is_none() {
                        return Ended::Reclaim;
                    }
                    wait = Duration::ZERO;
                }
            }
            while !self.facts.gate.is_open() {
                if self.check_lease().is_err() {
                    return Ended::Closed;
                }
                if self.refuse_orders(RETRY_PAUSE).await.is_err() {
                    return Ended::Closed;
                }
            }
        }
    }

    fn on_call(&mut self, news: Option<Input>) -> Result<(), ()> {
        let Some(input) = news else {
            return Ok(());
        };
        if let Input::Started(attempt) | Input::NotStarted(attempt, _) = &input {
            self.sent.remove(attempt);
        }
        self.report(input)
    }

    async fn on_poll_error(&mut self, error: &WorkerError) -> Result<(), ()> {
        log::debug!("poll of {}: {error}", self.id());
        if let WorkerError::Refused { refusal } = error {
            self.lost = true;
            let id = self.id().clone();
            if refusal.fence.assigned > self.fence.assigned {
                self.replied = None;
                self.report(Input::WorkerTaken(id))?;
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
            turn: self.turn,
            ended: self.forget.clone(),
            wait_millis: crate::intake::millis(wait),
        }
    }

    /// Takes a reply in and hands its ends on. The next poll acknowledges the
    /// reply, and then the worker tells of them no more: a request whose end
    /// stayed here would wait until its worker is claimed again.
    #[must_use]
    fn take_poll(&mut self, polled: PollReply) -> Vec<Task> {
        self.turn = polled.turn;
        self.replied = Some(Instant::now());
        self.lost = false;
        polled.ended
    }

    fn dispatch(&mut self, order: LinkOrder, calls: &mut JoinSet<Option<Input>>) {
        let client = self.facts.client.clone();
        let address = self.facts.host.host.address;
        match order {
            LinkOrder::Start(order) => {
                let gate = self.facts.gate.clone();
                let start = order.fenced(self.fence, self.turn);
                self.sent.insert(start.attempt.clone());
                calls.spawn(async move { send_start(&client, address, &gate, start).await });
            }
            LinkOrder::Stop(attempt, mode) => {
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
            LinkOrder::Forget(mut ended) => self.forget.append(&mut ended),
        }
    }
}

/// Sends one start until it is known what became of it; none when only the
/// next claim can tell. The worker starts an attempt at most once, so repeating
/// it is safe; after a lost answer only the worker's own answer can tell "not
/// started", and only in the same run and under the same fence: a worker that
/// has restarted refuses the second message, and knows nothing of the first.
async fn send_start(
    client: &WorkerClient,
    address: std::net::SocketAddr,
    gate: &Gate,
    start: Start,
) -> Option<Input> {
    let mut maybe = false;
    let mut tries = 0;
    loop {
        tries += 1;
        if !gate.is_open() && !maybe {
            return Some(Input::NotStarted(start.attempt, NotStarted::Unsent));
        }
        match client.start(address, &start).await {
            Ok(()) => return Some(Input::Started(start.attempt)),
            Err(WorkerError::Refused { refusal }) if maybe && is_other_life(refusal.reason) => {
                return None;
            }
            Err(WorkerError::Refused { refusal }) => {
                let reason = match refusal.reason {
                    RefusalReason::Full => NotStarted::Full,
                    _ => NotStarted::Fenced,
                };
                return Some(Input::NotStarted(start.attempt, reason));
            }
            Err(WorkerError::Unreachable { .. }) if !maybe && tries >= CONNECT_TRIES => {
                return Some(Input::NotStarted(start.attempt, NotStarted::Unsent));
            }
            Err(WorkerError::Unreachable { .. }) => {}
            Err(WorkerError::NoReply { .. }) => maybe = true,
        }
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
    }
}

/// Whether a refusal tells only that the worker has restarted or was claimed by
/// another. The poll is refused as well then, and the link claims again.
fn is_other_life(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::Fenced | RefusalReason::Unclaimed)
}

/// Sends one stop until the worker has answered it. The link ends it with the
/// stretch of polling that it belongs to.
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
