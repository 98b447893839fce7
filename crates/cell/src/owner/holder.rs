//! The task of a link to one worker: renews its lease and listens for ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use job::LifeId;
use job::Listing;
use job::Token;
use job::WorkerInfo;
use job::WorkerKey;
use platform::Hold;
use platform::Ordered;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::LinkPace;
use super::clock_guess::ClockGuess;
use super::gate::Gate;
use super::gate::Quiet;
use crate::Context;
use crate::OwnerMessage;
use crate::WorkerNews;

/// Pause after a renewal that failed; it doubles with each one that fails after it.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// Longest such pause: half of what is left of a lease after two calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Calls to one worker that may wait for their answers, late ones among them.
const MOST_CALLS: usize = 3;

/// Reason of a call whose answer is late.
const LATE: &str = "answer is late";

/// Pause before a worker is asked again to whose last call a start was under way.
const START_WAIT: Duration = Duration::from_millis(20);

/// Reason of a call that another life of the worker has answered.
const OTHER_LIFE: &str = "another life of the worker answers";

/// Reason of a call whose answer does not name the worker's life.
const UNNAMED: &str = "list of runs without a life";

/// Longest wait for ends to be recorded before the worker is asked again: it
/// answers at once while it lists ends that it has to keep.
const RECORD_WAIT: Duration = Duration::from_millis(250);

/// The task of a link.
pub(super) struct Holder {
    context: Context,
    key: WorkerKey,
    address: SocketAddr,
    id: String,
    gate: Arc<Gate>,
    /// The life of the worker, as far as it is known.
    life: Option<LifeId>,
    lease: Duration,
    sender: mpsc::Sender<OwnerMessage>,
    pace: LinkPace,
    seen: watch::Receiver<u64>,
    clock: Option<ClockGuess>,
    /// The worker answered the last call, so the next one renews its lease and
    /// acknowledges ends. Calls to a silent one do not: each could arrive, so the lease
    /// would never be over and its tasks would never run again; and it may have started
    /// again, with ends of the same numbers that nobody has heard of.
    renews: bool,
    /// Newest end that the worker has listed.
    listed: u64,
    /// Newest end that was acknowledged to it.
    acknowledged: u64,
    /// No start was under way when the call was sent that was answered last.
    quiet: Option<Quiet>,
    /// Calls without an answer yet, those that are late among them.
    calls: JoinSet<Answer>,
    /// The newest call, until it is answered or late.
    newest: Option<Asked>,
    /// When the newest call was sent whose answer was taken.
    taken: Duration,
}

/// A call that was made.
#[derive(Clone, Copy, Debug)]
struct Asked {
    sent: Duration,
    token: Token,
    /// No start was under way.
    quiet: Option<Quiet>,
    /// How long the worker may wait for an end.
    wait: Duration,
}

/// How a call ended.
struct Answer {
    asked: Asked,
    took: Duration,
    listing: Ordered<Listing>,
}

/// What has come of the calls.
enum Heard {
    /// The worker has told what it runs.
    Listing,
    /// The worker cannot be reached, or refuses.
    Failure(String),
    /// The worker refused a call since a later order of this owner had come before it.
    Overtaken,
    /// Nothing in time.
    Silence,
    /// There is nothing more to be heard here.
    End,
}

impl Holder {
    /// The task of a link to a worker. The last argument says how often the worker is
    /// asked, and which of its ends are recorded.
    pub(super) fn new(
        context: &Context,
        key: WorkerKey,
        info: &WorkerInfo,
        gate: Arc<Gate>,
        sender: mpsc::Sender<OwnerMessage>,
        (pace, seen): (LinkPace, watch::Receiver<u64>),
    ) -> Holder {
        Holder {
            context: context.clone(),
            key,
            address: info.address,
            id: info.id.clone(),
            gate,
            quiet: None,
            acknowledged: 0,
            life: info.life,
            lease: context.settings.policy().lease,
            sender,
            pace,
            seen,
            clock: None,
            renews: false,
            listed: 0,
            calls: JoinSet::new(),
            newest: None,
            taken: Duration::ZERO,
        }
    }

