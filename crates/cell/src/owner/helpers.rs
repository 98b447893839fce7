//! Assigns advice calls to helpers: processes that make these calls for the owner.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use job::Forecast;
use job::FreeHelpers;
use job::Mechanism;
use job::Ticket;
use tokio::sync::oneshot;

use super::Pool;
use crate::AdviceResult;
use crate::DelegatedCall;
use crate::HelperPoll;
use crate::POLL_WAIT;
use crate::PollReply;
use crate::metrics::count;

/// One in this many helpers is reserved for quick calls: slow calls take most of a second, and a
/// quick one that waits for them makes its job miss its objective. At 110 quick calls of 15 ms per
/// second, two of 32 helpers are too few.
const QUICK_DIVISOR: usize = 4;

/// Fewest helpers that are reserved for quick calls, if there are twice as many.
const MIN_QUICK: usize = 2;

/// A gang may have several calls at a time if more than one in this many helpers is idle.
const IDLE_DIVISOR: usize = 2;

/// Longest time spent on assigning calls in one planning cycle: for each call, all workers are
/// examined. Without a limit, one cycle with 300 idle helpers after a take-over of 3,000 workers
/// takes longer than the expiry of the ownership; with 4 ms, too few calls are made.
const ASSIGN_TIME: Duration = Duration::from_millis(20);

/// A call that takes longer than this is slow.
const SLOW_CALL: Duration = Duration::from_millis(60);

/// Time without a poll after which a helper is removed.
const HELPER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time that a result may have been in transit, subtracted from the validity of its tickets.
const MAX_TRANSIT: Duration = Duration::from_millis(20);

/// Validity of a ticket if neither the service nor the queue states one.
const DEFAULT_VALIDITY: Duration = Duration::from_secs(1);

/// Time between two forecasts for a host, which uses each for up to two seconds. Busy helpers poll
/// several times a second.
const FORECAST_INTERVAL: Duration = Duration::from_millis(400);

/// Pause after a failed call before its step may have another one.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A helper that has polled recently.
struct Helper {
    last_poll: Duration,
    /// The helper is making a slow call.
    slow: bool,
    /// The helper's version reads forecasts, and marks of rejected jobs.
    current: bool,
    /// When the helper was last sent a forecast; `None` if it was sent none.
    forecast_at: Option<Duration>,
}

/// A helper that waits for the reply to its poll.
struct IdleHelper {
    node: String,
    reply: oneshot::Sender<PollReply>,
    /// When the poll arrived.
    since: Duration,
}

impl IdleHelper {
    /// Replies to the poll; returns whether the helper still waits for it.
    fn answer(
        self,
        now: Duration,
        call: Option<DelegatedCall>,
        forecast: Option<Forecast>,
    ) -> bool {
        let reply = PollReply {
            call,
            forecast,
            held: now.saturating_sub(self.since),
        };
        self.reply.send(reply).is_ok()
    }
}

/// All helpers by host, and the polls of idle helpers.
#[derive(Default)]
pub(crate) struct Helpers {
    by_node: HashMap<String, Helper>,
    idle: VecDeque<IdleHelper>,
}

/// Number of helpers that are reserved for quick calls. If few hosts are left, the other calls get at
/// least half of them.
#[must_use]
pub fn quick_helpers(helpers: usize) -> usize {
    let reserved = (helpers / QUICK_DIVISOR).max(MIN_QUICK);
    reserved.min(helpers / 2)
}

impl Helpers {
    /// How many helpers are free: few if all but those reserved for quick calls are making slow
    /// ones.
    fn available(&self) -> FreeHelpers {
        let slow = self.by_node.values().filter(|helper| helper.slow).count();
        let helpers = self.by_node.len();
        let max_slow = helpers.saturating_sub(quick_helpers(helpers)).max(1);
        if slow >= max_slow {
            FreeHelpers::Few
        } else if self.idle.len() * IDLE_DIVISOR > self.by_node.len() {
            FreeHelpers::Most
        } else {
            FreeHelpers::Some
        }
    }
}

