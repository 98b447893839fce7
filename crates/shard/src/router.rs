//! Brings a call to the owner of its shard, through hand-overs and crashes.
//! This is the one place that retries a call on behalf of a caller.

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

/// First and longest pause between two tries.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
const PAUSE_LONGEST: Duration = Duration::from_millis(250);

/// Longest wait for a reply that needs no task to end.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Brings calls to the owners of shards; clones share the view.
#[derive(Clone, Debug)]
pub struct Router {
    node: PeerEndpoint,
    shards: u16,
    view: watch::Receiver<Arc<View>>,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its answer, or what it waits for.
    Answer(Answer),
    /// Its shard does not know it.
    Unknown,
    /// Nothing: no owner of its shard answers.
    Unreached,
}

/// One try to ask an owner.
enum Tried {
    /// The owner replied.
    Reply(ShardReply),
    /// No owner did anything about it.
    Nothing,
    /// An owner may have received it.
    Lost,
}

impl Router {
    /// A router for a cell of `shards` shards.
    #[must_use]
    pub fn new(node: PeerEndpoint, shards: u16, view: watch::Receiver<Arc<View>>) -> Router {
        Router { node, shards, view }
    }

    /// Shard of a request. Of a team that this process does not know any shard
    /// can say that it has no quota.
    #[must_use]
    pub fn shard(&self, key: &str) -> ShardId {
        let team = key.split_once('/').map_or(key, |(team, _)| team);
        let view = self.view.borrow();
        let config = view.config.as_ref().map(|numbered| &numbered.config);
        let known = config.and_then(|config| config.team_shards(team, self.shards));
        known
            .unwrap_or(TeamShards::new(team, self.shards, self.shards))
            .home(key)
    }

    /// Number of shards.
    #[must_use]
    pub fn shards(&self) -> u16 {
        self.shards
    }

    /// What this process believes about the cell.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Submits a request and waits for its reply, at most `patience`, or until
    /// `leave` turns true: the process stops, and another can be asked.
    ///
    /// A retry reaches either the same owner, which knows the id, or a later
    /// one, which has the journal and the workers' reports; so the tries add
    /// up to one submission. "Not run" is said here only when no try can have
    /// reached an owner.
    pub async fn submit(
        &self,
        mut submission: Submission,
        patience: Duration,
        mut leave: watch::Receiver<bool>,
    ) -> Answer {
        let began = Instant::now();
        let before = submission.waited_millis;
        let id = submission.request.id.clone();
        let key = request_key(&submission.request.team, &id);
        let first_millis = event::wall_millis();
        let mut reached = false;
        let mut pause = PAUSE_FIRST;
        loop {
            let left = patience.saturating_sub(began.elapsed());
            if left.is_zero() || *leave.borrow() {
                return give_up(&id, &submission, reached);
            }
            submission.waited_millis = before + crate::intake::millis(began.elapsed());
            let ask = ShardAsk::Submit(submission.clone());
            let tried = tokio::select! {
                tried = self.ask(self.shard(&key), ask, left) => tried,
                () = told(&mut leave) => Tried::Lost,
            };
            match tried {
                Tried::Reply(ShardReply::Answer(answer)) => return answer,
                Tried::Reply(ShardReply::Moved) => {
                    reached = true;
                    pause = PAUSE_FIRST;
                }
                Tried::Lost => reached = true,
                Tried::Reply(_) | Tried::Nothing => {}
            }
            // The next owner has to know that this is a retry. Without the time
            // of the first try it would say "not run" of what that one ran.
            if reached && submission.request.sent_millis == 0 {
                submission.request.sent_millis = first_millis;
            }
            self.pause(&mut pause, left).await;
        }
    }

    /// Asks how a request stands.
    pub async fn status(&self, key: &str) -> Standing {
        let ask = ShardAsk::Status(key.to_owned());
        match self.plain(self.shard(key), ask).await {
            Some(ShardReply::Answer(answer)) => Standing::Answer(answer),
            Some(ShardReply::Unknown) => Standing::Unknown,
            _ => Standing::Unreached,
        }
    }

    /// Cancels requests; the number of those cancelled, none when some owner
    /// could not be asked.
    pub async fn cancel(&self, filter: CancelFilter) -> Option<u32> {
        if let CancelFilter::One(key) = &filter {
            let shard = self.shard(key);
            return cancelled(self.plain(shard, ShardAsk::Cancel(filter)).await.as_ref());
        }
        let mut calls = tokio::task::JoinSet::new();
        for shard in 0..self.shards {
            let router = self.clone();
            let ask = ShardAsk::Cancel(filter.clone());
            calls.spawn(async move { cancelled(router.plain(shard, ask).await.as_ref()) });
        }
        let counts = calls.join_all().await;
        counts.into_iter().sum()
    }

    async fn plain(&self, shard: ShardId, ask: ShardAsk) -> Option<ShardReply> {
        let began = Instant::now();
        let mut pause = PAUSE_FIRST;
        loop {
            let left = PLAIN_TIMEOUT.saturating_sub(began.elapsed());
            if left.is_zero() {
                return None;
            }
            match self.ask(shard, ask.clone(), left).await {
                Tried::Reply(ShardReply::NotOwner | ShardReply::TimedOut | ShardReply::Moved)
                | Tried::Nothing
                | Tried::Lost => {}
                Tried::Reply(reply) => return Some(reply),
            }
            self.pause(&mut pause, left).await;
        }
    }

    /// Asks the owner of a shard once; none when it may have received it and
    /// no reply came. A shard without an owner that can be reached is busy.
    pub(crate) async fn ask_once(
        &self,
        shard: ShardId,
        ask: ShardAsk,
        patience: Duration,
    ) -> Option<ShardReply> {
        match self.ask(shard, ask, patience).await {
            Tried::Reply(reply) => Some(reply),
            Tried::Nothing => Some(ShardReply::Busy),
            Tried::Lost => None,
        }
    }

    async fn ask(&self, shard: ShardId, ask: ShardAsk, left: Duration) -> Tried {
        let route = self.view.borrow().route(shard);
        match route {
            Route::Nowhere => Tried::Nothing,
            Route::Local(owner) => {
                let reply = tokio::time::timeout(left, ask_local(&owner, ask)).await;
                reply.map_or(Tried::Lost, Tried::Reply)
            }
            Route::Remote(peer) => {
                let ask = Ask::Shard(shard, ask);
                match self.node.call(peer, &ask, left).await {
                    Ok(Reply::Shard(reply)) => Tried::Reply(reply),
                    Ok(_) | Err(PeerError::NoReply { .. }) => Tried::Lost,
                    Err(PeerError::Unreachable { .. }) => Tried::Nothing,
                }
            }
        }
    }

    /// Waits with jitter, or until the view changes.
    async fn pause(&self, pause: &mut Duration, left: Duration) {
        let jitter = rand::rng().random_range(0.5..1.5);
        let wait = pause.mul_f64(jitter).min(left);
        *pause = (*pause * 2).min(PAUSE_LONGEST);
        let mut view = self.view.clone();
        view.mark_unchanged();
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            _ = view.changed() => {}
        }
    }
}

/// Waits until a flag turns true; a vanished sender counts as that.
async fn told(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|set| *set).await;
}

fn cancelled(reply: Option<&ShardReply>) -> Option<u32> {
    match reply {
        Some(ShardReply::Cancelled(count)) => Some(*count),
        _ => None,
    }
}

fn give_up(id: &str, submission: &Submission, reached: bool) -> Answer {
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