    /// Claims the worker and then renews its lease, until there is nothing more to be
    /// heard.
    pub(super) async fn run(mut self) {
        let mut reached = true;
        let mut failures = 0;
        // Fails only if the semaphore is closed, which nobody does.
        let mut permit = self.pace.claims.clone().acquire_owned().await.ok();
        loop {
            let asked = self.ask().await;
            let late = asked.sent + asked.wait + self.pace.answers.patience();
            let mut heard = self.listen(late).await;
            permit.take();
            let reason = match &heard {
                Heard::Failure(reason) => Some(reason.as_str()),
                Heard::Silence => Some(LATE),
                Heard::Listing | Heard::Overtaken | Heard::End => None,
            };
            if let Some(reason) = reason {
                self.fall_silent(reached, reason).await;
                reached = false;
                let pause = retry_pause(failures);
                failures += 1;
                heard = self.listen(self.context.now() + pause).await;
            }
            match heard {
                Heard::End => return,
                Heard::Failure(_) | Heard::Overtaken | Heard::Silence => {}
                Heard::Listing => {
                    if !reached {
                        log::info!(code = 348, worker = self.id.as_str(); "worker answers again");
                    }
                    reached = true;
                    failures = 0;
                }
            }
        }
    }

    async fn fall_silent(&mut self, reached: bool, reason: &str) {
        if let Some(open) = self.newest.take() {
            let until = open.sent + open.wait + self.pace.answers.longest();
            self.tell(WorkerNews::Late(open.sent, until)).await;
        }
        self.renews = false;
        // A call that acknowledged ends may not have been carried out.
        self.acknowledged = 0;
        self.tell(WorkerNews::Silent).await;
        if reached {
            log::warn!(code = 347, worker = self.id.as_str(), reason = reason; "worker does not answer");
        }
    }

    /// Calls the worker, unless a call of which the answer is not late is open already,
    /// or too many are.
    async fn ask(&mut self) -> Asked {
        if let Some(open) = self.newest {
            return open;
        }
        let sent = self.context.now();
        let hold = self.prepare(sent);
        let asked = Asked {
            sent,
            token: hold.token,
            quiet: self.gate.quiet(),
            wait: hold.wait,
        };
        if self.calls.len() >= MOST_CALLS {
            return asked;
        }
        if hold.lease_end.is_some() {
            self.tell(WorkerNews::LeaseSent).await;
        }
        self.newest = Some(asked);
        let timeout = hold.wait + self.pace.answers.limit();
        let (context, address, id) = (self.context.clone(), self.address, self.id.clone());
        self.calls.spawn(async move {
            let listing = context.commands.hold(address, &id, hold, timeout).await;
            let took = context.now().saturating_sub(asked.sent);
            Answer {
                asked,
                took,
                listing,
            }
        });
        asked
    }

    /// Up to which end the next call acknowledges, and its token. A worker that names its
    /// lives is told of new ones only, in a call that waits for nothing.
    fn acknowledgement(&mut self, recorded: u64) -> (u64, Token) {
        let token = self.gate.token();
        if !self.renews {
            return (0, token);
        }
        if self.life.is_none() {
            return (recorded, token);
        }
        let quiet = self.quiet.filter(|_| recorded > self.acknowledged);
        let Some(token) = quiet.and_then(|quiet| self.gate.acknowledge(quiet)) else {
            return (0, token);
        };
        self.acknowledged = recorded;
        (recorded, token)
    }

