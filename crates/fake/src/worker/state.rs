//! What a worker knows: its fence, its lease, its tasks and what it has told.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::Incarnation;
use model::Resources;
use worker::AttemptId;
use worker::Fence;
use worker::Poll;
use worker::Polled;
use worker::Refusal;
use worker::RefusalReason;
use worker::Start;
use worker::Task;
use worker::Turn;

use super::Behaviour;

/// A task, and whether its end was told.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) task: Task,
    /// Reply that first told of its end; 0 before.
    pub(super) told: Turn,
}

/// An attempt that is over, remembered against late copies of its start.
#[derive(Clone, Copy, Debug)]
struct Closed {
    at: Instant,
    carried_out: bool,
}

/// What a worker knows.
#[derive(Debug)]
pub(super) struct State {
    pub(super) run: Incarnation,
    pub(super) fence: Fence,
    pub(super) claimed: bool,
    pub(super) lease: Duration,
    pub(super) lease_until: Option<Instant>,
    turn: Turn,
    sent: VecDeque<(Turn, Instant)>,
    pub(super) tasks: HashMap<AttemptId, Running>,
    /// Attempts that are over: when, and whether they were carried out.
    closed: HashMap<AttemptId, Closed>,
    pub(super) behaviour: Behaviour,
}

impl State {
    /// State of a worker in its first life.
    pub(super) fn new(id: &str) -> State {
        State {
            run: format!("{id}-1"),
            fence: Fence::default(),
            claimed: false,
            lease: Duration::ZERO,
            lease_until: None,
            turn: 0,
            sent: VecDeque::new(),
            tasks: HashMap::new(),
            closed: HashMap::new(),
            behaviour: Behaviour::default(),
        }
    }

    /// Forgets everything; a new life begins.
    pub(super) fn restart(&mut self, id: &str) {
        let number = self
            .run
            .rsplit_once('-')
            .and_then(|(_, n)| n.parse::<u32>().ok());
        self.run = format!("{id}-{}", number.unwrap_or_default() + 1);
        self.fence = Fence::default();
        self.claimed = false;
        self.lease_until = None;
        self.sent.clear();
        self.tasks.clear();
        self.closed.clear();
    }

    /// Tasks that run now.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = &Task> {
        let tasks = self.tasks.values().map(|running| &running.task);
        tasks.filter(|task| task.end.is_none())
    }

    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            fence: self.fence,
        }
    }

    pub(super) fn next_turn(&mut self) -> Turn {
        self.turn += 1;
        let now = Instant::now();
        self.sent.push_back((self.turn, now));
        let lease = self.lease;
        while self.sent.front().is_some_and(|(_, at)| *at + lease < now) {
            self.sent.pop_front();
        }
        self.closed.retain(|_, closed| closed.at + lease >= now);
        self.turn
    }

    pub(super) fn has_started(&self, attempt: &str) -> bool {
        let closed = self.closed.get(attempt);
        self.tasks.contains_key(attempt) || closed.is_some_and(|closed| closed.carried_out)
    }

    pub(super) fn close_attempt(&mut self, attempt: AttemptId, carried_out: bool) {
        let at = Instant::now();
        self.closed
            .entry(attempt)
            .or_insert(Closed { at, carried_out });
    }

    pub(super) fn refuses(&self, start: &Start, capacity: &Resources) -> Option<RefusalReason> {
        if start.fence != self.fence && !self.behaviour.ignore_fence {
            return Some(RefusalReason::Fenced);
        }
        if !self.claimed || start.run != self.run {
            return Some(RefusalReason::Unclaimed);
        }
        if self.closed.contains_key(&start.attempt) {
            return Some(RefusalReason::Full);
        }
        if !self.sent.iter().any(|(turn, _)| *turn == start.turn) {
            return Some(RefusalReason::LeaseOver);
        }
        if self.lease_until.is_none_or(|until| Instant::now() >= until) {
            return Some(RefusalReason::LeaseOver);
        }
        let held = self
            .running_tasks()
            .fold(Resources::default(), |sum, task| sum.plus(&task.needs));
        let fits = held.plus(&start.needs).fits(capacity);
        (!fits).then_some(RefusalReason::Full)
    }

    pub(super) fn take_poll(&mut self, poll: &Poll) -> Result<(), Refusal> {
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
        let acknowledged = self.sent.iter().find(|(turn, _)| *turn == poll.turn);
        if let Some((_, sent)) = acknowledged {
            let until = *sent + self.lease;
            self.lease_until = self.lease_until.max(Some(until));
        }
        Ok(())
    }

    /// Ends that no acknowledged reply has told of.
    pub(super) fn has_news(&self, acknowledged: Turn) -> bool {
        let fresh = |running: &Running| {
            running.task.end.is_some() && (running.told == 0 || running.told > acknowledged)
        };
        self.tasks.values().any(fresh)
    }

    pub(super) fn polled(&mut self, acknowledged: Turn) -> Polled {
        let turn = self.next_turn();
        let mut ended = Vec::new();
        for running in self.tasks.values_mut() {
            let told = running.told != 0 && running.told <= acknowledged;
            if running.task.end.is_some() && !told {
                running.told = turn;
                ended.push(running.task.clone());
            }
        }
        Polled {
            turn,
            incarnation: self.run.clone(),
            ended,
            usage: Resources::default(),
        }
    }
}
