//! Whom to ask about, and when: only some workers may run a step, and asking
//! takes time that is scarce.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Planner;
use super::WorkerKey;
use super::job_state::AdviceCall;
use super::naming::Seeker;
use super::rank::Rank;
use crate::Mechanism;
use crate::StepKey;
use crate::Ticket;
use crate::WorkerId;

/// A call that takes longer than this is slow: it must not stand in the way of
/// the quick ones, whose callers wait at a counter.
const QUICK: Duration = Duration::from_millis(60);

/// Share of workers that may run a step, before any was learnt.
pub(super) const DEFAULT_SHARE: f64 = 0.4;

/// Weight of the newest answer in the learnt share.
const SHARE_GAIN: f64 = 0.1;

/// Time after which a call counts as lost, beyond its own.
const GRACE: Duration = Duration::from_millis(1500);

/// Most calls for one gang at the same time. The service answers one call at a
/// time for each host that asks; asked one after the other, about 100 workers of
/// 540 in 2 s, a wide gang waited 8 s until it had workers enough.
const MOST_CALLS: usize = 6;

/// Time after which a step is looked at again for which no worker was worth
/// asking about. All workers are looked at for it, and each waiting step would
/// be in each round of 4 ms; the shortest call takes 12 ms.
const FRUITLESS_PAUSE: Duration = Duration::from_millis(25);

/// How many hosts that make calls for advice have nothing to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeHelpers {
    /// Few: they are kept for quick calls.
    Few,
    /// Some: one call at a time for each step.
    Some,
    /// Most: a gang may have several calls at a time. Whenever it wanted them,
    /// gangs took four fifths of the service's time, and the worth of lookups fell
    /// from 0.97 to 0.55 on a day at the pool's limit.
    Most,
}

/// A call to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The step.
    pub step: StepKey,
    /// The workers to ask about.
    pub workers: Vec<WorkerId>,
    /// How long the service will take.
    pub cost: Duration,
}

/// Steps that may need a call, the most urgent first. Ranked once for all calls of a
/// moment: with hundreds of steps that wait, ranking them anew for each took most of
/// the owner's time.
#[derive(Debug, Default)]
pub(super) struct Asks {
    /// When they were ranked; never at first.
    ranked_at: Option<Duration>,
    waiting: VecDeque<(Rank, StepKey)>,
    /// Processors that the gangs need that were passed so far.
    claimed: u64,
}

impl Planner {
    fn rank_asks(&mut self) {
        let open = self.open.iter();
        let mut ranked: Vec<(Rank, StepKey)> = open
            .filter_map(|&key| Some((self.rank(key)?, key)))
            .collect();
        // Among equals, steps of single tasks that were asked for before go
        // last: they have some workers. Else a few wide lookups made call after
        // call, and new ones got their first answer after 15 s.
        ranked.sort_by_cached_key(|&(rank, key)| {
            let repeated = self.asked_before(key);
            (rank.stage, rank.priority, repeated, rank, key)
        });
        self.asks = Asks {
            ranked_at: Some(self.now),
            waiting: ranked.into(),
            claimed: 0,
        };
    }

    /// The most urgent call that is needed now, of those that helpers are free for.
    pub fn next_ask(&mut self, free: FreeHelpers) -> Option<Ask> {
        if self.asks.ranked_at != Some(self.now) {
            self.rank_asks();
        }
        while let Some((rank, key)) = self.asks.waiting.pop_front() {
            if !self.within_room(key) {
                continue;
            }
            let Some(ask) = self.ask_for(rank, key, free) else {
                continue;
            };
            let wait = if ask.workers.is_empty() {
                FRUITLESS_PAUSE
            } else {
                ask.cost * 2 + GRACE
            };
            let now = self.now;
            let until = now + wait;
            let incarnations = ask.workers.iter().map(|id| self.worker_key(id)).collect();
            let job = self.jobs.get_mut(&key.job)?;
            let (_, step) = job.step_mut(key)?;
            step.advised.calls.retain(|call| now < call.timeout_at);
            if ask.workers.is_empty() {
                step.advised.not_before = until;
                continue;
            }
            step.advised.calls.push(AdviceCall {
                workers: ask.workers.clone(),
                incarnations,
                timeout_at: until,
            });
            return Some(ask);
        }
        None
    }

    /// Whether a gang could start next: what it needs fits beside what the gangs
    /// before it need. Tickets last for 2.5 s; under a backlog gangs far from their turn
    /// asked again and again, 559 of 1,430 s of the service's time brought no start, and
    /// single tasks got no answers.
    fn within_room(&mut self, key: StepKey) -> bool {
        let by_room = self.policy.switches.has(Mechanism::AdviceByRoom);
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        let Some((spec, step)) = step.filter(|(spec, _)| spec.gang && by_room) else {
            return true;
        };
        let waiting = u64::try_from(step.waiting()).unwrap_or(u64::MAX);
        let need = spec.need.cpu.saturating_mul(waiting);
        let claimed = &mut self.asks.claimed;
        let first = *claimed == 0;
        *claimed = claimed.saturating_add(need);
        first || *claimed <= self.gang_room
    }

