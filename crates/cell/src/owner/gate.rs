//! Fencing tokens of the commands to a worker, and when its ends may be acknowledged.
//!
//! An acknowledgement names ends by numbers that start again with each incarnation of a worker.
//! If it reaches another incarnation than the one it was meant for, that incarnation drops ends
//! which the owner has not received. Such ends belong to starts that reached the incarnation
//! before the owner knew of it. Therefore:
//!
//! - an acknowledgement is sent only if no start was in progress when the last answered call
//!   was sent, and none has been sent since: the reply to that call shows that all starts were
//!   carried out by the incarnation that it names, or by earlier ones;
//! - starts that are sent after an acknowledgement carry a higher token: an incarnation that
//!   has carried one of them out refuses the acknowledgement.
//!
//! A start without a reply may be carried out seconds later, when its task may already run
//! elsewhere. So commands that are sent after it carry a higher token too: an incarnation that
//! has obeyed one of them refuses the start.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use job::Epoch;
use job::Token;
use job::WorkerId;

#[derive(Debug, Default)]
struct State {
    epoch: Epoch,
    /// How often the token was raised in this epoch.
    raised: u64,
    sent: u64,
    /// Starts whose reply is awaited, or that may still be carried out.
    open: u64,
}

impl State {
    fn token(&self) -> Token {
        job::token(self.epoch, self.raised)
    }
}

/// Fencing token and starts of one worker, across its incarnations.
#[derive(Debug, Default)]
pub(super) struct Gate {
    state: Mutex<State>,
}

/// Number of starts that had been sent when none was in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Quiet(u64);

impl Gate {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The token that a command carries now.
    pub(super) fn token(&self) -> Token {
        self.lock().token()
    }

    /// Whether this owner has sent commands with a higher token since: then a refusal of
    /// `token` does not mean that there is a newer owner.
    pub(super) fn overtaken(&self, token: Token) -> bool {
        token < self.token()
    }

    /// Records that a start is being sent, and returns its token.
    pub(super) fn begin_start(&self) -> Token {
        let mut state = self.lock();
        state.sent += 1;
        state.open += 1;
        state.token()
    }

    /// Raises the token for all later commands, after a start got no reply in time.
    pub(super) fn raise(&self) {
        self.lock().raised += 1;
    }

    /// Records that a start was answered, or cannot be carried out any more.
    pub(super) fn end_start(&self) {
        let mut state = self.lock();
        state.open = state.open.saturating_sub(1);
    }

    /// The number of starts sent so far, if none is in progress.
    pub(super) fn quiet(&self) -> Option<Quiet> {
        let state = self.lock();
        (state.open == 0).then_some(Quiet(state.sent))
    }

    /// The token for an acknowledgement, if no start has been sent since `mark`. Later starts
    /// carry a higher one.
    pub(super) fn acknowledge(&self, quiet: Quiet) -> Option<Token> {
        let mut state = self.lock();
        let still = state.open == 0 && state.sent == quiet.0;
        still.then(|| {
            let token = state.token();
            state.raised += 1;
            token
        })
    }
}

/// Fencing state of all workers of an owner.
#[derive(Debug, Default)]
pub(super) struct Gates(HashMap<WorkerId, Arc<Gate>>);

impl Gates {
    /// Fencing state for a new link to a worker; its commands carry a higher token than all
    /// earlier ones.
    pub(super) fn open(&mut self, epoch: Epoch, id: &str) -> Arc<Gate> {
        let gate = self.0.entry(id.to_owned()).or_default().clone();
        let mut state = gate.lock();
        state.raised = if state.epoch == epoch {
            state.raised + 1
        } else {
            0
        };
        state.epoch = epoch;
        drop(state);
        gate
    }
}
