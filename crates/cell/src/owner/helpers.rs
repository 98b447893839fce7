//! Hands advice calls to helpers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use job::FreeHelpers;
use job::Mechanism;
use job::Ticket;
use tokio::sync::oneshot;

use super::Pool;
use crate::AdviceQuery;
use crate::AdviceResult;
use crate::HelperPoll;
use crate::POLL_WAIT;
use crate::metrics::count;

/// Part of the helpers that is kept for quick calls: slow ones take most of a
/// second, and a quick one behind them misses its objective. At 110 quick calls
/// a second of 15 ms, two of 32 helpers were too few.
const QUICK_PART: usize = 4;

/// Fewest helpers that are kept for quick calls, where there are as many.
const QUICK_HELPERS: usize = 2;

/// With more than one in so many helpers idle, a gang may have several calls.
const IDLE_PART: usize = 2;

/// Longest time of giving out calls in one round: for each, the workers are looked at.
/// With 300 helpers idle after a take-over of 3,000 workers, one round took longer than
/// an ownership lasts without renewal; with 4 ms, too few calls were made.
const ASK_TIME: Duration = Duration::from_millis(20);

/// A call that takes longer than this is slow.
const SLOW: Duration = Duration::from_millis(60);

/// A helper that was not heard of for this long is gone.
const FORGET: Duration = Duration::from_secs(4);

/// Time that an answer may have been on its way, taken off its tickets.
const TRANSIT: Duration = Duration::from_millis(20);

/// Time for which a ticket counts when neither the service nor the queue says.
const DEFAULT_VALID: Duration = Duration::from_secs(1);

/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(50);

struct Helper {
    seen: Duration,
    slow: bool,
}

struct Idle {
    node: String,
    reply: oneshot::Sender<Option<AdviceQuery>>,
    since: Duration,
}

/// Helpers by host, and those that wait for work.
#[derive(Default)]
pub(crate) struct Helpers {
    known: HashMap<String, Helper>,
    idle: VecDeque<Idle>,
}

impl Helpers {
    fn free(&self) -> FreeHelpers {
        let slow = self.known.values().filter(|helper| helper.slow).count();
        let quick = (self.known.len() / QUICK_PART).max(QUICK_HELPERS);
        let most = self.known.len().saturating_sub(quick).max(1);
        if slow >= most {
            FreeHelpers::Few
        } else if self.idle.len() * IDLE_PART > self.known.len() {
            FreeHelpers::Most
        } else {
            FreeHelpers::Some
        }
    }
}

impl Pool {
    pub(super) fn take_help(
        &mut self,
        request: HelperPoll,
        reply: oneshot::Sender<Option<AdviceQuery>>,
    ) {
        let now = self.context.now();
        let helper = Helper {
            seen: now,
            slow: false,
        };
        self.helpers.known.insert(request.node.clone(), helper);
        if let Some(result) = request.result {
            self.take_advice(result, now);
        }
        self.helpers.idle.push_back(Idle {
            node: request.node,
            reply,
            since: now,
        });
    }

    fn take_advice(&mut self, result: AdviceResult, now: Duration) {
        let step = result.step;
        let Some(good) = result.good else {
            count(&self.context.metrics.advice, "failed");
            self.planner
                .advice_failed(step, &result.workers, FAILED_PAUSE);
            return;
        };
        count(&self.context.metrics.advice, "answered");
        let valid = result.valid.unwrap_or(DEFAULT_VALID);
        let until = (now + valid).saturating_sub(result.age + TRANSIT);
        log::info!(
            code = 320, step:% = step, asked = result.workers.len(), good = good.len(),
            valid = valid.as_millis(); "advice"
        );
        let tickets = good.into_iter();
        let tickets: Vec<Ticket> = tickets
            .map(|(worker, text)| Ticket { worker, text })
            .collect();
        self.planner
            .take_advice(step, &result.workers, &tickets, until);
    }

    /// Gives calls to helpers that wait, and sends those away that have waited
    /// long enough.
    pub(super) fn give_help(&mut self, now: Duration) {
        self.helpers
            .known
            .retain(|_, helper| now.saturating_sub(helper.seen) < FORGET);
        let end = self.context.now() + ASK_TIME;
        while self.context.now() < end
            && let Some(idle) = self.helpers.idle.front()
        {
            if idle.reply.is_closed() {
                self.helpers.idle.pop_front();
                continue;
            }
            let quick = self.context.settings.has(Mechanism::QuickHelpers);
            let free = match self.helpers.free() {
                FreeHelpers::Few if !quick => FreeHelpers::Some,
                free => free,
            };
            let Some(ask) = self.planner.next_ask(free) else {
                break;
            };
            let Some(idle) = self.helpers.idle.pop_front() else {
                break;
            };
            if let Some(helper) = self.helpers.known.get_mut(&idle.node) {
                helper.slow = ask.cost > SLOW;
            }
            let step = ask.step;
            let workers = ask.workers.clone();
            let order = AdviceQuery {
                step,
                workers: ask.workers,
                cost: ask.cost,
            };
            if idle.reply.send(Some(order)).is_err() {
                self.planner.advice_failed(step, &workers, Duration::ZERO);
            }
        }
        let waited = |idle: &Idle| now.saturating_sub(idle.since) >= POLL_WAIT;
        while self.helpers.idle.front().is_some_and(waited) {
            if let Some(idle) = self.helpers.idle.pop_front() {
                // A helper that has left needs no answer.
                let _ = idle.reply.send(None);
            }
        }
    }
}