    /// Whether a step of single tasks has had an answer.
    fn asked_before(&self, key: StepKey) -> bool {
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        step.is_some_and(|(spec, step)| !spec.gang && !step.advised.asked.is_empty())
    }

    /// The call that a step needs now, if any; one that names no workers if
    /// none are worth asking about.
    fn ask_for(&self, rank: Rank, key: StepKey, free: FreeHelpers) -> Option<Ask> {
        let job = self.jobs.get(&key.job)?;
        let advice = job.spec.queue.advice.as_ref()?;
        if free == FreeHelpers::Few && advice.fixed > QUICK {
            return None;
        }
        let (spec, step) = job.step(key)?;
        let advised = &step.advised;
        let calls = advised.calls.iter();
        let calls = calls.filter(|call| self.now < call.timeout_at).count();
        let several = spec.gang
            && free == FreeHelpers::Most
            && self.policy.switches.has(Mechanism::ParallelAdvice);
        let most = if several { MOST_CALLS } else { 1 };
        if calls >= most || self.now < advised.not_before || step.waiting() == 0 {
            return None;
        }
        let workers = self.named(Seeker {
            rank,
            key,
            job,
            spec,
            step,
            several,
        });
        let named = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        Some(Ask {
            step: key,
            cost: advice.fixed + advice.each * named,
            workers,
        })
    }

    /// Learns which share of the workers asked about turns out to be good.
    fn learn_share(&mut self, key: StepKey, asked: usize, good: usize) {
        if !self.policy.switches.has(Mechanism::LearntShare) {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        #[allow(clippy::cast_precision_loss)]
        let found = good as f64 / asked.max(1) as f64;
        let queue = job.spec.queue.name.clone();
        let share = self.shares.entry(queue).or_insert(DEFAULT_SHARE);
        *share += (found - *share) * SHARE_GAIN;
    }

    /// Takes the answer to a call about `asked`; tickets last until `until`.
    pub fn take_advice(
        &mut self,
        key: StepKey,
        asked: &[WorkerId],
        tickets: &[Ticket],
        until: Duration,
    ) {
        let asked_ids = asked;
        let lives = self.lives_asked(key, asked);
        let life = |id: &WorkerId| lives.get(id).copied();
        let asked: Vec<WorkerKey> = asked.iter().filter_map(life).collect();
        let tickets: Vec<(WorkerKey, &Ticket)> = tickets
            .iter()
            .filter_map(|ticket| Some((life(&ticket.worker)?, ticket)))
            .collect();
        let job = self.jobs.get_mut(&key.job);
        let Some((_, step)) = job.and_then(|job| job.step_mut(key)) else {
            return;
        };
        let advised = &mut step.advised;
        advised.calls.retain(|call| call.workers != asked_ids);
        let news = asked
            .iter()
            .filter(|worker| !advised.asked.contains(*worker));
        let new = news.count();
        let found = tickets
            .iter()
            .filter(|(worker, _)| !advised.asked.contains(worker))
            .count();
        advised.asked.extend(asked);
        for (worker, ticket) in tickets {
            advised.permits.insert(worker, (ticket.text.clone(), until));
        }
        if new > 0 {
            self.learn_share(key, new, found);
        }
    }

    /// The lives that a call was about, by worker: a ticket is for one of them. Workers that
    /// are not known any more are of no use.
    fn lives_asked<'a>(
        &self,
        key: StepKey,
        asked: &'a [WorkerId],
    ) -> HashMap<&'a WorkerId, WorkerKey> {
        let job = self.jobs.get(&key.job);
        let calls = job.and_then(|job| job.step(key));
        let calls = calls.map_or(&[][..], |(_, step)| &step.advised.calls);
        let call = calls.iter().find(|call| call.workers == asked);
        let then = |nth: usize| call.map(|call| call.incarnations.get(nth).copied().flatten());
        let lives = asked.iter().enumerate().filter_map(|(nth, id)| {
            let now = self.worker_key(id)?;
            // A call that counted as lost is answered all the same.
            let then = then(nth).unwrap_or(Some(now));
            (then == Some(now)).then_some((id, now))
        });
        lives.collect()
    }

    /// A call failed; it is made again after a pause.
    pub fn advice_failed(&mut self, key: StepKey, asked: &[WorkerId], pause: Duration) {
        let after = self.now + pause;
        let job = self.jobs.get_mut(&key.job);
        if let Some((_, step)) = job.and_then(|job| job.step_mut(key)) {
            step.advised.calls.retain(|call| call.workers != asked);
            step.advised.not_before = after;
        }
    }

    /// A worker refused a ticket: it is not used again.
    pub(super) fn drop_ticket(&mut self, key: StepKey, worker: WorkerKey) {
        let job = self.jobs.get_mut(&key.job);
        if let Some((_, step)) = job.and_then(|job| job.step_mut(key))
            && let Some((_, until)) = step.advised.permits.get_mut(&worker)
        {
            *until = Duration::ZERO;
        }
    }
}
