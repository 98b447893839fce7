//! Routes a call to the owner of its shard, across hand-overs and crashes.
//! Calls are retried on behalf of a caller only here.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use model::Answer;
use model::Code;
use model::ShardId;
use model::TeamShards;
use model::request_key;
use peer::PeerEndpoint;
use peer::PeerError;
use rand::RngExt;
use tokio::sync::watch;

use crate::Ask;
use crate::CancelFilter;
use crate::Reply;
use crate::Route;
use crate::ShardAsk;
use crate::ShardReply;
use crate::Submission;
use crate::View;
use crate::service::ask_local;

/// First pause between two tries; it doubles with each try.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// Timeout of calls that do not wait for a task to end.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Routes calls to the owners of shards; clones share the view of the cell.
#[derive(Clone, Debug)]
pub struct Router {
    endpoint: PeerEndpoint,
    shards: u16,
    view: watch::Receiver<Arc<View>>,
}

/// Status of a request, as its shard reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The final answer, or a pending answer with the current state.
    Answer(Answer),
    /// The shard has no record of the request.
    Unknown,
    /// No owner of the shard has answered.
    Unreached,
}

/// Result of one call to the owner of a shard.
enum AskResult {
    /// The owner has replied.
    Reply(ShardReply),
    /// The call reached no owner.
    NotReached,
    /// No reply came; an owner may have received the call.
    Lost,
}

impl Router {
    /// Creates a router for a cell with `shards` shards.
    #[must_use]
    pub fn new(endpoint: PeerEndpoint, shards: u16, view: watch::Receiver<Arc<View>>) -> Router {
        Router {
            endpoint,
            shards,
            view,
        }
    }

    /// Shard of a request. If this process's configuration does not contain the
    /// team, the key is hashed over all shards: any shard can answer that the
    /// team has no quota.
    #[must_use]
    pub fn shard(&self, key: &str) -> ShardId {
        let team = key.split_once('/').map_or(key, |(team, _)| team);
        let view = self.view.borrow();
        let config = view.config.as_ref().map(|versioned| &versioned.config);
        let known = config.and_then(|config| config.team_shards(team, self.shards));
        known
            .unwrap_or(TeamShards::new(team, self.shards, self.shards))
            .home(key)
    }

    /// Number of shards in the cell.
    #[must_use]
    pub fn shards(&self) -> u16 {
        self.shards
    }

    /// This process's current view of the cell.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Submits a request and waits for its reply for at most `patience`, or
    /// until `stopping` becomes true because the process stops; the caller can
    /// then ask another process.
    ///
    /// A retry reaches either the same owner, which has recorded the id, or a
    /// later one, which has the journal and the workers' reports. So all tries
    /// together count as one submission. The router itself answers "not run"
    /// only if no try can have reached an owner.
    pub async fn submit(
        &self,
        mut submission: Submission,
        patience: Duration,
        mut stopping: watch::Receiver<bool>,
    ) -> Answer {
        let started = Instant::now();
        let waited_before = submission.waited_millis;
        let id = submission.request.id.clone();
        let key = request_key(&submission.request.team, &id);
        let first_millis = event::wall_millis();
        let mut reached = false;
        let mut pause = FIRST_PAUSE;
        loop {
            let remaining = patience.saturating_sub(started.elapsed());
            if remaining.is_zero() || *stopping.borrow() {
                return unanswered(&id, &submission, reached);
            }
            submission.waited_millis = waited_before + crate::intake::millis(started.elapsed());
            let ask = ShardAsk::Submit(submission.clone());
            let result = tokio::select! {
                result = self.ask(self.shard(&key), ask, remaining) => result,
                () = wait_until_set(&mut stopping) => AskResult::Lost,
            };
            match result {
                AskResult::Reply(ShardReply::Answer(answer)) => return answer,
                AskResult::Reply(ShardReply::Moved) => {
                    reached = true;
                    pause = FIRST_PAUSE;
                }
                AskResult::Lost => reached = true,
                AskResult::Reply(_) | AskResult::NotReached => {}
            }
            // Marks further tries as retries. Without the time of the first try,
            // the next owner could answer "not run" to a request that the former
            // owner has run.
            if reached && submission.request.sent_millis == 0 {
                submission.request.sent_millis = first_millis;
            }
            self.pause(&mut pause, remaining).await;
        }
    }

    /// Asks for the status of a request.
    pub async fn status(&self, key: &str) -> RequestStatus {
        let ask = ShardAsk::Status(key.to_owned());
        match self.ask_until_reply(self.shard(key), ask).await {
            Some(ShardReply::Answer(answer)) => RequestStatus::Answer(answer),
            Some(ShardReply::Unknown) => RequestStatus::Unknown,
            _ => RequestStatus::Unreached,
        }
    }

