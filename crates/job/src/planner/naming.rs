//! Which workers a call for advice names.

use std::cmp::Reverse;
use std::time::Duration;

use super::Planner;
use super::WorkerKey;
use super::advice::DEFAULT_SHARE;
use super::job_state::JobState;
use super::job_state::StepState;
use super::place::may_run;
use super::rank::Rank;
use super::roster::WorkerState;
use crate::Advice;
use crate::JobId;
use crate::StepKey;
use crate::StepSpec;
use crate::WorkerId;

/// Most workers that the service takes in one call.
const MOST_NAMED: usize = 100;

/// Fewest workers named in a first call.
const FEWEST_NAMED: usize = 8;

/// Workers that may be named for single tasks cost at most this multiple of
/// the fixed time of a call.
const NAMED_COST: f64 = 1.0;

/// Most workers that are looked at for a call about single tasks, ten times as many as
/// one call names. With 3,000 workers, an owner of half a core that looked at all made
/// some 100 calls a second while 4,000 tasks waited.
const MOST_LOOKED: usize = 1000;

/// Time after which another part of a large pool is looked at: a part may be full.
const NEXT_PART: Duration = Duration::from_millis(20);

/// Seats that count for one worker: its room may be gone by the answer.
const MOST_SEATS: u64 = 4;

/// Seats that are asked for, as a multiple of those needed: some are taken by
/// others before the answer is there.
const SEAT_MARGIN: f64 = 2.5;

/// A step that looks for workers.
#[derive(Clone, Copy)]
pub(super) struct Seeker<'a> {
    pub rank: Rank,
    pub key: StepKey,
    pub job: &'a JobState,
    pub spec: &'a StepSpec,
    pub step: &'a StepState,
    /// There may be several calls for the step at the same time.
    pub several: bool,
}

/// A worker, and how often a task of the step fits on it now.
#[derive(Clone, Copy)]
struct Named<'a> {
    key: WorkerKey,
    worker: &'a WorkerState,
    seats: u64,
    slow: bool,
}

/// Workers that could run a step, by what is known of them.
#[derive(Default)]
struct Known<'a> {
    /// They may run it.
    good: Vec<Named<'a>>,
    /// They are being asked about.
    called: Vec<Named<'a>>,
    /// They were not asked about.
    rest: Vec<Named<'a>>,
}

fn seats(workers: &[Named]) -> u64 {
    let each = workers.iter().map(|named| named.seats);
    each.fold(0, u64::saturating_add)
}

impl Planner {
    /// Workers to ask about: those known to be good, if they have room, or
    /// else those not asked about yet.
    pub(super) fn named(&self, seeker: Seeker) -> Vec<WorkerId> {
        let Seeker {
            job, spec, step, ..
        } = seeker;
        let Some(advice) = &job.spec.queue.advice else {
            return Vec::new();
        };
        let known = self.known(seeker);
        if !step.advised.calls.is_empty() {
            return self.named_beside(seeker, known, advice);
        }
        let soon = self.now + advice.fixed + self.policy.ticket_margin;
        let fresh = step.advised.good.values().any(|(_, until)| *until > soon);
        let needed = if spec.gang { step.waiting() as u64 } else { 1 };
        let call = most_called(seeker, advice);
        let enough = seats(&known.good) >= needed;
        let share = self.shares.get(&job.spec.queue.name);
        let share = share.copied().unwrap_or(DEFAULT_SHARE);
        #[allow(clippy::cast_precision_loss)]
        let expected = seats(&known.good) as f64 + seats(&known.rest) as f64 * share;
        #[allow(clippy::cast_precision_loss)]
        let hopeless = !step.advised.asked.is_empty() && expected < needed as f64;
        if enough && fresh || hopeless {
            // Asking again would bring nothing new, or not enough: calls are
            // scarce, and each gang that waits would make one every 2 s.
            return Vec::new();
        }
        let again = match (spec.gang, fresh) {
            // Tickets of single tasks need not be fresh at the same time.
            (false, true) => Vec::new(),
            (true, _) if enough => most_seats(known.good, needed),
            _ => known.good,
        };
        if enough {
            return ids(again);
        }
        if seeker.several && again.len() >= call {
            // Others are asked about beside this call.
            return ids(again);
        }
        let chosen = if spec.gang {
            emptiest(known.rest, call)
        } else {
            let most = most_named(advice.fixed, advice.each);
            self.fullest(known.rest, seeker, share, most)
        };
        ids(again.into_iter().chain(chosen))
    }

    /// Workers for one more call, beside those under way for a gang: others, until
    /// enough seats are to be expected.
    fn named_beside(&self, seeker: Seeker, known: Known, advice: &Advice) -> Vec<WorkerId> {
        let share = self.shares.get(&seeker.job.spec.queue.name);
        let share = share.copied().unwrap_or(DEFAULT_SHARE);
        let needed = seeker.step.waiting();
        #[allow(clippy::cast_precision_loss)]
        let expected = seats(&known.good) as f64 + seats(&known.called) as f64 * share;
        #[allow(clippy::cast_precision_loss)]
        let enough = expected >= needed as f64 * SEAT_MARGIN;
        if enough {
            return Vec::new();
        }
        ids(emptiest(known.rest, most_called(seeker, advice)))
    }

