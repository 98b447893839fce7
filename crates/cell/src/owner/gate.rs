//! Which token orders to a worker carry, and when its ends may be acknowledged.
//!
//! An acknowledgement names ends by numbers that start anew with each life of a worker. One
//! that reaches a life other than the one it was meant for forgets ends that nobody has
//! heard of. Such ends are of starts that reached that life before it was known. So:
//!
//! - an acknowledgement is sent only if no start was under way when the worker was last
//!   asked, nor since: its answer shows that all starts were carried out by the life that
//!   it names, or by earlier ones;
//! - starts that are sent after it carry a higher token: a life that has carried one out
//!   refuses the acknowledgement.
//!
//! A start that got no answer may be carried out seconds later, and its task may run elsewhere
//! by then. So what is sent after it carries a higher token, too: a life that has obeyed that
//! refuses the start.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use job::Epoch;
use job::FencingToken;
use job::WorkerId;

#[derive(Debug, Default)]
struct State {
    epoch: Epoch,
    /// Tokens of the epoch that were used up.
    raised: u64,
    sent: u64,
    /// Starts that are listened for, or may still be carried out.
    open: u64,
}

impl State {
    fn token(&self) -> FencingToken {
        job::fencing_token(self.epoch, self.raised)
    }
}

/// Orders to one worker, over its lives.
#[derive(Debug, Default)]
pub(super) struct Gate {
    state: Mutex<State>,
}

/// Starts that had been sent when the worker was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Quiet(u64);

impl Gate {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What an order carries now.
    pub(super) fn token(&self) -> FencingToken {
        self.lock().token()
    }

    /// Whether an order was sent before a later one of this owner, with a higher token: that
    /// the worker refused it says nothing of a successor.
    pub(super) fn overtaken(&self, token: FencingToken) -> bool {
        token < self.token()
    }

    /// A start is being sent, with this token.
    pub(super) fn begin_start(&self) -> FencingToken {
        let mut state = self.lock();
        state.sent += 1;
        state.open += 1;
        state.token()
    }

    /// A start got no answer in time: what is sent from now on carries a higher token.
    pub(super) fn raise(&self) {
        self.lock().raised += 1;
    }

    /// A start was answered, or will not be carried out any more.
    pub(super) fn end_start(&self) {
        let mut state = self.lock();
        state.open = state.open.saturating_sub(1);
    }

    /// That no start is under way, if so.
    pub(super) fn quiet(&self) -> Option<Quiet> {
        let state = self.lock();
        (state.open == 0).then_some(Quiet(state.sent))
    }

    /// The token for an acknowledgement, if there has been no start since `quiet`. Starts
    /// that come after it carry a higher one.
    pub(super) fn acknowledge(&self, quiet: Quiet) -> Option<FencingToken> {
        let mut state = self.lock();
        let still = state.open == 0 && state.sent == quiet.0;
        still.then(|| {
            let token = state.token();
            state.raised += 1;
            token
        })
    }
}

/// The gates of all workers of an owner.
#[derive(Debug, Default)]
pub(super) struct Gates(HashMap<WorkerId, Arc<Gate>>);

impl Gates {
    /// The gate for a new link to a worker: its orders carry a higher token than all that
    /// were sent before.
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