    fn prepare(&mut self, sent: Duration) -> Hold {
        let recorded = *self.seen.borrow_and_update();
        let (seen, token) = self.acknowledgement(recorded);
        let kept = self.listed > recorded || self.life.is_some() && self.listed > self.acknowledged;
        let clock = self.clock.filter(|_| self.renews);
        let tenured = sent < *self.pace.tenure.borrow();
        let acknowledges = self.life.is_some() && seen > 0;
        let wait = if kept || acknowledges || clock.is_none() {
            Duration::ZERO
        } else {
            *self.pace.wait.borrow()
        };
        Hold {
            token,
            seen,
            lease_end: clock
                .filter(|_| tenured)
                .map(|clock| clock.at(sent) + self.lease),
            wait,
        }
    }

    /// Waits until one of the calls is answered, also one that is late: it may hold the
    /// end of a task.
    async fn listen(&mut self, until: Duration) -> Heard {
        loop {
            let left = until.saturating_sub(self.context.now());
            let answer = tokio::select! {
                Some(Ok(answer)) = self.calls.join_next() => answer,
                () = tokio::time::sleep(left) => return Heard::Silence,
            };
            let newest = self
                .newest
                .is_some_and(|open| open.sent == answer.asked.sent);
            if newest {
                self.newest = None;
            }
            match answer.listing {
                Ordered::Done(listing) => {
                    self.observe(answer.asked, answer.took);
                    let first = self.taken == Duration::ZERO && self.life.is_none();
                    if listing.life != self.life && !first {
                        let reason = self.take_stranger(answer.asked.sent, listing).await;
                        return Heard::Failure(reason.to_owned());
                    }
                    // Answers may overtake each other.
                    if answer.asked.sent >= self.taken {
                        self.taken = answer.asked.sent;
                        self.quiet = answer.asked.quiet;
                        self.take(answer.asked.sent, listing).await;
                        return Heard::Listing;
                    }
                }
                // By a later order of this owner.
                Ordered::Fenced if self.gate.overtaken(answer.asked.token) => {
                    self.acknowledged = 0;
                    if newest {
                        return Heard::Overtaken;
                    }
                }
                Ordered::Fenced => {
                    self.tell(WorkerNews::Fenced).await;
                    return Heard::End;
                }
                Ordered::Replaced => {
                    self.tell(WorkerNews::Over).await;
                    return Heard::End;
                }
                Ordered::Unknown(error) | Ordered::Unreachable(error) if newest => {
                    return Heard::Failure(error.to_string());
                }
                other if newest => return Heard::Failure(format!("{other:?}")),
                _ => {}
            }
        }
    }

    /// Takes note of how long an answer took beyond the worker's wait for an end.
    fn observe(&self, asked: Asked, took: Duration) {
        if let Some(time) = took.checked_sub(asked.wait) {
            self.pace.answers.took(time);
        }
    }

    async fn take(&mut self, sent: Duration, listing: Listing) {
        self.renews = true;
        self.life = listing.life;
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
        if self.life.is_some() && self.listed > self.acknowledged && self.quiet.is_none() {
            // It answers at once until its ends are acknowledged, for which no start may be
            // under way: asked in a loop, it would fill a thin link.
            tokio::time::sleep(START_WAIT.max(self.pace.answers.usual())).await;
        }
    }

    /// Passes on a list of runs that is not of the life which the link is to; gives what
    /// it is. Whether that life is over is for the owner to say.
    async fn take_stranger(&mut self, sent: Duration, listing: Listing) -> &'static str {
        self.renews = false;
        if listing.life.is_none() {
            log::error!(
                code = 386, worker = self.id.as_str(), known = self.life;
                "list of runs does not name the worker's life"
            );
            return UNNAMED;
        }
        self.tell(WorkerNews::Listed(sent, listing)).await;
        OTHER_LIFE
    }

    async fn tell(&self, news: WorkerNews) {
        // The owner's end is gone only when this task is about to be, too.
        let _ = self.sender.send(OwnerMessage::Worker(self.key, news)).await;
    }
}

/// Pause before a worker that has not answered so often in a row is called again.
fn retry_pause(failures: u32) -> Duration {
    let pause = FAILED_PAUSE.saturating_mul(1 << failures.min(8));
    pause.min(LONGEST_PAUSE)
}
