//! The task of a link to one worker: renews its lease and listens for ends.

use std::net::SocketAddr;
use std::time::Duration;

use job::Epoch;
use job::Listing;
use job::WorkerInfo;
use job::WorkerKey;
use platform::Hold;
use platform::Ordered;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::LinkPace;
use super::clock_guess::ClockGuess;
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

/// Longest wait for ends to be recorded before the worker is asked again: it
/// answers at once while it lists ends that it has to keep.
const RECORD_WAIT: Duration = Duration::from_millis(250);

/// The task of a link.
pub(super) struct Holder {
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
        epoch: Epoch,
        sender: mpsc::Sender<OwnerMessage>,
        (pace, seen): (LinkPace, watch::Receiver<u64>),
    ) -> Holder {
        Holder {
            context: context.clone(),
            key,
            address: info.address,
            id: info.id.clone(),
            epoch,
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
                Heard::Listing | Heard::End => None,
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
                Heard::Failure(_) | Heard::Silence => {}
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

    fn prepare(&mut self, sent: Duration) -> Hold {
        let seen = *self.seen.borrow_and_update();
        let kept = self.listed > seen;
        let clock = self.clock.filter(|_| self.renews);
        let tenured = sent < *self.pace.tenure.borrow();
        let wait = if kept || clock.is_none() {
            Duration::ZERO
        } else {
            *self.pace.wait.borrow()
        };
        Hold {
            epoch: self.epoch,
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
                    // Answers may overtake each other.
                    if answer.asked.sent >= self.taken {
                        self.taken = answer.asked.sent;
                        self.take(answer.asked.sent, listing).await;
                        return Heard::Listing;
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

/// Pause before a worker that has not answered so often in a row is called again.
fn retry_pause(failures: u32) -> Duration {
    let pause = FAILED_PAUSE.saturating_mul(1 << failures.min(8));
    pause.min(LONGEST_PAUSE)
}
