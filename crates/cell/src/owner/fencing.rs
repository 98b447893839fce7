//! Fencing tokens of the commands to a worker, and when its ends may be acknowledged.
//!
//! An acknowledgement names ends by numbers that start again with each incarnation of a
//! worker. If it reaches another incarnation than the one it was meant for, that incarnation
//! drops ends which the owner has not received. Such ends belong to starts that reached the
//! incarnation before the owner received its first report. Therefore:
//!
//! - an acknowledgement is sent only if no start was in progress when the last answered call
//!   was sent, and none has been sent since: the reply to that call shows that all starts were
//!   carried out by the incarnation that it names, or by earlier ones;
//! - starts that are sent after an acknowledgement carry a higher token: an incarnation that
//!   has carried one of them out refuses the acknowledgement.
//!
//! A start without a reply may be carried out seconds later, when its task may already run
//! elsewhere. So commands that are sent after it carry a higher token too: an incarnation that
//! has carried out one of them refuses the start.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use job::Epoch;
use job::FencingToken;
use job::WorkerId;

/// Fencing token and numbers of starts of one worker.
#[derive(Debug, Default)]
struct FencingState {
    epoch: Epoch,
    /// Number of times that the token was raised in this epoch.
    raises: u64,
    /// Number of starts that were sent.
    starts_sent: u64,
    /// Number of starts in progress: their reply is awaited, or they may still be carried out.
    starts_open: u64,
}

impl FencingState {
    fn token(&self) -> FencingToken {
        job::fencing_token(self.epoch, self.raises)
    }
}

/// Fencing token and starts of one worker, across its incarnations.
#[derive(Debug, Default)]
pub(super) struct WorkerFencing {
    state: Mutex<FencingState>,
}

/// Mark of a moment in which no start to the worker was in progress: the number of starts that had
/// been sent to it until then. As long as this number is the same, no start has been sent since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdleMark(u64);

impl WorkerFencing {
    fn lock(&self) -> MutexGuard<'_, FencingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The token for a command that is sent now.
    pub(super) fn token(&self) -> FencingToken {
        self.lock().token()
    }

    /// Whether this owner has sent commands with a higher token since: then a refusal of
    /// `token` does not mean that there is a newer owner.
    pub(super) fn superseded(&self, token: FencingToken) -> bool {
        token < self.token()
    }

    /// Records that a start is being sent, and returns its token.
    pub(super) fn begin_start(&self) -> FencingToken {
        let mut state = self.lock();
        state.starts_sent += 1;
        state.starts_open += 1;
        state.token()
    }

    /// Raises the token for all later commands, after a start got no reply in time.
    pub(super) fn raise_token(&self) {
        self.lock().raises += 1;
    }

    /// Records that a start was answered, or cannot be carried out any more.
    pub(super) fn end_start(&self) {
        let mut state = self.lock();
        state.starts_open = state.starts_open.saturating_sub(1);
    }

    /// Mark of the current moment; `None` if a start is in progress.
    pub(super) fn idle_mark(&self) -> Option<IdleMark> {
        let state = self.lock();
        (state.starts_open == 0).then_some(IdleMark(state.starts_sent))
    }

    /// The token for an acknowledgement; `None` if a start has been sent since `mark`. Later
    /// commands carry a higher token.
    pub(super) fn ack_token(&self, mark: IdleMark) -> Option<FencingToken> {
        let mut state = self.lock();
        let unchanged = state.starts_open == 0 && state.starts_sent == mark.0;
        unchanged.then(|| {
            let token = state.token();
            state.raises += 1;
            token
        })
    }
}

/// Fencing state of all workers to which an owner has opened a link, by worker id. It is kept when
/// a link is closed, since its commands may still arrive.
#[derive(Debug, Default)]
pub(super) struct FencingTable(HashMap<WorkerId, Arc<WorkerFencing>>);

impl FencingTable {
    /// Fencing state for a new link to a worker; its commands carry a higher token than all
    /// earlier ones.
    pub(super) fn open(&mut self, epoch: Epoch, id: &str) -> Arc<WorkerFencing> {
        let fencing = self.0.entry(id.to_owned()).or_default().clone();
        let mut state = fencing.lock();
        state.raises = if state.epoch == epoch {
            state.raises + 1
        } else {
            0
        };
        state.epoch = epoch;
        drop(state);
        fencing
    }
}
