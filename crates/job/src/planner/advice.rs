//! Whom to ask about, and when: only some workers may run a step, and asking
//! takes time that is scarce.

use std::time::Duration;

use super::Planner;
use super::WorkerKey;
use super::job_state::StepState;
use super::rank::Rank;
use super::roster::WorkerState;
use crate::Advice;
use crate::Queue;
use crate::Room;
use crate::StepKey;
use crate::StepSpec;
use crate::Ticket;
use crate::WorkerId;

/// Most workers that the service takes in one call.
const MOST_NAMED: usize = 100;

/// Fewest workers named in a first call.
const FEWEST_NAMED: usize = 8;

/// Seats that count for one worker: its room may be gone by the answer.
const MOST_SEATS: u64 = 4;

/// A call that takes longer than this is slow: it must not stand in the way of
/// the quick ones, whose callers wait at a counter.
const QUICK: Duration = Duration::from_millis(60);

/// Share of workers that may run a step, before any was learnt.
const DEFAULT_SHARE: f64 = 0.4;

/// Weight of the newest answer in the learnt share.
const SHARE_GAIN: f64 = 0.1;

/// Seats that are asked for, as a multiple of those needed: some are taken by
/// others before the answer is there.
const SEAT_MARGIN: f64 = 2.5;

/// Time after which a call counts as lost, beyond its own.
const GRACE: Duration = Duration::from_millis(1500);

/// Time after which a step is looked at again for which no worker was worth
/// asking about. All workers are looked at for it, and each waiting step would
/// be in each round of 4 ms; the shortest call takes 12 ms.
const FRUITLESS_PAUSE: Duration = Duration::from_millis(25);

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

impl Planner {
    /// The most urgent call that is needed now. Slow calls are left out unless
    /// `slow` is set.
    pub fn next_ask(&mut self, slow: bool) -> Option<Ask> {
        let mut ranked: Vec<(Rank, StepKey)> = Vec::new();
        for &key in &self.open {
            if let Some(rank) = self.rank(key) {
                ranked.push((rank, key));
            }
        }
        ranked.sort_unstable();
        for (rank, key) in ranked {
            let Some(ask) = self.ask_for(rank, key, slow) else {
                continue;
            };
            let wait = if ask.workers.is_empty() {
                FRUITLESS_PAUSE
            } else {
                ask.cost * 2 + GRACE
            };
            let until = self.now + wait;
            let job = self.jobs.get_mut(&key.job)?;
            let (_, step) = job.step_mut(key)?;
            if !ask.workers.is_empty() {
                step.advised.pending = Some(until);
                return Some(ask);
            }
            step.advised.after = until;
        }
        None
    }

    /// The call that a step needs now, if any; one that names no workers if
    /// none are worth asking about.
    fn ask_for(&self, rank: Rank, key: StepKey, slow: bool) -> Option<Ask> {
        let job = self.jobs.get(&key.job)?;
        let advice = job.spec.queue.advice.as_ref()?;
        if !slow && advice.fixed > QUICK {
            return None;
        }
        let (spec, step) = job.step(key)?;
        let advised = &step.advised;
        let pending = advised.pending.is_some_and(|lost| self.now < lost);
        if pending || self.now < advised.after || step.waiting() == 0 {
            return None;
        }
        let soon = self.now + advice.fixed + self.policy.ticket_margin;
        let lasting = advised.good.values().any(|(_, until)| *until > soon);
        if lasting {
            return None;
        }
        let workers = self.named(rank, key, &job.spec.queue, spec, step, advice);
        let named = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        Some(Ask {
            step: key,
            cost: advice.fixed + advice.each * named,
            workers,
        })
    }

