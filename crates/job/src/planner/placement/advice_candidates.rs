//! Selects the workers that an advice call asks about.

use std::cmp::Reverse;
use std::time::Duration;

use crate::Advice;
use crate::JobId;
use crate::StepKey;
use crate::StepSpec;
use crate::WorkerId;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::order::rank::Rank;
use crate::planner::placement::advice::DEFAULT_SHARE;
use crate::planner::placement::place::may_run;
use crate::planner::placement::speed_order::SpeedNeed;
use crate::planner::state::job_state::JobState;
use crate::planner::state::job_state::StepState;
use crate::planner::state::roster::WorkerState;

/// Maximum number of workers that the advice service accepts in one call.
const MAX_CALL_WORKERS: usize = 100;

/// Minimum number of workers in a call for single tasks, if that many have free resources.
const MIN_CALL_WORKERS: usize = 8;

/// Limit on the size of a call for single tasks: the time for its workers is at most this
/// multiple of the call's fixed time.
const COST_RATIO: f64 = 1.0;

/// Maximum number of workers scanned for a call for single tasks, ten times as many as one call
/// asks about. With 3,000 workers and 4,000 waiting tasks, an owner with half a core that
/// scanned all of them could make only about 100 calls a second.
const MAX_SCANNED: usize = 1000;

/// Interval after which the scan of a large pool moves on to its next part, since all workers
/// of a part may be full.
const SCAN_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of slots counted for one worker, since other tasks may have taken its
/// resources when the answer arrives.
const MAX_SLOTS: u64 = 4;

/// Number of slots to ask for, as a multiple of those needed: other tasks take some of them
/// before the answer arrives.
const SLOT_MARGIN: f64 = 2.5;

/// Smallest share of allowed workers that is assumed.
const MIN_SHARE: f64 = 0.05;

/// Added to the position of a worker without slots: more than any difference in speed.
const FULL_POSITION: i16 = 100;

/// A step that needs workers, with the data for selecting those to ask about.
#[derive(Clone, Copy)]
pub(crate) struct AdviceQuery<'a> {
    pub rank: Rank,
    pub key: StepKey,
    pub job: &'a JobState,
    pub spec: &'a StepSpec,
    pub step: &'a StepState,
    /// Whether several calls for the step may be made at the same time.
    pub parallel: bool,
    /// Speed that the step needs, if workers differ in speed.
    pub need: Option<SpeedNeed>,
}

/// A worker that could run a step.
#[derive(Clone, Copy)]
struct AdviceCandidate<'a> {
    key: WorkerKey,
    worker: &'a WorkerState,
    /// Number of tasks of the step that fit on the worker's available resources.
    slots: u64,
    slow: bool,
    /// Speed class of the worker.
    class: i16,
    /// Position in the step's order of preference by speed; lower is better.
    position: i16,
}

/// Workers with enough capacity for a step, grouped by the answers of the advice service.
#[derive(Default)]
struct ClassifiedWorkers<'a> {
    /// Workers that may run the step.
    allowed: Vec<AdviceCandidate<'a>>,
    /// Workers in calls that have no answer yet.
    in_call: Vec<AdviceCandidate<'a>>,
    /// Workers that no call has asked about.
    unasked: Vec<AdviceCandidate<'a>>,
}

impl ClassifiedWorkers<'_> {
    /// Sets the positions of the workers by the speed that the step needs, if workers differ in
    /// speed. Workers without slots come last.
    fn order_by_speed(&mut self, query: AdviceQuery, share: f64) {
        let Some(mut need) = query.need else {
            return;
        };
        let known = self.allowed.iter().chain(&self.in_call);
        if query.spec.gang {
            let all = known.chain(&self.unasked);
            let classes: Vec<(i16, u64)> = all.map(|one| (one.class, one.slots)).collect();
            let wanted = wanted_slots(query.step.waiting()) / share.max(MIN_SHARE);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wanted = wanted as u64;
            need = need.for_gang(wanted, &classes);
        }
        let workers = self.allowed.iter_mut().chain(&mut self.unasked);
        for worker in workers {
            let full = i16::from(worker.slots == 0) * FULL_POSITION;
            worker.position = need.position(worker.class) + full;
        }
    }
}

