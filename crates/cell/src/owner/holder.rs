//! The task of a link: keeps a call open to one worker, which renews the worker's lease and
//! returns its reports.

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

/// Pause after the first failed call; it doubles with each further failure in a row.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after a failed call: half of the time that is left of a lease after two calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Most calls to one worker that are still open, including those whose reply is late.
const MOST_CALLS: usize = 3;

/// Reason given for a call whose reply is late.
const LATE: &str = "answer is late";

/// Pause before the next call if a start was in progress during the last one.
const START_WAIT: Duration = Duration::from_millis(20);

/// Reason given for a call that another incarnation of the worker has answered.
const OTHER_LIFE: &str = "another life of the worker answers";

/// Reason given for a reply that does not name the worker's incarnation.
const UNNAMED: &str = "list of runs without a life";

/// Longest wait until reported ends are saved, before the next call: the worker answers at once
/// while it has ends that were not acknowledged.
const RECORD_WAIT: Duration = Duration::from_millis(250);

/// Sends calls to one worker and passes on what comes of them.
pub(super) struct Holder {
    context: Context,
    key: WorkerKey,
    address: SocketAddr,
    id: String,
    gate: Arc<Gate>,
    /// The worker's incarnation, if it is known.
    life: Option<LifeId>,
    lease: Duration,
    sender: mpsc::Sender<OwnerMessage>,
    pace: LinkPace,
    seen: watch::Receiver<u64>,
    clock: Option<ClockGuess>,
    /// The worker answered the last call, so the next one renews its lease and acknowledges
    /// ends. Calls to a silent worker do neither: each of them might arrive, so that the lease
    /// would never expire and its tasks would never run again; and the worker may have started
    /// again, with ends of the same numbers that the owner has not received.
    renews: bool,
    /// Number of the newest end that the worker has reported.
    listed: u64,
    /// Number of the newest end that was acknowledged to the worker.
    acknowledged: u64,
    /// Set if no start was in progress when the newest answered call was sent.
    quiet: Option<Quiet>,
    /// Calls without a reply yet, including those whose reply is late.
    calls: JoinSet<Answer>,
    /// The newest call, until it is answered or its reply is late.
    newest: Option<Asked>,
    /// When the newest call was sent whose report was passed on.
    taken: Duration,
}

/// A call that was sent.
#[derive(Clone, Copy, Debug)]
struct Asked {
    sent: Duration,
    token: Token,
    /// Set if no start was in progress.
    quiet: Option<Quiet>,
    /// How long the worker may hold the call while it has no end to report.
    wait: Duration,
}

/// The result of a call.
struct Answer {
    asked: Asked,
    took: Duration,
    listing: Ordered<Listing>,
}

/// What waiting for the open calls has come to.
enum Heard {
    /// The worker has sent a report.
    Listing,
    /// The worker cannot be reached, or refused the call.
    Failure(String),
    /// The worker refused the call since a later command of this owner, with a higher token,
    /// reached it first.
    Overtaken,
    /// No reply arrived in time.
    Silence,
    /// The link has no further use: the incarnation has ended, or the worker obeys a newer
    /// owner.
    End,
}

impl Holder {
    /// Creates the task of a link to a worker. The last argument holds the state that all links
    /// share, and the number of the newest end that is saved.
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

    /// Claims the worker and then renews its lease, until the link has no further use.
    pub(super) async fn run(mut self) {
        let mut reached = true;
        let mut failures = 0;
        // Acquiring fails only if the semaphore is closed, which never happens.
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

    /// Sends a call to the worker, unless a call is open whose reply is not late, or too many
    /// calls are.
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
            let listing = context.orders.hold(address, &id, hold, timeout).await;
            let took = context.now().saturating_sub(asked.sent);
            Answer {
                asked,
                took,
                listing,
            }
        });
        asked
    }

    /// Number of the end up to which the next call acknowledges, and the call's token. A worker
    /// that names its incarnation gets an acknowledgement only of ends that were not
    /// acknowledged before, in a call that it answers at once.
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

    /// Waits until one of the open calls is answered. Late replies count too: they may report
    /// the end of a task.
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
                    // Replies may arrive out of order.
                    if answer.asked.sent >= self.taken {
                        self.taken = answer.asked.sent;
                        self.quiet = answer.asked.quiet;
                        self.take(answer.asked.sent, listing).await;
                        return Heard::Listing;
                    }
                }
                // Refused due to a later command of this owner.
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

    /// Records how long a reply took beyond the time for which the worker may hold the call.
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
        // If the save takes longer, the worker is called all the same: its lease must not
        // expire while the store is down.
        let _ = tokio::time::timeout(RECORD_WAIT, recorded).await;
        if self.life.is_some() && self.listed > self.acknowledged && self.quiet.is_none() {
            // The worker answers at once until its ends are acknowledged, which needs a moment
            // without starts in progress. Calls repeated without a pause would fill a slow
            // link.
            tokio::time::sleep(START_WAIT.max(self.pace.answers.usual())).await;
        }
    }

    /// Passes on a report of another incarnation than the one this link was opened for; returns
    /// the reason for the log. The owner decides whether the known incarnation has ended.
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
        // Fails only if the owner has ended, and then this task is about to end as well.
        let _ = self.sender.send(OwnerMessage::Worker(self.key, news)).await;
    }
}

/// Pause after this number of failed calls in a row.
fn retry_pause(failures: u32) -> Duration {
    let pause = FAILED_PAUSE.saturating_mul(1 << failures.min(8));
    pause.min(LONGEST_PAUSE)
}
