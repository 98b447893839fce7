//! Advice calls: selects the step for the next call, and processes the answers. An answer says
//! which of some workers may run a step. Calls are rationed, since the advice service is a
//! bottleneck.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Mechanism;
use crate::StepKey;
use crate::Ticket;
use crate::WorkerId;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::order::rank::Rank;
use crate::planner::placement::advice_candidates::AdviceQuery;
use crate::planner::state::job_state::AdviceCall;

/// Fixed part of a call's duration above which the call counts as slow. Slow calls must not
/// delay quick ones, which are made for jobs whose callers wait for the result.
const QUICK_CALL: Duration = Duration::from_millis(60);

/// Share of workers that may run a step, assumed for a queue until its first answer arrives.
pub(crate) const DEFAULT_SHARE: f64 = 0.4;

/// Weight of the newest answer in the learnt share.
const SHARE_GAIN: f64 = 0.1;

/// A call without an answer counts as lost after twice its expected duration and this time.
const CALL_GRACE: Duration = Duration::from_millis(1500);

/// Maximum number of concurrent calls for one gang. The service answers one call at a time
/// for each calling host. With one call at a time, each about 100 of 540 workers and taking 2 s,
/// a wide gang waited 8 s until it had enough workers.
const MAX_CALLS: usize = 6;

/// Time for which no call is made for a step after a scan that found no worker to ask about.
/// Without it, all workers would be scanned for each waiting step in each planning pass, every
/// 4 ms; the shortest call takes 12 ms.
const NO_CANDIDATE_PAUSE: Duration = Duration::from_millis(25);

/// How many of the helpers (processes that make advice calls for the owner) are free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeHelpers {
    /// Few helpers are free: they are reserved for quick calls.
    Few,
    /// Some helpers are free: each step may have one call at a time.
    Some,
    /// Most helpers are free: a gang may have several calls at a time. When gangs could have them
    /// at any time, their calls took four fifths of the advice service's time in a fully loaded
    /// pool, which delayed single tasks: the results of these that callers got in time made up 0.55
    /// instead of 0.97 of the value of all results of single tasks to their callers.
    Most,
}

/// A call to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step that needs workers.
    pub step: StepKey,
    /// Workers to ask about.
    pub workers: Vec<WorkerId>,
    /// Expected duration of the call.
    pub cost: Duration,
}

/// Steps that may need a call, the most urgent first. They are ranked once for all calls
/// made at the same time: with hundreds of waiting steps, ranking them for each call took
/// most of the owner's time.
#[derive(Debug, Default)]
pub(crate) struct AdviceQueue {
    /// When the steps were ranked; `None` before the first time.
    ranked_at: Option<Duration>,
    /// Ranked steps that were not examined yet.
    waiting: VecDeque<(Rank, StepKey)>,
    /// Processors needed by the gangs examined so far, in thousandths of a core.
    needed_cpu: u64,
}

impl Planner {
    /// Ranks the steps with waiting tasks.
    fn rank_steps(&mut self) {
        let open = self.pending_steps.iter();
        let mut ranked: Vec<(Rank, StepKey)> = open
            .filter_map(|&key| Some((self.rank(key)?, key)))
            .collect();
        // Within a priority, steps of single tasks that have had an answer go last, since
        // some workers may run them. Otherwise a few steps with many tasks made call after call,
        // and new steps got their first answer after 15 s.
        ranked.sort_by_cached_key(|&(rank, key)| {
            let repeated = self.has_answer(key);
            (rank.band, rank.stage, rank.priority, repeated, rank, key)
        });
        self.advice_queue = AdviceQueue {
            ranked_at: Some(self.now),
            waiting: ranked.into(),
            needed_cpu: 0,
        };
    }

    /// Returns the call for the most urgent step that needs one, of those that `free` allows.
    pub fn next_advice_request(&mut self, free: FreeHelpers) -> Option<AdviceRequest> {
        if self.advice_queue.ranked_at != Some(self.now) {
            self.rank_steps();
        }
        while let Some((rank, key)) = self.advice_queue.waiting.pop_front() {
            if !self.limit_admits(key) || !self.may_start_next(key) {
                continue;
            }
            let Some(request) = self.build_request(rank, key, free) else {
                continue;
            };
            let wait = if request.workers.is_empty() {
                NO_CANDIDATE_PAUSE
            } else {
                request.cost * 2 + CALL_GRACE
            };
            let now = self.now;
            let until = now + wait;
            let incarnations = request
                .workers
                .iter()
                .map(|id| self.worker_key(id))
                .collect();
            let job = self.jobs.get_mut(&key.job)?;
            let (_, step) = job.step_mut(key)?;
            step.advised.calls.retain(|call| now < call.timeout_at);
            if request.workers.is_empty() {
                step.advised.not_before = until;
                continue;
            }
            step.advised.calls.push(AdviceCall {
                workers: request.workers.clone(),
                incarnations,
                timeout_at: until,
            });
            return Some(request);
        }
        None
    }

    /// Returns whether a gang could start next: its need and that of the gangs before it fit into
    /// the processors available to gangs. Single tasks are not limited. Tickets are valid for
    /// 2.5 s; without this limit, calls were repeated under a backlog for gangs that could not
    /// start soon: 559 of 1,430 s of the service's time led to no start, and single tasks got no
    /// answers.
    fn may_start_next(&mut self, key: StepKey) -> bool {
        let by_resources = self.policy.switches.enabled(Mechanism::AdviceByCapacity);
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        let Some((spec, step)) = step.filter(|(spec, _)| spec.gang && by_resources) else {
            return true;
        };
        let waiting = u64::try_from(step.waiting()).unwrap_or(u64::MAX);
        let need = spec.need.cpu.saturating_mul(waiting);
        let needed = &mut self.advice_queue.needed_cpu;
        let first = *needed == 0;
        *needed = needed.saturating_add(need);
        first || *needed <= self.gang_cpu
    }

