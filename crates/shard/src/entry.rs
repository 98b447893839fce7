//! A request as its shard remembers it.

use model::Answer;
use model::Class;
use model::Epoch;
use model::Incarnation;
use model::Request;
use model::Resources;
use model::WorkerId;
use sched::JobKey;
use sched::Timestamp;
use worker::AttemptId;
use worker::End;

use crate::WaiterKey;

/// What is known of one member of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// An earlier owner recorded the intent; the worker has not been asked.
    Unknown,
    /// The start was sent, or is about to be.
    Sent,
    /// The worker runs it.
    Started,
    /// The worker certainly never started it.
    NotStarted,
    /// It ended.
    Ended(End),
    /// It was stopped with its host, or its lease ran out: it has certainly
    /// ended, but nobody knows how far it came.
    Gone,
    /// Its worker cannot be reached: it may even run.
    Missing,
}

impl MemberState {
    /// Whether the member needs no more news.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        !matches!(
            self,
            MemberState::Unknown | MemberState::Sent | MemberState::Started
        )
    }
}

/// One member of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Id of its start.
    pub attempt: AttemptId,
    /// Worker that it was placed on.
    pub worker: WorkerId,
    /// Run of the worker.
    pub run: Incarnation,
    /// What is known of it.
    pub state: MemberState,
}

/// How far a request has come.
#[derive(Clone, Debug)]
pub enum Stage {
    /// In the queue.
    Waiting(JobKey),
    /// Placed; its intent is on the way to the table, nothing was sent.
    Recording(JobKey),
    /// Another shard was asked to run it.
    Lent,
    /// Starts were sent, or an earlier owner may have sent them.
    Running(Option<JobKey>),
    /// The answer is on the way to the table.
    Closing(Answer),
    /// Answered.
    Done(Answer),
}

/// Who told a shard of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Its caller, or an earlier owner's journal.
    Caller,
    /// Only a worker's report, or the record of its end; most of the request
    /// is unknown.
    Report,
}

/// What the attempts of a request may have done so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Past {
    /// Nothing has started.
    Untouched,
    /// Something has started; how it ended is known.
    Seen,
    /// Something may have started whose end nobody heard of.
    Unseen,
}

/// How far the record of a request's acceptance has come.
#[derive(Clone, Debug)]
pub enum Acceptance {
    /// It is not in the table yet; these callers wait for it.
    Recording(Vec<WaiterKey>),
    /// It is in the table.
    Safe,
}

/// A request as its shard remembers it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What was asked.
    pub request: Request,
    /// When it was submitted.
    pub since: Timestamp,
    /// Latest start.
    pub deadline: Timestamp,
    /// Latest start by the wall clock, in milliseconds since 1970.
    pub until_millis: u64,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: u32,
    /// Epoch of the owner that made the newest attempt.
    pub epoch: Epoch,
    /// Members of the newest attempt.
    pub members: Vec<Member>,
    /// How far it has come.
    pub stage: Stage,
    /// Callers that wait for the answer.
    pub waiters: Vec<WaiterKey>,
    /// Whether the journal has it, or will have it with the next commit.
    pub recorded: bool,
    /// What earlier attempts may have done.
    pub past: Past,
    /// How far the record of its acceptance has come.
    pub acceptance: Acceptance,
    /// Whether its caller withdrew it while it ran.
    pub cancelled: bool,
    /// Who told of it.
    pub origin: Origin,
    /// Milliseconds that it had waited elsewhere before it came here.
    pub before_millis: u64,
    /// Milliseconds from submission until the worker said that its newest
    /// attempt started; until it says so, to the sending of the start.
    pub waited_millis: u64,
    /// Ends of earlier attempts that their workers still keep.
    pub spent: Vec<Member>,
    /// Checkpoint of its last attempt.
    pub checkpoint: String,
}