/// Returns the number of slots to ask for so that enough are left when the answer arrives.
fn wanted_slots(needed: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let needed = needed as f64;
    needed * SLOT_MARGIN
}

/// Returns the total number of slots of some workers.
fn slots(workers: &[AdviceCandidate]) -> u64 {
    let each = workers.iter().map(|candidate| candidate.slots);
    each.fold(0, u64::saturating_add)
}

impl Planner {
    /// Returns the workers to ask about: those that may run the step, if they have free
    /// resources, otherwise those not asked about yet. If the step waits for trials only, those that
    /// may run it count only if they are idle.
    pub(crate) fn workers_to_ask(&self, query: AdviceQuery) -> Vec<WorkerId> {
        let AdviceQuery {
            job, spec, step, ..
        } = query;
        let Some(advice) = &job.spec.queue.advice else {
            return Vec::new();
        };
        let mut classified = self.classify_workers(query);
        let only_trials = self.only_trials_wait(query);
        let suits = |worker: &WorkerState| !only_trials || worker.runs.is_empty();
        classified
            .allowed
            .retain(|candidate| suits(candidate.worker));
        let share = self.allowed_shares.get(&job.spec.queue.name);
        let share = share.copied().unwrap_or(DEFAULT_SHARE);
        classified.order_by_speed(query, share);
        if !step.advised.calls.is_empty() {
            return self.more_workers_to_ask(query, classified, advice);
        }
        let valid_beyond = self.now + advice.fixed + self.policy.ticket_margin;
        let has_valid = step.advised.permits.iter().any(|(key, (_, until))| {
            *until > valid_beyond && self.workers.get(*key).is_some_and(suits)
        });
        let needed = if spec.gang { step.waiting() as u64 } else { 1 };
        let call_size = max_per_call(query, advice);
        let enough = slots(&classified.allowed) >= needed;
        #[allow(clippy::cast_precision_loss)]
        let expected =
            slots(&classified.allowed) as f64 + slots(&classified.unasked) as f64 * share;
        #[allow(clippy::cast_precision_loss)]
        let unattainable = !step.advised.asked.is_empty() && expected < needed as f64;
        if enough && has_valid || unattainable {
            // Another call would add no workers, or too few. The service's time is scarce, and a
            // call would be made for each waiting gang every 2 s.
            return Vec::new();
        }
        let asked_again = match (spec.gang, has_valid) {
            // Single tasks do not need all tickets of the step at the same time.
            (false, true) => Vec::new(),
            (true, _) if enough => most_slots(classified.allowed, needed),
            _ => classified.allowed,
        };
        if enough {
            return worker_ids(asked_again);
        }
        if query.parallel && asked_again.len() >= call_size {
            // The workers not asked about yet go into a parallel call.
            return worker_ids(asked_again);
        }
        let chosen = if spec.gang || only_trials {
            emptiest_workers(classified.unasked, call_size)
        } else {
            let limit = max_call_size(advice.fixed, advice.each);
            self.fullest_workers(classified.unasked, query, share, limit)
        };
        worker_ids(asked_again.into_iter().chain(chosen))
    }

    /// Returns whether all waiting tasks of a step of single tasks need trials.
    fn only_trials_wait(&self, query: AdviceQuery) -> bool {
        !query.spec.gang
            && self.has_suspects(query.key)
            && self.waiting_trials(query.key).len() == query.step.waiting()
    }