    /// Cancels requests and returns how many were cancelled, or `None` if the
    /// owner of any shard concerned has not answered.
    pub async fn cancel(&self, filter: CancelFilter) -> Option<u32> {
        if let CancelFilter::One(key) = &filter {
            let shard = self.shard(key);
            return cancelled_count(
                self.ask_until_reply(shard, ShardAsk::Cancel(filter))
                    .await
                    .as_ref(),
            );
        }
        let mut calls = tokio::task::JoinSet::new();
        for shard in 0..self.shards {
            let router = self.clone();
            let ask = ShardAsk::Cancel(filter.clone());
            calls.spawn(async move {
                cancelled_count(router.ask_until_reply(shard, ask).await.as_ref())
            });
        }
        let counts = calls.join_all().await;
        counts.into_iter().sum()
    }

    /// Repeats a call until the owner of the shard replies; `None` if it has not
    /// within [`CALL_TIMEOUT`]. The owner may receive the call more than once.
    async fn ask_until_reply(&self, shard: ShardId, ask: ShardAsk) -> Option<ShardReply> {
        let started = Instant::now();
        let mut pause = FIRST_PAUSE;
        loop {
            let remaining = CALL_TIMEOUT.saturating_sub(started.elapsed());
            if remaining.is_zero() {
                return None;
            }
            match self.ask(shard, ask.clone(), remaining).await {
                AskResult::Reply(
                    ShardReply::NotOwner | ShardReply::TimedOut | ShardReply::Moved,
                )
                | AskResult::NotReached
                | AskResult::Lost => {}
                AskResult::Reply(reply) => return Some(reply),
            }
            self.pause(&mut pause, remaining).await;
        }
    }

    /// Asks the owner of a shard once. Returns `None` if the owner may have
    /// received the call but no reply came, and `Busy` if no owner was reached.
    pub(crate) async fn ask_once(
        &self,
        shard: ShardId,
        ask: ShardAsk,
        patience: Duration,
    ) -> Option<ShardReply> {
        match self.ask(shard, ask, patience).await {
            AskResult::Reply(reply) => Some(reply),
            AskResult::NotReached => Some(ShardReply::Busy),
            AskResult::Lost => None,
        }
    }

    /// Makes one call to the owner of a shard according to the current view.
    async fn ask(&self, shard: ShardId, ask: ShardAsk, remaining: Duration) -> AskResult {
        let route = self.view.borrow().route(shard);
        match route {
            Route::Unroutable => AskResult::NotReached,
            Route::Local(owner) => {
                let reply = tokio::time::timeout(remaining, ask_local(&owner, ask)).await;
                reply.map_or(AskResult::Lost, AskResult::Reply)
            }
            Route::Remote(peer) => {
                let ask = Ask::Shard(shard, ask);
                match self.endpoint.call(peer, &ask, remaining).await {
                    Ok(Reply::Shard(reply)) => AskResult::Reply(reply),
                    Ok(_) | Err(PeerError::NoReply { .. }) => AskResult::Lost,
                    Err(PeerError::Unreachable { .. }) => AskResult::NotReached,
                }
            }
        }
    }

    /// Waits with jitter, or until the view of the cell changes.
    async fn pause(&self, pause: &mut Duration, remaining: Duration) {
        let jitter = rand::rng().random_range(0.5..1.5);
        let wait = pause.mul_f64(jitter).min(remaining);
        *pause = (*pause * 2).min(LONGEST_PAUSE);
        let mut view = self.view.clone();
        view.mark_unchanged();
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            _ = view.changed() => {}
        }
    }
}

/// Waits until a flag becomes true or its sender is dropped.
async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|set| *set).await;
}

fn cancelled_count(reply: Option<&ShardReply>) -> Option<u32> {
    match reply {
        Some(ShardReply::Cancelled(count)) => Some(*count),
        _ => None,
    }
}

/// Answer to a submission to which no owner has replied in time. `reached` says
/// whether an owner may have received it.
fn unanswered(id: &str, submission: &Submission, reached: bool) -> Answer {
    if !reached {
        let reason = "no owner of its shard could be reached; nothing was sent";
        return Answer::without_output(id, Code::NoOwner, reason);
    }
    if submission.wait {
        let reason = "no answer yet; ask again with the same id";
        return crate::intake::pending_answer(id, reason);
    }
    Answer::without_output(id, Code::OwnerLost, "the owner of its shard did not answer")
}