    /// Workers to ask about: those known to be good, if they have room, or
    /// else those not asked about yet.
    fn named<'a>(
        &'a self,
        rank: Rank,
        key: StepKey,
        queue: &Queue,
        spec: &StepSpec,
        step: &StepState,
        advice: &Advice,
    ) -> Vec<WorkerId> {
        let booked = spec.booked();
        let usable = |(worker_key, worker): &(WorkerKey, &WorkerState)| {
            worker.info.service == queue.service
                && self.usable(worker)
                && !self.kept_from(*worker_key, rank, key)
                && (spec.label.is_empty() || worker.info.labels.contains(&spec.label))
                && worker.info.capacity.holds(&booked)
        };
        let advised = &step.advised;
        let mut good: Vec<(WorkerKey, &WorkerState)> = Vec::new();
        let mut rest: Vec<(WorkerKey, &WorkerState)> = Vec::new();
        for (worker_key, worker) in self.workers.iter().filter(usable) {
            if advised.good.contains_key(&worker_key) {
                good.push((worker_key, worker));
            } else if !advised.asked.contains(&worker_key) {
                rest.push((worker_key, worker));
            }
        }
        // A gang may preempt less urgent tasks, single tasks may not.
        let fits = |(worker_key, worker): &(WorkerKey, &WorkerState)| {
            let reach = self.reaches.get(*worker_key).filter(|_| spec.gang);
            let room = reach.map_or_else(|| worker.free(), |reach| reach.most(queue.priority));
            room.fits(&booked)
        };
        let good_room: u64 = good.iter().map(fits).sum();
        let rest_room: u64 = rest.iter().map(fits).sum();
        let needed = if spec.gang { step.waiting() as u64 } else { 1 };
        if good_room >= needed {
            return good
                .iter()
                .map(|(_, worker)| worker.info.id.clone())
                .collect();
        }
        let share = self
            .shares
            .get(&queue.name)
            .copied()
            .unwrap_or(DEFAULT_SHARE);
        #[allow(clippy::cast_precision_loss)]
        let expected = good_room as f64 + rest_room as f64 * share;
        #[allow(clippy::cast_precision_loss)]
        if !step.advised.asked.is_empty() && expected < needed as f64 {
            // Asking again would not find enough: calls are scarce, and each
            // gang that waits would make one every two seconds.
            return Vec::new();
        }
        let even = advice.fixed.as_secs_f64() / advice.each.as_secs_f64().max(1e-6);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = (even / 2.0) as usize;
        let most = most.clamp(FEWEST_NAMED, MOST_NAMED);
        let chosen = if spec.gang {
            emptiest(rest.into_iter().map(|(_, worker)| worker).collect())
        } else {
            let (kept, open): (Vec<_>, Vec<_>) = rest
                .into_iter()
                .partition(|(worker_key, _)| self.kept.contains_key(worker_key));
            let only = |workers: Vec<(WorkerKey, &'a WorkerState)>| -> Vec<&'a WorkerState> {
                workers.into_iter().map(|(_, worker)| worker).collect()
            };
            let (kept, open) = (only(kept), only(open));
            let mut chosen = tightest(open, &booked, step.waiting(), share, most);
            if chosen.len() < FEWEST_NAMED {
                chosen.extend(tightest(kept, &booked, step.waiting(), share, most));
            }
            chosen
        };
        let good = good.into_iter().map(|(_, worker)| worker);
        let names = good.chain(chosen);
        names
            .take(MOST_NAMED)
            .map(|worker| worker.info.id.clone())
            .collect()
    }

    /// Whether a worker is kept free for a gang that goes before this step: its
    /// room would not be given to the step, so asking about it is in vain.
    fn kept_from(&self, worker: WorkerKey, rank: Rank, key: StepKey) -> bool {
        let keeper = self.kept.get(&worker);
        keeper.is_some_and(|(first, gang)| *gang != key && *first < rank)
    }

    /// Learns which share of the workers asked about turns out to be good.
    fn learn_share(&mut self, key: StepKey, asked: usize, good: usize) {
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
        // Workers that are not known any more are of no use.
        let asked: Vec<WorkerKey> = asked.iter().filter_map(|id| self.worker_of(id)).collect();
        let tickets: Vec<(WorkerKey, &Ticket)> = tickets
            .iter()
            .filter_map(|ticket| Some((self.worker_of(&ticket.worker)?, ticket)))
            .collect();
        let job = self.jobs.get_mut(&key.job);
        let Some((_, step)) = job.and_then(|job| job.step_mut(key)) else {
            return;
        };
        let advised = &mut step.advised;
        advised.pending = None;
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
            advised.good.insert(worker, (ticket.text.clone(), until));
        }
        if new > 0 {
            self.learn_share(key, new, found);
        }
    }

    /// A call failed; it is made again after a pause.
    pub fn advice_failed(&mut self, key: StepKey, pause: Duration) {
        let after = self.now + pause;
        let job = self.jobs.get_mut(&key.job);
        if let Some((_, step)) = job.and_then(|job| job.step_mut(key)) {
            step.advised.pending = None;
            step.advised.after = after;
        }
    }

    /// A worker refused a ticket: it is not used again.
    pub(super) fn drop_ticket(&mut self, key: StepKey, worker: WorkerKey) {
        let job = self.jobs.get_mut(&key.job);
        if let Some((_, step)) = job.and_then(|job| job.step_mut(key))
            && let Some((_, until)) = step.advised.good.get_mut(&worker)
        {
            *until = Duration::ZERO;
        }
    }
}

/// All workers, the emptiest first: a gang needs them whole.
fn emptiest(mut workers: Vec<&WorkerState>) -> Vec<&WorkerState> {
    workers.sort_by_key(|worker| std::cmp::Reverse(worker.free().cpu));
    workers
}

/// The fullest workers that still have room, enough of them for `needed` tasks
/// if `share` of them are good. Naming the emptiest instead spreads small tasks
/// over all workers, and gangs find none empty.
fn tightest<'a>(
    mut workers: Vec<&'a WorkerState>,
    booked: &Room,
    needed: usize,
    share: f64,
    most: usize,
) -> Vec<&'a WorkerState> {
    workers.sort_by_key(|worker| worker.free().cpu);
    #[allow(clippy::cast_precision_loss)]
    let wanted = needed as f64 * SEAT_MARGIN / share.max(0.05);
    let mut seats = 0.0;
    let mut chosen = Vec::new();
    for worker in workers {
        let enough = seats >= wanted && chosen.len() >= FEWEST_NAMED;
        if enough || chosen.len() >= most {
            break;
        }
        #[allow(clippy::cast_precision_loss)]
        let fits = worker.free().fits(booked).min(MOST_SEATS) as f64;
        if fits > 0.0 {
            seats += fits;
            chosen.push(worker);
        }
    }
    chosen
}