    /// Returns the workers for one more call, in parallel to the unanswered ones for the same step.
    /// These are workers not asked about yet; none once the expected number of slots is sufficient.
    fn more_workers_to_ask(
        &self,
        query: AdviceQuery,
        classified: ClassifiedWorkers,
        advice: &Advice,
    ) -> Vec<WorkerId> {
        let share = self.allowed_shares.get(&query.job.spec.queue.name);
        let share = share.copied().unwrap_or(DEFAULT_SHARE);
        let needed = query.step.waiting();
        #[allow(clippy::cast_precision_loss)]
        let expected =
            slots(&classified.allowed) as f64 + slots(&classified.in_call) as f64 * share;
        #[allow(clippy::cast_precision_loss)]
        let enough = expected >= needed as f64 * SLOT_MARGIN;
        if enough {
            return Vec::new();
        }
        worker_ids(emptiest_workers(
            classified.unasked,
            max_per_call(query, advice),
        ))
    }

    /// Classifies the workers that could run a step. For single tasks in a large pool, only
    /// a part of the workers not asked about is scanned, which depends on the job and the time.
    fn classify_workers(&self, query: AdviceQuery) -> ClassifiedWorkers<'_> {
        let advised = &query.step.advised;
        let mut classified = ClassifiedWorkers::default();
        for &key in advised.permits.keys() {
            classified.allowed.extend(self.advice_candidate(key, query));
        }
        let count = self.workers.len();
        let limit = if query.spec.gang { count } else { MAX_SCANNED };
        let first = if count > limit {
            self.scan_start(query.key.job, count)
        } else {
            0
        };
        let keys = self.workers.keys();
        let rotated = keys.clone().skip(first).chain(keys.take(first));
        for key in rotated.take(limit) {
            if advised.asked.contains(&key) || advised.permits.contains_key(&key) {
                continue;
            }
            let Some(candidate) = self.advice_candidate(key, query) else {
                continue;
            };
            let id = &candidate.worker.info.id;
            let mut calls = advised.calls.iter();
            if calls.any(|call| call.workers.contains(id)) {
                classified.in_call.push(candidate);
            } else {
                classified.unasked.push(candidate);
            }
        }
        classified
    }

    /// Returns the index at which the scan of a large pool begins for a job at this time.
    fn scan_start(&self, job: JobId, count: usize) -> usize {
        let intervals = self.now.as_millis() / SCAN_INTERVAL.as_millis();
        let first = u128::from(job) + intervals * MAX_SCANNED as u128;
        usize::try_from(first % count as u128).unwrap_or(0)
    }

    /// Returns a worker as a candidate for a step, or `None` if it could not run the step.
    fn advice_candidate(&self, key: WorkerKey, query: AdviceQuery) -> Option<AdviceCandidate<'_>> {
        let AdviceQuery { job, spec, .. } = query;
        let queue = &job.spec.queue;
        let booked = spec.booked();
        let worker = self.workers.get(key)?;
        let eligible = self.usable(worker)
            && may_run(worker, &queue.service, spec)
            && worker.info.capacity.can_fit(&booked);
        if !eligible {
            return None;
        }
        // Gangs may preempt less urgent tasks; single tasks may not.
        let headroom = self.headrooms.get(key).filter(|_| spec.gang);
        let available = headroom.map_or_else(
            || worker.free(),
            |headroom| headroom.available_to(queue.priority),
        );
        // Resources reserved for a gang of higher rank cannot be used.
        let available = self
            .reservations
            .remaining_for(key, available, query.rank, query.key);
        Some(AdviceCandidate {
            key,
            worker,
            slots: available.fit_count(&booked),
            slow: self.slow(worker),
            class: self.speed_class(worker),
            position: 0,
        })
    }

    /// Returns the fullest workers that still have slots, enough for the waiting tasks if the
    /// advice service allows `share` of the workers. Workers with reservations for a gang are used
    /// only if there are few others. Asking about the emptiest workers instead would spread
    /// small tasks over all workers, and gangs would find none empty.
    fn fullest_workers<'a>(
        &self,
        workers: Vec<AdviceCandidate<'a>>,
        query: AdviceQuery,
        share: f64,
        limit: usize,
    ) -> Vec<AdviceCandidate<'a>> {
        let needed = query.step.waiting();
        let prefers_slow = self.prefers_slow(query.key);
        let tight = query.need.is_some_and(SpeedNeed::tight);
        let reserved = |candidate: &AdviceCandidate| {
            let reservations = &self.reservations;
            !tight && reservations.reserved_for_other(candidate.key, query.key)
        };
        let (reserved, unreserved): (Vec<_>, Vec<_>) = workers.into_iter().partition(reserved);
        let mut chosen = tightest_fit(unreserved, needed, share, limit, prefers_slow);
        if chosen.len() < MIN_CALL_WORKERS {
            chosen.extend(tightest_fit(reserved, needed, share, limit, prefers_slow));
        }
        chosen
    }
}