    /// Workers that could run a step. For single tasks of a large pool not all others
    /// are looked at, but a part that differs by job and from one moment to the
    /// next.
    fn known(&self, seeker: Seeker) -> Known<'_> {
        let advised = &seeker.step.advised;
        let mut known = Known::default();
        for &key in advised.good.keys() {
            known.good.extend(self.could_run(key, seeker));
        }
        let count = self.workers.len();
        let most = if seeker.spec.gang { count } else { MOST_LOOKED };
        let first = if count > most {
            self.part_of(seeker.key.job, count)
        } else {
            0
        };
        let keys = self.workers.keys();
        let turned = keys.clone().skip(first).chain(keys.take(first));
        for key in turned.take(most) {
            if advised.asked.contains(&key) || advised.good.contains_key(&key) {
                continue;
            }
            let Some(named) = self.could_run(key, seeker) else {
                continue;
            };
            let id = &named.worker.info.id;
            let mut calls = advised.calls.iter();
            if calls.any(|call| call.workers.contains(id)) {
                known.called.push(named);
            } else {
                known.rest.push(named);
            }
        }
        known
    }

    /// Where the part of a large pool begins that is looked at for a job now.
    fn part_of(&self, job: JobId, count: usize) -> usize {
        let parts = self.now.as_millis() / NEXT_PART.as_millis();
        let first = u128::from(job) + parts * MOST_LOOKED as u128;
        usize::try_from(first % count as u128).unwrap_or(0)
    }

    /// A worker that could run a step, with the seats that it has for it.
    fn could_run(&self, key: WorkerKey, seeker: Seeker) -> Option<Named<'_>> {
        let Seeker { job, spec, .. } = seeker;
        let queue = &job.spec.queue;
        let booked = spec.booked();
        let worker = self.workers.get(key)?;
        let able = self.usable(worker)
            && may_run(worker, &queue.service, spec)
            && worker.info.capacity.can_fit(&booked);
        if !able {
            return None;
        }
        // A gang may preempt less urgent tasks, single tasks may not.
        let reach = self.reaches.get(key).filter(|_| spec.gang);
        let room = reach.map_or_else(|| worker.free(), |reach| reach.most(queue.priority));
        // What is kept for a gang that goes before is not to be had.
        let room = self.kept.rest_for(key, room, seeker.rank, seeker.key);
        Some(Named {
            key,
            worker,
            seats: room.fits(&booked),
            slow: self.slow(worker),
        })
    }

    /// The fullest workers that still have room, enough of them for the
    /// tasks that wait if `share` of them are good; those kept for a gang only if there
    /// are few others. Naming the emptiest instead spreads small tasks over all
    /// workers, and gangs find none empty.
    fn fullest<'a>(
        &self,
        workers: Vec<Named<'a>>,
        seeker: Seeker,
        share: f64,
        most: usize,
    ) -> Vec<Named<'a>> {
        let needed = seeker.step.waiting();
        let tolerant = self.tolerant(seeker.key);
        let kept = |named: &Named| self.kept.holds(named.key, seeker.key);
        let (kept, open): (Vec<_>, Vec<_>) = workers.into_iter().partition(kept);
        let mut chosen = tightest(open, needed, share, most, tolerant);
        if chosen.len() < FEWEST_NAMED {
            chosen.extend(tightest(kept, needed, share, most, tolerant));
        }
        chosen
    }
}

fn ids<'a>(workers: impl IntoIterator<Item = Named<'a>>) -> Vec<WorkerId> {
    let workers = workers.into_iter().take(MOST_NAMED);
    workers.map(|named| named.worker.info.id.clone()).collect()
}

/// Most workers to name for single tasks, by what the service takes for a call
/// and for each worker.
fn most_named(fixed: Duration, each: Duration) -> usize {
    let even = fixed.as_secs_f64() / each.as_secs_f64().max(1e-6);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let most = (even * NAMED_COST) as usize;
    most.clamp(FEWEST_NAMED, MOST_NAMED)
}

/// Of the workers known to be good those with the most seats, enough of them for
/// a gang if some are taken by the time of the answer.
fn most_seats(mut workers: Vec<Named>, needed: u64) -> Vec<Named> {
    workers.retain(|named| named.seats > 0);
    workers.sort_by_key(|named| (named.slow, Reverse(named.seats)));
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let wanted = (needed as f64 * SEAT_MARGIN).ceil() as u64;
    let mut seats = 0;
    workers.retain(|named| {
        let more = seats < wanted;
        seats += named.seats;
        more
    });
    workers
}

/// Fast workers first, and those of them with the most room that a gang could
/// have; `most` of them.
fn emptiest(mut workers: Vec<Named>, most: usize) -> Vec<Named> {
    workers.sort_by_key(|named| {
        let room = Reverse(named.worker.free().cpu);
        (named.slow, Reverse(named.seats.min(MOST_SEATS)), room)
    });
    workers.truncate(most);
    workers
}

/// Most workers of one call. With several calls at a time, each names so many that
/// naming them takes as long as the call itself: half of the time of a call with 100.
fn most_called(seeker: Seeker, advice: &Advice) -> usize {
    if seeker.several {
        most_named(advice.fixed, advice.each)
    } else {
        MOST_NAMED
    }
}

/// The fullest that have room, those of the wanted pace first, until there are
/// seats enough.
fn tightest(
    mut workers: Vec<Named>,
    needed: usize,
    share: f64,
    most: usize,
    tolerant: bool,
) -> Vec<Named> {
    workers.retain(|named| named.seats > 0);
    workers.sort_by_key(|named| (named.slow != tolerant, named.worker.free().cpu));
    #[allow(clippy::cast_precision_loss)]
    let wanted = needed as f64 * SEAT_MARGIN / share.max(0.05);
    let mut seats: f64 = 0.0;
    let mut chosen = Vec::new();
    for named in workers {
        let enough = seats >= wanted && chosen.len() >= FEWEST_NAMED;
        if enough || chosen.len() >= most {
            break;
        }
        #[allow(clippy::cast_precision_loss)]
        let fits = named.seats.min(MOST_SEATS) as f64;
        seats += fits;
        chosen.push(named);
    }
    chosen
}