impl Pool {
    /// Handles a helper's poll: processes the result that it delivers, and queues the helper for
    /// the next call. The reply is sent by [`Pool::assign_calls`].
    pub(super) fn handle_poll(&mut self, request: HelperPoll, reply: oneshot::Sender<PollReply>) {
        let now = self.context.now();
        if let Some(age) = request.store_age
            && request.node != self.context.settings.node
        {
            self.store_contact.record(now, age);
        }
        let known = self.helpers.by_node.get(&request.node);
        let helper = Helper {
            last_poll: now,
            slow: false,
            current: request.forecast,
            forecast_at: known.and_then(|helper| helper.forecast_at),
        };
        self.helpers.by_node.insert(request.node.clone(), helper);
        if let Some(result) = request.result {
            self.handle_advice(result, now);
        }
        self.helpers.idle.push_back(IdleHelper {
            node: request.node,
            reply,
            since: now,
        });
    }

    /// Passes the result of an advice call to the planner. The validity of the tickets counts from
    /// the reply of the advice service, so the result's age is subtracted.
    fn handle_advice(&mut self, result: AdviceResult, now: Duration) {
        let step = result.step;
        let Some(good) = result.good else {
            count(&self.context.metrics.advice, "failed");
            self.planner
                .advice_failed(step, &result.workers, RETRY_PAUSE);
            return;
        };
        count(&self.context.metrics.advice, "answered");
        let valid = result.valid.unwrap_or(DEFAULT_VALIDITY);
        let until = (now + valid).saturating_sub(result.age + MAX_TRANSIT);
        // `good` is the number of workers with a ticket, which permits starts of the step's tasks on
        // that worker; `valid` is the validity of the tickets in milliseconds.
        log::info!(
            code = 320, step:% = step, asked = result.workers.len(), good = good.len(),
            valid = valid.as_millis();
            "advice received for a step"
        );
        let tickets = good.into_iter();
        let tickets: Vec<Ticket> = tickets
            .map(|(worker, text)| Ticket { worker, text })
            .collect();
        self.planner
            .handle_advice(step, &result.workers, &tickets, until);
    }

    /// Assigns calls to idle helpers, and sends an empty reply to helpers that have waited for
    /// [`POLL_WAIT`].
    pub(super) fn assign_calls(&mut self, now: Duration) {
        self.helpers
            .by_node
            .retain(|_, helper| now.saturating_sub(helper.last_poll) < HELPER_TIMEOUT);
        let end = self.context.now() + ASSIGN_TIME;
        while self.context.now() < end
            && let Some(idle) = self.helpers.idle.front()
        {
            if idle.reply.is_closed() {
                self.helpers.idle.pop_front();
                continue;
            }
            let quick = self.context.settings.has(Mechanism::QuickHelpers);
            let available = match self.helpers.available() {
                FreeHelpers::Few if !quick => FreeHelpers::Some,
                available => available,
            };
            let Some(next) = self.planner.next_advice_request(available) else {
                break;
            };
            let Some(idle) = self.helpers.idle.pop_front() else {
                break;
            };
            if let Some(helper) = self.helpers.by_node.get_mut(&idle.node) {
                helper.slow = next.cost > SLOW_CALL;
            }
            let step = next.step;
            let workers = next.workers.clone();
            let call = DelegatedCall {
                step,
                workers: next.workers,
                cost: next.cost,
            };
            let forecast = self.forecast_for(&idle.node);
            if !idle.answer(now, Some(call), forecast) {
                self.planner.advice_failed(step, &workers, Duration::ZERO);
            }
        }
        let waited = |idle: &IdleHelper| now.saturating_sub(idle.since) >= POLL_WAIT;
        while self.helpers.idle.front().is_some_and(waited) {
            if let Some(idle) = self.helpers.idle.pop_front() {
                let forecast = self.forecast_for(&idle.node);
                // The helper may have closed its request; then it needs no reply.
                let _ = idle.answer(now, None, forecast);
            }
        }
    }

    /// Returns the forecast for a host that has none or an older one. No host gets any while one of an
    /// earlier version takes part: it would take the mark of a rejected job for the job.
    fn forecast_for(&mut self, node: &str) -> Option<Forecast> {
        if !self.context.settings.has(Mechanism::Admission) || !self.owned() {
            return None;
        }
        if !self.helpers.by_node.values().all(|helper| helper.current) {
            return None;
        }
        let now = self.context.now();
        let helper = self.helpers.by_node.get_mut(node)?;
        if helper
            .forecast_at
            .is_some_and(|at| now < at + FORECAST_INTERVAL)
        {
            return None;
        }
        let forecast = self.planner.forecast(self.epoch)?;
        helper.forecast_at = Some(now);
        Some(forecast)
    }
}
