//! State of a request in the ledger of its shard.

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

/// State of one member of an attempt, from the journal and the replies of its
/// worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// A former owner recorded the intent, and the worker has not been
    /// claimed since.
    Unknown,
    /// The start was sent or is about to be sent; its reply is outstanding.
    Sent,
    /// The worker has confirmed that it runs the task.
    Started,
    /// The worker has not started the task and never will.
    NotStarted,
    /// The worker has reported the end of the task.
    Ended(End),
    /// The task was stopped with its host, or its lease expired. It has
    /// certainly ended, but its result is unknown.
    Interrupted,
    /// The worker cannot be reached; the task may still be running.
    Unreachable,
}

impl MemberState {
    /// Whether this state is final, so that no further report is awaited.
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
    /// Attempt id under which the member was started.
    pub attempt: AttemptId,
    /// Worker on which the member was placed.
    pub worker: WorkerId,
    /// Incarnation of the worker at the time of the placement.
    pub incarnation: Incarnation,
    /// State of the member, from the journal and the replies of its worker.
    pub state: MemberState,
}

/// Stage of a request between submission and answer.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Waiting in the queue.
    Waiting(JobKey),
    /// Placed; its intent is being written to the table and no start was sent.
    Recording(JobKey),
    /// Offered to other shards, one of which may be running it.
    Offloaded,
    /// Starts were sent, or a former owner may have sent them. There is no
    /// job until the worker of a recovered member lists its task.
    Running(Option<JobKey>),
    /// The answer is decided but not yet final: its record may still be on the
    /// way to the table.
    Closing(Answer),
    /// The answer is final.
    Done(Answer),
}

/// Source from which the shard has a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From its caller, or from a former owner's journal.
    Caller,
    /// Only from a worker's report or the record of its end; most fields of
    /// the request are unknown.
    Report,
}

/// Whether earlier attempts of a request ran, from the journal and the replies
/// of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunHistory {
    /// No attempt has started.
    NeverStarted,
    /// An attempt has started, and no started task has ended without a reported
    /// result; some tasks may still be running.
    EndKnown,
    /// An attempt may have started whose result is unknown.
    EndUnknown,
}

/// Whether the acceptance of a request is recorded in the table.
#[derive(Clone, Debug)]
pub enum Acceptance {
    /// The record is not in the table yet; these callers wait for it.
    Recording(Vec<WaiterKey>),
    /// The record is in the table.
    Recorded,
}

/// A request with its state in its shard.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request as submitted.
    pub request: Request,
    /// Time at which the request came to this shard.
    pub submitted_at: Timestamp,
    /// Latest time at which the request may start.
    pub deadline: Timestamp,
    /// The same deadline as wall clock time, in milliseconds since 1970.
    pub until_millis: u64,
    /// Number of the newest attempt; 0 before the first one.
    pub attempt: u32,
    /// Epoch of the owner that made the newest attempt.
    pub epoch: Epoch,
    /// Members of the newest attempt.
    pub members: Vec<Member>,
    /// Stage between submission and answer.
    pub stage: Stage,
    /// Callers that wait for the final answer.
    pub waiters: Vec<WaiterKey>,
    /// Whether the journal contains the request, or will with the next commit.
    pub recorded: bool,
    /// Whether earlier attempts ran.
    pub history: RunHistory,
    /// Whether the acceptance is recorded in the table.
    pub acceptance: Acceptance,
    /// Whether the caller cancelled the request while it was running.
    pub cancelled: bool,
    /// How the shard learnt of the request.
    pub origin: Origin,
    /// Milliseconds between the first submission and its arrival in this shard.
    pub prior_millis: u64,
    /// Milliseconds from submission to the start of the newest attempt: the
    /// worker's confirmation or, until it arrives, the sending of the start.
    pub waited_millis: u64,
    /// Members of earlier attempts, whose results the workers still keep.
    pub earlier_members: Vec<Member>,
    /// Checkpoint from which the next attempt continues; empty if there is
    /// none.
    pub checkpoint: String,
}

impl Entry {
    /// Creates the entry of a request that has just been submitted.
    #[must_use]
    pub fn new(
        request: Request,
        submitted_at: Timestamp,
        deadline: Timestamp,
        until_millis: u64,
    ) -> Entry {
        Entry {
            request,
            submitted_at,
            deadline,
            until_millis,
            attempt: 0,
            epoch: 0,
            members: Vec::new(),
            stage: Stage::Running(None),
            waiters: Vec::new(),
            recorded: false,
            history: RunHistory::NeverStarted,
            acceptance: Acceptance::Recording(Vec::new()),
            cancelled: false,
            origin: Origin::Caller,
            prior_millis: 0,
            waited_millis: 0,
            earlier_members: Vec::new(),
            checkpoint: String::new(),
        }
    }

    /// Creates the entry of a request that is not in the journal, from a worker's
    /// report.
    #[must_use]
    pub fn from_report(key: &str, needs: Resources, now: Timestamp) -> Entry {
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
        entry.history = RunHistory::EndKnown;
        entry
    }

    /// Whether `other` asks for the same work.
    #[must_use]
    pub fn is_same_work(&self, other: &Request) -> bool {
        let own = &self.request;
        self.origin == Origin::Report
            || (own.class == other.class
                && own.needs == other.needs
                && own.members == other.members
                && own.idempotent == other.idempotent
                && own.payload == other.payload)
    }

    /// The final answer, if there is one.
    #[must_use]
    pub fn answer(&self) -> Option<&Answer> {
        match &self.stage {
            Stage::Done(answer) => Some(answer),
            _ => None,
        }
    }

    /// Whether the request is recorded in the table, or needs no record.
    #[must_use]
    pub fn survives_takeover(&self) -> bool {
        !self.recorded || matches!(self.acceptance, Acceptance::Recorded)
    }

    /// Whether an attempt may have started.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.history != RunHistory::NeverStarted
    }

    /// Adds the result of an attempt to the run history.
    pub(crate) fn add_history(&mut self, history: RunHistory) {
        self.history = self.history.max(history);
    }

    /// Sets the waiting time when the start is sent or confirmed at `now`,
    /// unless an earlier attempt has already set it.
    pub(crate) fn note_wait(&mut self, now: Timestamp) {
        if !self.may_have_run() {
            let local_millis = crate::intake::millis(now.saturating_sub(self.submitted_at));
            self.waited_millis = self.prior_millis + local_millis;
        }
    }

    /// Whether the answer is decided, even if its record is not yet in the
    /// table.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        matches!(self.stage, Stage::Closing(_) | Stage::Done(_))
    }

    /// Job of the request in the scheduling core, if any.
    #[must_use]
    pub fn job(&self) -> Option<JobKey> {
        match self.stage {
            Stage::Waiting(job) | Stage::Recording(job) => Some(job),
            Stage::Running(job) => job,
            Stage::Offloaded | Stage::Closing(_) | Stage::Done(_) => None,
        }
    }

    /// Member of the newest attempt with this attempt id.
    pub fn member_mut(&mut self, attempt: &str) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.attempt == attempt)
    }
}

/// Attempt id of one member. It contains the epoch because an owner that has no
/// record of a former owner's attempts would use the same numbers again, and the
/// worker would take its start for a duplicate of the earlier one.
#[must_use]
pub fn attempt_id(key: &str, epoch: Epoch, attempt: u32, member: usize) -> AttemptId {
    format!("{key}#{epoch}.{attempt}.{member}")
}

/// Request key within an attempt id.
#[must_use]
pub fn attempt_key(attempt: &str) -> &str {
    attempt.rsplit_once('#').map_or(attempt, |(key, _)| key)
}