fn worker_ids<'a>(workers: impl IntoIterator<Item = AdviceCandidate<'a>>) -> Vec<WorkerId> {
    let workers = workers.into_iter().take(MAX_CALL_WORKERS);
    workers
        .map(|candidate| candidate.worker.info.id.clone())
        .collect()
}

/// Returns the number of workers for which a call takes [`COST_RATIO`] times its fixed time,
/// within the limits for a call.
fn max_call_size(fixed: Duration, each: Duration) -> usize {
    let ratio = fixed.as_secs_f64() / each.as_secs_f64().max(1e-6);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let limit = (ratio * COST_RATIO) as usize;
    limit.clamp(MIN_CALL_WORKERS, MAX_CALL_WORKERS)
}

/// Returns the allowed workers with the most slots, fast ones first. There are enough of them
/// for a gang even if some slots are taken before the answer arrives.
fn most_slots(mut workers: Vec<AdviceCandidate>, needed: u64) -> Vec<AdviceCandidate> {
    workers.retain(|candidate| candidate.slots > 0);
    workers.sort_by_key(|candidate| (candidate.position, candidate.slow, Reverse(candidate.slots)));
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let wanted = (needed as f64 * SLOT_MARGIN).ceil() as u64;
    let mut slots = 0;
    workers.retain(|candidate| {
        let more = slots < wanted;
        slots += candidate.slots;
        more
    });
    workers
}

/// Returns up to `limit` workers: fast ones first, and among equally fast ones those with the
/// most slots.
fn emptiest_workers(mut workers: Vec<AdviceCandidate>, limit: usize) -> Vec<AdviceCandidate> {
    workers.sort_by_key(|candidate| {
        let available = Reverse(candidate.worker.free().cpu);
        (
            candidate.position,
            candidate.slow,
            Reverse(candidate.slots.min(MAX_SLOTS)),
            available,
        )
    });
    workers.truncate(limit);
    workers
}

/// Returns the maximum number of workers of one call. The time for the workers of a parallel call
/// is limited to the call's fixed time, so that it takes half as long as one about 100 workers.
fn max_per_call(query: AdviceQuery, advice: &Advice) -> usize {
    if query.parallel {
        max_call_size(advice.fixed, advice.each)
    } else {
        MAX_CALL_WORKERS
    }
}

/// Returns the fullest workers that have slots, those of the preferred speed first, until
/// there are enough slots.
fn tightest_fit(
    mut workers: Vec<AdviceCandidate>,
    needed: usize,
    share: f64,
    limit: usize,
    prefers_slow: bool,
) -> Vec<AdviceCandidate> {
    workers.retain(|candidate| candidate.slots > 0);
    workers.sort_by_key(|candidate| {
        let wrong_speed = candidate.slow != prefers_slow;
        (candidate.position, wrong_speed, candidate.worker.free().cpu)
    });
    let wanted = wanted_slots(needed) / share.max(MIN_SHARE);
    let mut slots: f64 = 0.0;
    let mut chosen = Vec::new();
    for candidate in workers {
        let enough = slots >= wanted && chosen.len() >= MIN_CALL_WORKERS;
        if enough || chosen.len() >= limit {
            break;
        }
        #[allow(clippy::cast_precision_loss)]
        let fits = candidate.slots.min(MAX_SLOTS) as f64;
        slots += fits;
        chosen.push(candidate);
    }
    chosen
}