    /// Returns whether an advice call for a step of single tasks has been answered already.
    fn has_answer(&self, key: StepKey) -> bool {
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        step.is_some_and(|(spec, step)| !spec.gang && !step.advised.asked.is_empty())
    }

    /// Returns the call to make for a step, or `None` if it needs or may have none. The call's
    /// list of workers is empty if there is no worker to ask about.
    fn build_request(&self, rank: Rank, key: StepKey, free: FreeHelpers) -> Option<AdviceRequest> {
        let job = self.jobs.get(&key.job)?;
        let advice = job.spec.queue.advice.as_ref()?;
        if free == FreeHelpers::Few && advice.fixed > QUICK_CALL {
            return None;
        }
        let (spec, step) = job.step(key)?;
        let advised = &step.advised;
        let calls = advised.calls.iter();
        let calls = calls.filter(|call| self.now < call.timeout_at).count();
        let parallel = spec.gang
            && free == FreeHelpers::Most
            && self.policy.switches.enabled(Mechanism::ParallelAdvice);
        let limit = if parallel { MAX_CALLS } else { 1 };
        if calls >= limit || self.now < advised.not_before || step.waiting() == 0 {
            return None;
        }
        let workers = self.workers_to_ask(AdviceQuery {
            rank,
            key,
            job,
            spec,
            step,
            parallel,
            need: self.speed_need(key),
        });
        let asked_count = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        Some(AdviceRequest {
            step: key,
            cost: advice.fixed + advice.each * asked_count,
            workers,
        })
    }

    /// Updates the learnt share of workers that may run a step with the result of a call.
    fn learn_allowed_share(&mut self, key: StepKey, asked: usize, allowed: usize) {
        if !self.policy.switches.enabled(Mechanism::LearntShare) {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        #[allow(clippy::cast_precision_loss)]
        let found = allowed as f64 / asked.max(1) as f64;
        let queue = job.spec.queue.name.clone();
        let share = self.allowed_shares.entry(queue).or_insert(DEFAULT_SHARE);
        *share += (found - *share) * SHARE_GAIN;
    }

    /// Handles the answer to a call about the workers `asked`; its tickets expire at `until`.
    pub fn handle_advice(
        &mut self,
        key: StepKey,
        asked: &[WorkerId],
        tickets: &[Ticket],
        until: Duration,
    ) {
        let asked_ids = asked;
        let incarnations = self.asked_incarnations(key, asked);
        let incarnation = |id: &WorkerId| incarnations.get(id).copied();
        let asked: Vec<WorkerKey> = asked.iter().filter_map(incarnation).collect();
        let tickets: Vec<(WorkerKey, &Ticket)> = tickets
            .iter()
            .filter_map(|ticket| Some((incarnation(&ticket.worker)?, ticket)))
            .collect();
        let job = self.jobs.get_mut(&key.job);
        let Some((_, step)) = job.and_then(|job| job.step_mut(key)) else {
            return;
        };
        let advised = &mut step.advised;
        advised.calls.retain(|call| call.workers != asked_ids);
        let new_workers = asked
            .iter()
            .filter(|worker| !advised.asked.contains(*worker));
        let new = new_workers.count();
        let found = tickets
            .iter()
            .filter(|(worker, _)| !advised.asked.contains(worker))
            .count();
        advised.asked.extend(asked);
        for (worker, ticket) in tickets {
            advised.permits.insert(worker, (ticket.text.clone(), until));
        }
        if new > 0 {
            self.learn_allowed_share(key, new, found);
        }
    }

    /// Returns the incarnation of each worker that a call asked about, since a ticket is valid for
    /// one incarnation only. Workers that have been removed or have a new incarnation are left out.
    fn asked_incarnations<'a>(
        &self,
        key: StepKey,
        asked: &'a [WorkerId],
    ) -> HashMap<&'a WorkerId, WorkerKey> {
        let job = self.jobs.get(&key.job);
        let calls = job.and_then(|job| job.step(key));
        let calls = calls.map_or(&[][..], |(_, step)| &step.advised.calls);
        let call = calls.iter().find(|call| call.workers == asked);
        let at_call = |nth: usize| call.map(|call| call.incarnations.get(nth).copied().flatten());
        let incarnations = asked.iter().enumerate().filter_map(|(nth, id)| {
            let current = self.worker_key(id)?;
            // A call that counts as lost has been removed, but its answer may still arrive.
            let at_call = at_call(nth).unwrap_or(Some(current));
            (at_call == Some(current)).then_some((id, current))
        });
        incarnations.collect()
    }

    /// Handles a failed call: the next call for the step may be made after `pause`.
    pub fn advice_failed(&mut self, key: StepKey, asked: &[WorkerId], pause: Duration) {
        let after = self.now + pause;
        let job = self.jobs.get_mut(&key.job);
        if let Some((_, step)) = job.and_then(|job| job.step_mut(key)) {
            step.advised.calls.retain(|call| call.workers != asked);
            step.advised.not_before = after;
        }
    }

    /// Expires a step's ticket that a worker has refused.
    pub(crate) fn revoke_ticket(&mut self, key: StepKey, worker: WorkerKey) {
        let job = self.jobs.get_mut(&key.job);
        if let Some((_, step)) = job.and_then(|job| job.step_mut(key))
            && let Some((_, until)) = step.advised.permits.get_mut(&worker)
        {
            *until = Duration::ZERO;
        }
    }
}
