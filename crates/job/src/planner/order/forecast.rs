//! Forecast of how long a new job would wait, by service and priority.
//!
//! Load that this answers: more work than the pool can do in time. What limits it may be processors,
//! advice or the starts that the owner can send, so the pool's rate is the work that it has running,
//! and not its capacity. What is left to work of a priority, or to late work, is at least what of it
//! is running.
//!
//! Only work that is served before a new job counts: neither jobs in excess of a share, which go last,
//! nor what a limit of its organisation holds back. Waiting steps are summed in a planning pass, which
//! ranks them anyway, and at most once in each [`INTERVAL`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Epoch;
use crate::Flow;
use crate::Forecast;
use crate::JobId;
use crate::JobSpec;
use crate::Level;
use crate::Mechanism;
use crate::PoolForecast;
use crate::StepKey;
use crate::planner::Planner;
use crate::planner::order::rank::Rank;
use crate::planner::times::expected::Expected;
use crate::planner::times::run_times::RunTimes;

/// Time between two forecasts: hosts get one a second, and a pass may follow after 4 ms.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time constant, in seconds, of the rate at which work arrives: a burst lasts a few seconds, and the
/// jobs that it delays have objectives of a second and more.
const ARRIVAL_SECONDS: f64 = 4.0;

/// Time, in seconds, for which jobs are assumed to go on arriving as they have: many callers at once, and
/// an organisation that sends many times its usual, last for tens of seconds. After it, what waits has the
/// whole pool.
const HORIZON: u64 = 30;

/// Share of the usable processors that is assumed to be at work, at least: a new owner has just begun
/// to start tasks.
const MIN_BUSY_SHARE: u64 = 2;

/// Largest number of priorities of a service in a forecast.
const MAX_LEVELS: usize = 8;

/// Largest number of services in a forecast.
const MAX_POOLS: usize = 16;

/// Number of sizes of free room, from one core to 32.
const SIZES: usize = 6;

/// Estimates for a job from its declared run times, before anything is learnt about its queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimates {
    /// Time from acceptance within which callers want the job completed.
    pub(crate) objective: Duration,
    /// Run time of the longest chain of dependent steps.
    pub(crate) critical_path: Duration,
    /// Work of all tasks of one round, in milliseconds of one core.
    pub(crate) work: u64,
}

impl Estimates {
    pub(crate) fn declared(spec: &JobSpec) -> Estimates {
        let expected = Expected::new(spec, &RunTimes::default());
        Estimates {
            objective: expected.objective,
            critical_path: expected.critical_path,
            work: expected.work,
        }
    }
}

/// Rate at which work arrives, as a decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    /// Work of the recent jobs, in milliseconds of one core.
    work: f64,
    /// When `work` was last brought up to date.
    at: Duration,
}

impl Arrivals {
    #[allow(clippy::cast_precision_loss)]
    fn add(&mut self, now: Duration, work: u64) {
        self.work = self.decayed(now) + work as f64;
        self.at = now;
    }

    fn decayed(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.work * (-elapsed / ARRIVAL_SECONDS).exp()
    }

    /// Returns the work that arrives in a second.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn rate(&self, now: Duration) -> u64 {
        (self.decayed(now) / ARRIVAL_SECONDS) as u64 // saturates
    }
}

/// Steps that wait, in milliseconds of one core, by service, whether they are gangs, whether they are
/// late, and priority.
type WaitingWork<'a> = BTreeMap<(&'a str, bool, bool, u32), u64>;

/// Processors that single tasks which can be in time wait for, by service and priority.
type SingleCpu<'a> = BTreeMap<(&'a str, u32), u64>;

/// What a forecast is computed from, and the newest one.
#[derive(Debug, Default)]
pub(crate) struct Forecaster {
    /// Work of the jobs that are not in excess of a share, by service, and then by whether they have gangs
    /// and priority.
    arrivals: BTreeMap<String, BTreeMap<(bool, u32), Arrivals>>,
    /// The newest forecast, and when it was made.
    newest: Option<(Duration, Vec<PoolForecast>)>,
}

