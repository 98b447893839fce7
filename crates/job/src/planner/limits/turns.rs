//! Lets steps that have waited long go before all others, one at a time.
//!
//! Load that this answers: more work than the pool can do for minutes, in which steps of high bands or
//! low priority would wait for ever. Of all starts, one in [`STARTS_PER_TURN`] is for such steps, so they
//! delay work that is still of value by a tenth at most. Organisations have turns in rotation, and
//! their steps in order of acceptance: a step has its turn once the older ones of its own organisation
//! have had theirs, however many steps the others have waiting.

use std::collections::HashMap;
use std::time::Duration;

use crate::StepKey;
use crate::planner::OrganisationKey;

/// Age from which a step may get a turn. Results have lost their value for callers long before, so turns
/// are for callers who were told that their job is accepted.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(30);

/// Number of starts of which one is for a step that has waited long.
const STARTS_PER_TURN: i64 = 10;

/// Longest time of a turn, in which a gang may collect what it needs. Then the next step has its turn,
/// so one that no worker can run does not keep it.
const MAX_TURN: Duration = Duration::from_secs(5);

/// A step that has waited for [`MAX_WAIT`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgedStep {
    pub(crate) organisation: Option<OrganisationKey>,
    pub(crate) accepted_at: Duration,
    pub(crate) key: StepKey,
}

/// Last turn of an organisation.
#[derive(Clone, Copy, Debug)]
struct LastTurn {
    /// Number of the turn, among those of all organisations.
    number: u64,
    /// Acceptance and key of the step that had it. The next one is the first after it.
    step: (Duration, StepKey),
}

/// Turns of the steps that have waited long.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    holder: Option<StepKey>,
    /// When the turn began.
    began: Duration,
    /// Number of turns so far.
    count: u64,
    /// Starts of other steps, minus [`STARTS_PER_TURN`] for each start within a turn.
    credit: i64,
    last: HashMap<Option<OrganisationKey>, LastTurn>,
}

impl Turns {
    /// Returns the step that has the turn.
    pub(crate) fn holder(&self) -> Option<StepKey> {
        self.holder
    }

    /// Counts the start of a task.
    pub(crate) fn count_start(&mut self, key: StepKey) {
        self.credit = if self.holder == Some(key) {
            self.credit - STARTS_PER_TURN + 1
        } else {
            (self.credit + 1).min(STARTS_PER_TURN)
        };
    }

    /// Ends the turn if its holder has started or the time is over; returns whether another one may begin.
    pub(crate) fn end(&mut self, now: Duration, waits: impl Fn(StepKey) -> bool) -> bool {
        let over = self.began + MAX_TURN <= now;
        self.holder = self.holder.filter(|holder| waits(*holder) && !over);
        self.holder.is_none() && self.credit >= 0
    }

    /// Begins the next turn.
    pub(crate) fn begin(&mut self, aged: impl Iterator<Item = AgedStep>, now: Duration) {
        let next = aged.min_by_key(|step| {
            let last = self.last.get(&step.organisation);
            let own = (step.accepted_at, step.key);
            let had_turn = last.is_some_and(|last| own <= last.step);
            (last.map(|last| last.number), had_turn, own)
        });
        if let Some(step) = next {
            self.count += 1;
            self.holder = Some(step.key);
            self.began = now;
            let last = LastTurn {
                number: self.count,
                step: (step.accepted_at, step.key),
            };
            self.last.insert(step.organisation, last);
        }
    }
}