impl Entry {
    /// A request that has just come in.
    #[must_use]
    pub fn new(
        request: Request,
        since: Timestamp,
        deadline: Timestamp,
        until_millis: u64,
    ) -> Entry {
        Entry {
            request,
            since,
            deadline,
            until_millis,
            attempt: 0,
            epoch: 0,
            members: Vec::new(),
            stage: Stage::Running(None),
            waiters: Vec::new(),
            recorded: false,
            past: Past::Untouched,
            acceptance: Acceptance::Recording(Vec::new()),
            cancelled: false,
            origin: Origin::Caller,
            before_millis: 0,
            waited_millis: 0,
            spent: Vec::new(),
            checkpoint: String::new(),
        }
    }

    /// A request that only a worker's report tells of.
    #[must_use]
    pub fn orphan(key: &str, needs: Resources, now: Timestamp) -> Entry {
        let (team, id) = key.split_once('/').unwrap_or(("", key));
        let request = Request {
            id: id.to_owned(),
            team: team.to_owned(),
            class: Class::Interactive,
            needs,
            run_millis: 0,
            deadline_millis: 0,
            idempotent: true,
            members: 1,
            label: String::new(),
            sent_millis: 0,
            payload: String::new(),
        };
        let mut entry = Entry::new(request, now, now, 0);
        entry.origin = Origin::Report;
        entry.past = Past::Seen;
        entry
    }

    /// Whether `other` asks for the same work.
    #[must_use]
    pub fn is_same_work(&self, other: &Request) -> bool {
        let mine = &self.request;
        self.origin == Origin::Report
            || (mine.class == other.class
                && mine.needs == other.needs
                && mine.members == other.members
                && mine.idempotent == other.idempotent
                && mine.payload == other.payload)
    }

    /// The answer, when there is one.
    #[must_use]
    pub fn answer(&self) -> Option<&Answer> {
        match &self.stage {
            Stage::Done(answer) => Some(answer),
            _ => None,
        }
    }

    /// Whether a later owner will know of it as well, or does not have to.
    #[must_use]
    pub fn is_safe(&self) -> bool {
        !self.recorded || matches!(self.acceptance, Acceptance::Safe)
    }

    /// Whether some attempt may have started.
    #[must_use]
    pub fn touched(&self) -> bool {
        self.past != Past::Untouched
    }

    /// Takes in what an attempt may have done.
    pub(crate) fn touch(&mut self, past: Past) {
        self.past = self.past.max(past);
    }

    /// Takes in that its attempt starts, or was sent, at `now`. What an
    /// earlier attempt waited stays.
    pub(crate) fn note_wait(&mut self, now: Timestamp) {
        if !self.touched() {
            let here = crate::intake::millis(now.saturating_sub(self.since));
            self.waited_millis = self.before_millis + here;
        }
    }

    /// Whether it is answered, or the answer is on the way to the table.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Closing(_) | Stage::Done(_))
    }

    /// Job of the core while it has one.
    #[must_use]
    pub fn job(&self) -> Option<JobKey> {
        match self.stage {
            Stage::Waiting(job) | Stage::Recording(job) => Some(job),
            Stage::Running(job) => job,
            Stage::Lent | Stage::Closing(_) | Stage::Done(_) => None,
        }
    }

    /// Member by the id of its start.
    pub fn member_mut(&mut self, attempt: &str) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.attempt == attempt)
    }
}

/// Id of the start of one member. The epoch is in it because an owner that
/// knows nothing of an earlier one's attempts would number its own alike, and
/// the worker would take its start for a copy of the earlier one.
#[must_use]
pub fn attempt_id(key: &str, epoch: Epoch, attempt: u32, member: usize) -> AttemptId {
    format!("{key}#{epoch}.{attempt}.{member}")
}

/// Key of the request of a start.
#[must_use]
pub fn attempt_key(attempt: &str) -> &str {
    attempt.rsplit_once('#').map_or(attempt, |(key, _)| key)
}