impl Planner {
    /// Returns the newest forecast; `None` if there is none yet, or while tasks of a former owner may
    /// be running that are not known.
    #[must_use]
    pub fn forecast(&self, epoch: Epoch) -> Option<Forecast> {
        let (made, pools) = self.forecaster.newest.as_ref()?;
        (!self.recovering).then(|| Forecast {
            epoch,
            age: self.now.saturating_sub(*made),
            pools: pools.clone(),
        })
    }

    /// Counts the work of a job that has just arrived.
    pub(crate) fn record_arrival(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.excess) else {
            return;
        };
        if !self.policy.switches.enabled(Mechanism::Admission) {
            return;
        }
        let (queue, work) = (&job.spec.queue, job.expected.work);
        let gang = job.spec.steps.iter().any(|step| step.gang);
        let pools = &mut self.forecaster.arrivals;
        if !pools.contains_key(&queue.service) {
            pools.insert(queue.service.clone(), BTreeMap::new());
        }
        if let Some(levels) = pools.get_mut(&queue.service) {
            let arrivals = levels.entry((gang, queue.priority)).or_default();
            arrivals.add(self.now, work);
        }
    }

    /// Makes a forecast at the end of a planning pass, in which these steps were ranked, unless the
    /// newest one is recent.
    pub(crate) fn update_forecast(&mut self, ranked: &[(Rank, StepKey)]) {
        if !self.policy.switches.enabled(Mechanism::Admission) {
            return;
        }
        let made = self.forecaster.newest.as_ref().map(|(made, _)| *made);
        if made.is_some_and(|made| self.now < made + INTERVAL) {
            return;
        }
        let mut services: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
        for queue in &self.config.queues {
            let priorities = services.entry(&queue.service).or_default();
            priorities.insert(queue.priority);
        }
        let waiting = self.waiting_work(ranked);
        let pools = services.into_iter().take(MAX_POOLS);
        let pools = pools.map(|(service, priorities)| {
            let priorities = priorities.into_iter().take(MAX_LEVELS);
            self.forecast_pool(service, priorities, &waiting)
        });
        self.forecaster.newest = Some((self.now, pools.collect()));
    }

    /// Sums the steps that still wait and are served before a new job.
    fn waiting_work(&self, ranked: &[(Rank, StepKey)]) -> (WaitingWork<'_>, SingleCpu<'_>) {
        let mut sums = WaitingWork::new();
        let mut single_cpu = SingleCpu::new();
        for &(rank, key) in ranked {
            if rank.band > 0 || rank.stage > 1 || !self.pending_steps.contains(&key) {
                continue;
            }
            let Some(job) = self.jobs.get(&key.job).filter(|_| self.limit_admits(key)) else {
                continue;
            };
            let Some((spec, step)) = job.step(key) else {
                continue;
            };
            let time = job.expected.task_times.get(key.step as usize);
            let millis = time.map_or(0, Duration::as_millis);
            let cpu = spec.booked().cpu.saturating_mul(step.waiting() as u64);
            let work = u128::from(cpu) * millis / 1000;
            let late = rank.stage > 0;
            let service = job.spec.queue.service.as_str();
            let sum: &mut u64 = sums
                .entry((service, spec.gang, late, rank.priority))
                .or_default();
            *sum = sum.saturating_add(u64::try_from(work).unwrap_or(u64::MAX));
            if !spec.gang && !late {
                let wanted = single_cpu.entry((service, rank.priority)).or_insert(0);
                *wanted += cpu;
            }
        }
        (sums, single_cpu)
    }

    fn forecast_pool(
        &self,
        service: &str,
        priorities: impl Iterator<Item = u32>,
        (waiting, single_cpu): &(WaitingWork<'_>, SingleCpu<'_>),
    ) -> PoolForecast {
        let use_of = self.measure_pool(service);
        let levels = priorities.map(|priority| {
            let singles = single_cpu.range((service, 0)..=(service, priority));
            let [single, gang] =
                [false, true].map(|gang| self.flow(service, gang, priority, (waiting, &use_of)));
            Level {
                priority,
                single_cpu: singles.map(|(_, cpu)| *cpu).sum(),
                single,
                gang,
            }
        });
        PoolForecast {
            service: service.to_owned(),
            levels: levels.collect(),
            free: use_of.free.to_vec(),
        }
    }

    fn flow(
        &self,
        service: &str,
        gang: bool,
        priority: u32,
        (waiting, use_of): (&WaitingWork<'_>, &PoolUse),
    ) -> Flow {
        let sum = |late: bool, most: u32| {
            let range = waiting.range((service, gang, late, 0)..=(service, gang, late, most));
            range.map(|(_, work)| *work).fold(0, u64::saturating_add)
        };
        let arrivals = self.forecaster.arrivals.get(service);
        let arriving = |most: u32| -> u64 {
            let levels = arrivals.into_iter().flatten();
            let before =
                levels.filter(|((of_gang, priority), _)| *of_gang == gang && *priority < most);
            before.map(|(_, arrivals)| arrivals.rate(self.now)).sum()
        };
        let running = |from: u32| -> u64 {
            let range = use_of.running.range((gang, from)..=(gang, u32::MAX));
            range.map(|(_, cpu)| *cpu).sum()
        };
        let (busy, all) = (use_of.busy, running(0));
        let left = all.saturating_sub(arriving(priority));
        let late_left = all.saturating_sub(arriving(u32::MAX));
        let late = sum(false, u32::MAX).saturating_add(sum(true, priority));
        Flow {
            ahead: sum(false, priority),
            rate: left.max(running(priority)),
            late,
            late_rate: late_left
                .max(use_of.late[usize::from(gang)])
                .max(rate_beyond(late, busy)),
        }
    }

    /// Measures what the workers of a service do after the pass.
    fn measure_pool(&self, service: &str) -> PoolUse {
        let mut capacity = 0;
        let mut found = PoolUse::default();
        let usable = self
            .workers
            .iter()
            .filter(|(_, worker)| self.usable(worker));
        for (key, worker) in usable.filter(|(_, worker)| worker.info.service == service) {
            capacity += worker.info.capacity.cpu;
            found.busy += worker.total_booked.cpu;
            let free = self.reservations.remaining(key, worker.free()).cpu;
            for (size, sum) in found.free.iter_mut().enumerate() {
                *sum += if free >= 1000 << size { free } else { 0 };
            }
            for (task, run) in &worker.runs {
                let Some(job) = self.jobs.get(&task.step.job) else {
                    continue;
                };
                let (cpu, at) = (run.booked.cpu, task.step.step as usize);
                let gang = job.spec.steps.get(at).is_some_and(|step| step.gang);
                let running = found.running.entry((gang, job.spec.queue.priority));
                *running.or_default() += cpu;
                let due = job.accepted_at + job.expected.objective;
                let late = run.phase_since + job.expected.critical_path / 2 > due;
                found.late[usize::from(gang)] += if late { cpu } else { 0 };
            }
        }
        found.busy = found.busy.max(capacity / MIN_BUSY_SHARE);
        found
    }
}

/// Returns the rate of work that waits for [`HORIZON`] and then has the whole pool.
fn rate_beyond(work: u64, busy: u64) -> u64 {
    let time = HORIZON + work / busy.max(1);
    work.div_ceil(time)
}

/// What the workers of a service do, in thousandths of a core.
#[derive(Debug, Default)]
struct PoolUse {
    /// Processors at work, or the smallest share of the capacity that is assumed to be.
    busy: u64,
    /// Processors that the pass has left free, see [`PoolForecast::free`].
    free: [u64; SIZES],
    /// Processors that run single tasks and gangs, by priority.
    running: BTreeMap<(bool, u32), u64>,
    /// Processors that run single tasks, and gangs, which were late when they started.
    late: [u64; 2],
}
