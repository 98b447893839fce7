//! Admission of jobs: whether a job is accepted, decided from a forecast of the pool before the job
//! is stored.
//!
//! Load that this answers: more work than the pool can do in time, from callers that come back after
//! each rejection.
//!
//! A caller loses more by a wrong rejection than by an acceptance that turns out useless, so each
//! doubt speaks for acceptance: an old forecast, room that may be idle, and estimates that may be
//! wrong by [`ERROR_FACTOR`].

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Epoch;
use crate::JobSpec;
use crate::Resources;
use crate::StepSpec;
use crate::planner::Estimates;

/// A late result has value for callers up to this multiple of the objective.
pub const LATE_FACTOR: u32 = 3;

/// Age above which a forecast is ignored: a successor takes the pool over in about this time, and it
/// may find the pool in another state.
pub const MAX_FORECAST_AGE: Duration = Duration::from_secs(2);

/// Factor by which the estimates of a job and of the work before it may be wrong.
const ERROR_FACTOR: u32 = 2;

/// A pool that completes the work before a new job within this time counts as idle: a few planning
/// cycles pass before waiting work is placed.
const IDLE_BACKLOG: Duration = Duration::from_millis(250);

/// Shortest time after which a rejected caller may come back: until then, every host certainly knows a
/// state of the store in which the job is marked as rejected.
pub const MIN_RETRY: Duration = Duration::from_secs(3);

/// Longest time after which a rejected caller may come back. A forecast beyond that is too uncertain
/// to keep a caller away from a pool that may have become idle.
pub const MAX_RETRY: Duration = Duration::from_secs(20);

/// What a job needs, as far as it is known before the job is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Name of the queue.
    pub queue: String,
    /// Service whose workers run the job.
    pub service: String,
    /// Largest amount of resources that must be free at the same time.
    pub widest: Resources,
    /// Whether a step is a gang.
    pub gang: bool,
    /// Processors of the largest task, in thousandths of a core.
    pub task_cpu: u64,
    /// Expected work of all tasks, in milliseconds of one core.
    pub work: u64,
    /// Expected run time of the longest chain of dependent steps.
    pub critical_path: Duration,
    /// Time from acceptance within which the caller wants the job completed.
    pub objective: Duration,
}

/// The owner's forecast of the pool, published to all hosts. Its size does not depend on the number of
/// waiting jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// Epoch of the owner that made the forecast.
    pub epoch: Epoch,
    /// Time since the forecast was made, when it was sent.
    pub age: Duration,
    /// Forecast of the workers of each service.
    pub pools: Vec<PoolForecast>,
}

/// Forecast of the workers of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolForecast {
    /// Name of the service.
    pub service: String,
    /// Processors that the last planning pass left free, in thousandths of a core: at index `k`, those
    /// of workers with at least 2^k free cores.
    pub free: Vec<u64>,
    /// Forecast of each priority, the most urgent first.
    pub levels: Vec<Level>,
}

/// Forecast for the jobs of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Level {
    /// Priority of the queues; 0 is the most urgent.
    pub priority: u32,
    /// Processors that the single tasks before a new job wait for, in thousandths of a core.
    pub single_cpu: u64,
    /// Forecast for jobs without gangs.
    pub single: Flow,
    /// Forecast for jobs with gangs.
    pub gang: Flow,
}

/// Work that waits, in milliseconds of one core, and the rate in a second at which it is done. Single
/// tasks pass a gang that waits for its resources, so each of the two has its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// Work that is served before a new job of a priority.
    pub ahead: u64,
    /// Rate that is left to it by more urgent jobs that arrive meanwhile.
    pub rate: u64,
    /// Work that is served before a job of the priority that has become late.
    pub late: u64,
    /// Rate that is left to late jobs by all that arrive meanwhile.
    pub late_rate: u64,
}

impl Flow {
    /// Returns how long a new job waits while it can be in time.
    #[must_use]
    pub fn wait(&self) -> Duration {
        time_for(self.ahead, self.rate)
    }

    /// Returns how long a job waits that has become late.
    #[must_use]
    pub fn late_wait(&self) -> Duration {
        time_for(self.late, self.late_rate)
    }
}

