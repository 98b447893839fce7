//! State of a stand-in worker: fence, lease, tasks, and the numbers of the replies
//! that reported the ends of tasks.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::Incarnation;
use model::Resources;
use worker::AttemptId;
use worker::Fence;
use worker::Poll;
use worker::PollReply;
use worker::Refusal;
use worker::RefusalReason;
use worker::ReplyNumber;
use worker::Start;
use worker::Task;

use super::Behaviour;

/// A task that runs, or whose end no poll has acknowledged.
#[derive(Debug)]
pub(super) struct TrackedTask {
    pub(super) task: Task,
    /// Number of the newest reply that reported the end; 0 if none has.
    pub(super) reported_in: ReplyNumber,
}

/// An attempt that must not start any more: its end was acknowledged, its start
/// was refused, or a stop arrived before its start. Kept for one lease duration,
/// to recognise delayed copies of the start.
#[derive(Clone, Copy, Debug)]
struct ClosedAttempt {
    /// Time at which the attempt was closed.
    at: Instant,
    /// Whether the task has run; if so, a copy of its start is answered with
    /// success, otherwise it is refused.
    had_started: bool,
}

/// State of a stand-in worker.
#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: Incarnation,
    pub(super) fence: Fence,
    /// Whether the current incarnation has accepted a claim.
    pub(super) claimed: bool,
    /// Duration of the lease of the tasks, from the last claim.
    pub(super) lease_duration: Duration,
    /// Time at which the lease of the tasks expires; `None` until a poll has
    /// acknowledged a reply.
    pub(super) lease_expiry: Option<Instant>,
    /// Number of the newest reply to a claim or poll.
    last_reply: ReplyNumber,
    /// Replies sent within the last lease duration, with their times.
    reply_times: VecDeque<(ReplyNumber, Instant)>,
    pub(super) tasks: HashMap<AttemptId, TrackedTask>,
    /// Attempts that must not start any more.
    closed: HashMap<AttemptId, ClosedAttempt>,
    pub(super) behaviour: Behaviour,
}

impl State {
    /// Creates the state of a worker in its first incarnation.
    pub(super) fn new(id: &str) -> State {
        State {
            incarnation: format!("{id}-1"),
            fence: Fence::default(),
            claimed: false,
            lease_duration: Duration::ZERO,
            lease_expiry: None,
            last_reply: 0,
            reply_times: VecDeque::new(),
            tasks: HashMap::new(),
            closed: HashMap::new(),
            behaviour: Behaviour::default(),
        }
    }

    /// Clears the state and begins the next incarnation.
    pub(super) fn restart(&mut self, id: &str) {
        let number = self
            .incarnation
            .rsplit_once('-')
            .and_then(|(_, n)| n.parse::<u32>().ok());
        self.incarnation = format!("{id}-{}", number.unwrap_or_default() + 1);
        self.fence = Fence::default();
        self.claimed = false;
        self.lease_expiry = None;
        self.reply_times.clear();
        self.tasks.clear();
        self.closed.clear();
    }

    /// Tasks that have not ended.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = &Task> {
        let tasks = self.tasks.values().map(|tracked| &tracked.task);
        tasks.filter(|task| task.end.is_none())
    }

    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            fence: self.fence,
        }
    }

    /// Returns the number of the next reply and records its time. Discards reply
    /// times and closed attempts that are older than the lease duration.
    pub(super) fn next_reply_number(&mut self) -> ReplyNumber {
        self.last_reply += 1;
        let now = Instant::now();
        self.reply_times.push_back((self.last_reply, now));
        let duration = self.lease_duration;
        while self
            .reply_times
            .front()
            .is_some_and(|(_, at)| *at + duration < now)
        {
            self.reply_times.pop_front();
        }
        self.closed.retain(|_, closed| closed.at + duration >= now);
        self.last_reply
    }

    pub(super) fn has_started(&self, attempt: &str) -> bool {
        let closed = self.closed.get(attempt);
        self.tasks.contains_key(attempt) || closed.is_some_and(|closed| closed.had_started)
    }

    pub(super) fn close_attempt(&mut self, attempt: AttemptId, had_started: bool) {
        let at = Instant::now();
        self.closed
            .entry(attempt)
            .or_insert(ClosedAttempt { at, had_started });
    }

    /// Returns why a start must be refused; `None` if the task may start.
    pub(super) fn refusal_reason(
        &self,
        start: &Start,
        capacity: &Resources,
    ) -> Option<RefusalReason> {
        if start.fence != self.fence && !self.behaviour.ignore_fence {
            return Some(RefusalReason::Fenced);
        }
        if !self.claimed || start.incarnation != self.incarnation {
            return Some(RefusalReason::Unclaimed);
        }
        // `Full` also refuses an attempt that must not start any more.
        if self.closed.contains_key(&start.attempt) {
            return Some(RefusalReason::Full);
        }
        // If the start is based on a reply that is older than the lease duration, the
        // record that its attempt is closed may already be discarded.
        if !self
            .reply_times
            .iter()
            .any(|(reply, _)| *reply == start.reply_number)
        {
            return Some(RefusalReason::LeaseOver);
        }
        if self
            .lease_expiry
            .is_none_or(|expiry| Instant::now() >= expiry)
        {
            return Some(RefusalReason::LeaseOver);
        }
        let booked = self
            .running_tasks()
            .fold(Resources::default(), |sum, task| sum.plus(&task.needs));
        let fits = booked.plus(&start.needs).fits(capacity);
        (!fits).then_some(RefusalReason::Full)
    }

    /// Checks a poll, discards the ends that it acknowledges, and extends the lease.
    /// The lease runs from the time at which the acknowledged reply was sent.
    pub(super) fn accept_poll(&mut self, poll: &Poll) -> Result<(), Refusal> {
        if poll.fence != self.fence && !self.behaviour.ignore_fence {
            return Err(self.refusal(RefusalReason::Fenced));
        }
        if !self.claimed {
            return Err(self.refusal(RefusalReason::Unclaimed));
        }
        for attempt in &poll.ended {
            if self.tasks.remove(attempt).is_some() {
                self.close_attempt(attempt.clone(), true);
            }
        }
        let acknowledged = self
            .reply_times
            .iter()
            .find(|(reply, _)| *reply == poll.reply_number);
        if let Some((_, sent_at)) = acknowledged {
            let expiry = *sent_at + self.lease_duration;
            self.lease_expiry = self.lease_expiry.max(Some(expiry));
        }
        Ok(())
    }

    /// Whether an end has not been reported yet, or was last reported after the
    /// reply `acknowledged`.
    pub(super) fn has_unreported_ends(&self, acknowledged: ReplyNumber) -> bool {
        let unreported = |tracked: &TrackedTask| {
            tracked.task.end.is_some()
                && (tracked.reported_in == 0 || tracked.reported_in > acknowledged)
        };
        self.tasks.values().any(unreported)
    }

    /// Creates a poll reply with the ends that have not been reported yet, or were
    /// last reported after the reply `acknowledged`.
    pub(super) fn poll_reply(&mut self, acknowledged: ReplyNumber) -> PollReply {
        let reply_number = self.next_reply_number();
        let mut ended = Vec::new();
        for tracked in self.tasks.values_mut() {
            let acknowledged_end = tracked.reported_in != 0 && tracked.reported_in <= acknowledged;
            if tracked.task.end.is_some() && !acknowledged_end {
                tracked.reported_in = reply_number;
                ended.push(tracked.task.clone());
            }
        }
        PollReply {
            reply_number,
            incarnation: self.incarnation.clone(),
            ended,
            usage: Resources::default(),
        }
    }
}