impl Level {
    /// Returns the forecast for jobs with gangs or without.
    #[must_use]
    pub fn flow(&self, gang: bool) -> &Flow {
        if gang { &self.gang } else { &self.single }
    }
}

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is rejected, since it would be useless to its caller.
    Reject {
        /// Time after which the job was expected to end.
        expected: Duration,
        /// Time within which a result has value for the caller.
        limit: Duration,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

impl Demand {
    /// Derives the demand of a job from its declared run times.
    #[must_use]
    pub fn new(spec: &JobSpec) -> Demand {
        let estimates = Estimates::declared(spec);
        let starts = spec.steps.iter().map(StepSpec::smallest_start);
        let tasks = spec.steps.iter().map(|step| step.booked().cpu);
        Demand {
            priority: spec.queue.priority,
            queue: spec.queue.name.clone(),
            service: spec.queue.service.clone(),
            widest: starts.fold(Resources::default(), |all, one| all.elementwise_max(&one)),
            gang: spec.steps.iter().any(|step| step.gang),
            task_cpu: tasks.max().unwrap_or_default(),
            work: estimates.work,
            critical_path: estimates.critical_path,
            objective: estimates.objective,
        }
    }
}

impl PoolForecast {
    /// Returns whether room for the demand is idle that no task before it can use.
    fn has_room(&self, level: &Level, demand: &Demand) -> bool {
        let cores = demand.task_cpu.div_ceil(1000).max(1);
        let class = cores.next_power_of_two().trailing_zeros() as usize;
        let class = class.min(self.free.len().saturating_sub(1));
        let free = self.free.get(class).copied().unwrap_or_default();
        free.saturating_sub(level.single_cpu) >= demand.widest.cpu.max(1)
    }

    /// Returns the forecast for jobs of a priority: if none is known, that for the next more urgent
    /// one, behind which less work waits.
    fn level(&self, priority: u32) -> Option<&Level> {
        let mut levels = self.levels.iter();
        levels.rfind(|level| level.priority <= priority)
    }
}

/// Decides whether a job is accepted, from a forecast that is `age` old.
///
/// A job waits in two ways: while it can be in time, behind work of its own priority or a more urgent
/// one; and once it is late, behind everything that can be in time. It is rejected if it would be late
/// and, by then, of no value to its caller.
#[must_use]
pub fn decide(forecast: Option<&Forecast>, age: Duration, demand: &Demand) -> Admission {
    let Some(forecast) = forecast.filter(|_| age <= MAX_FORECAST_AGE) else {
        return Admission::Accept;
    };
    let mut pools = forecast.pools.iter();
    let Some(pool) = pools.find(|pool| pool.service == demand.service) else {
        return Admission::Accept;
    };
    let Some(level) = pool.level(demand.priority) else {
        return Admission::Accept;
    };
    let flow = level.flow(demand.gang);
    let wait = flow.wait();
    if wait <= IDLE_BACKLOG || pool.has_room(level, demand) {
        return Admission::Accept;
    }
    let in_time = wait + demand.critical_path <= demand.objective;
    let late_wait = flow.late_wait().max(wait);
    let expected = late_wait + demand.critical_path;
    let limit = demand.objective * LATE_FACTOR;
    // The job is rejected if it would be too late even if all estimates were too long.
    let tolerated = limit * ERROR_FACTOR;
    if in_time || expected <= tolerated {
        return Admission::Accept;
    }
    Admission::Reject {
        expected,
        limit,
        retry_after: expected
            .saturating_sub(tolerated)
            .clamp(MIN_RETRY, MAX_RETRY),
    }
}

/// Returns the time in which work is completed at a rate of work a second, at most an hour.
fn time_for(work: u64, rate: u64) -> Duration {
    const LONGEST: Duration = Duration::from_hours(1);
    let millis = u128::from(work) * 1000 / u128::from(rate.max(1));
    let millis = u64::try_from(millis).unwrap_or(u64::MAX);
    Duration::from_millis(millis).min(LONGEST)
}
