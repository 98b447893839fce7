//! Admission of jobs by a forecast, on replayed loads: a pool of workers that run what the planner
//! starts, and jobs that arrive over some seconds.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use job::Admission;
use job::Demand;
use job::EndedRun;
use job::Flow;
use job::Forecast;
use job::JobId;
use job::JobSpec;
use job::LATE_FACTOR;
use job::Level;
use job::MAX_FORECAST_AGE;
use job::Mechanism;
use job::Planner;
use job::Policy;
use job::PoolForecast;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::Switches;
use job::TaskKey;
use job::WorkerKey;
use support::add_claimed;
use support::config;
use support::ended;
use support::running;
use support::spec;
use support::starts;
use support::step;
use support::worker_report;

/// Time between two planning passes.
const TICK: Duration = Duration::from_millis(100);

/// Time after which the newest forecast reaches the hosts.
const TRANSIT: Duration = Duration::from_millis(500);

/// A run on a worker and the time at which it ends.
type Active = (WorkerKey, TaskKey, RunId, Duration);

/// What became of the jobs of a replay.
#[derive(Default)]
struct Outcomes {
    /// Jobs, and the time in which an accepted one was done; `None` if it was not.
    done: HashMap<JobId, Option<Duration>>,
    /// Expected time of each rejected job, and when its caller may come back.
    rejected: Vec<(Duration, Duration)>,
    /// Expected time of each accepted job, by the forecast.
    expected: HashMap<JobId, Duration>,
    /// Rejections while processors for the job were idle after the last planning pass.
    with_room: usize,
    /// Gangs that were accepted, and rejected ones.
    gangs: (usize, usize),
}

impl Outcomes {
    /// Counts the accepted jobs that were done after their results had value, or not at all.
    fn useless(&self, objective: Duration) -> usize {
        let late =
            |done: &&Option<Duration>| done.is_none_or(|done| done > objective * LATE_FACTOR);
        self.done.values().filter(late).count()
    }
}

impl Outcomes {
    /// Counts the jobs that were done within their objective.
    fn in_time(&self, objective: Duration) -> usize {
        let done = self.done.values().flatten();
        done.filter(|done| **done <= objective).count()
    }
}

fn planner(admission: bool) -> Planner {
    let on = if admission {
        &[Mechanism::Admission][..]
    } else {
        &[]
    };
    let policy = Policy {
        switches: Switches::enabling(on),
        ..Policy::default()
    };
    let mut planner = Planner::new(policy, 1, Duration::ZERO, Duration::ZERO);
    planner.configure(&config(1, Vec::new()));
    planner
}

/// A job of one task of one second, with an objective of three seconds.
fn single() -> JobSpec {
    spec(vec![step(1)])
}

/// A job of one gang of eight tasks of one second.
fn gang() -> JobSpec {
    let mut step = step(8);
    step.gang = true;
    spec(vec![step])
}

/// Replays a load for `seconds` on `workers` workers of four cores each. `arrivals` returns the jobs
/// that arrive in the tick at a time; `lost` workers are deregistered at half of the time.
fn replay(
    admission: bool,
    workers: usize,
    lost: usize,
    seconds: u64,
    arrivals: impl Fn(Duration) -> Vec<JobSpec>,
) -> Outcomes {
    let mut planner = planner(admission);
    let keys: Vec<WorkerKey> = (0..workers)
        .map(|at| add_claimed(&mut planner, &format!("w{at}")))
        .collect();
    let mut outcomes = Outcomes::default();
    let mut active: Vec<Active> = Vec::new();
    let mut sent: Vec<(Duration, Option<Forecast>)> = Vec::new();
    let mut ends: HashMap<WorkerKey, u64> = HashMap::new();
    let mut accepted: HashMap<JobId, Duration> = HashMap::new();
    let mut next = 1;
    let mut now = Duration::ZERO;
    let mut idle = 0;
    while now < Duration::from_secs(seconds) {
        now += TICK;
        planner.advance(now);
        if now == Duration::from_secs(seconds / 2) {
            for at in 0..lost {
                planner.deregister_worker(&format!("w{at}"));
            }
        }
        report(&mut planner, &keys, &mut active, &mut ends, now);
        let newest = sent.iter().rfind(|(at, _)| *at + TRANSIT <= now);
        let newest = newest.and_then(|(at, forecast)| Some((*at, forecast.as_ref()?)));
        for job in arrivals(now) {
            let demand = Demand::new(&job);
            let age = newest.map_or(Duration::ZERO, |(at, _)| now.saturating_sub(at));
            let forecast = newest.map(|(_, forecast)| forecast);
            match job::decide(forecast, age, &demand) {
                Admission::Reject {
                    expected,
                    retry_after,
                    ..
                } => {
                    outcomes.rejected.push((expected, retry_after));
                    outcomes.with_room += usize::from(idle >= demand.widest.cpu);
                    outcomes.gangs.1 += usize::from(job.steps[0].gang);
                }
                Admission::Accept => {
                    if let Some(level) = forecast.and_then(level_of) {
                        outcomes.expected.insert(next, expected(level, &demand));
                    }
                    outcomes.gangs.0 += usize::from(job.steps[0].gang);
                    planner.add_job(next, job, None, false);
                    accepted.insert(next, now);
                    outcomes.done.insert(next, None);
                    next += 1;
                }
            }
        }
        planner.plan();
        for (task, run, key) in starts(&mut planner) {
            planner.start_reply(key, task, run, StartReply::Started);
            active.push((key, task, run, now + Duration::from_secs(1)));
        }
        let batch = planner.take_batch(1000);
        planner.batch_saved(&batch);
        for (&id, &at) in &accepted {
            let status = planner.job_status(id);
            let done = outcomes.done.entry(id).or_default();
            if done.is_none() && status == Some(job::JobStatus::Completed) {
                *done = Some(now.saturating_sub(at));
            }
        }
        let load = planner.load();
        idle = load
            .capacity
            .cpu
            .saturating_sub(load.booked.cpu + load.reserved_cpu);
        sent.push((now, planner.forecast(1)));
    }
    outcomes
}

/// Returns the time in which a job is expected to be done: in time, or late.
fn expected(level: &Level, demand: &Demand) -> Duration {
    let flow = level.flow(demand.gang);
    let in_time = flow.wait() + demand.critical_path;
    if in_time <= demand.objective {
        return in_time;
    }
    flow.late_wait().max(flow.wait()) + demand.critical_path
}

fn level_of(forecast: &Forecast) -> Option<&Level> {
    forecast.pools.first()?.levels.first()
}

/// Reports the runs of all workers, and ends those that are due.
fn report(
    planner: &mut Planner,
    keys: &[WorkerKey],
    active: &mut Vec<Active>,
    ends: &mut HashMap<WorkerKey, u64>,
    now: Duration,
) {
    for &key in keys {
        let here = active.iter().filter(|(worker, ..)| *worker == key);
        let (due, left): (Vec<&Active>, Vec<&Active>) = here.partition(|(.., end)| *end <= now);
        let running_here = left.iter().map(|(_, task, run, _)| running(*task, *run));
        let mut number = ends.get(&key).copied().unwrap_or_default();
        let ended_here: Vec<EndedRun> = due
            .iter()
            .map(|(_, task, run, _)| {
                number += 1;
                ended(number, *task, *run, RunEnd::Done)
            })
            .collect();
        ends.insert(key, number);
        planner.apply_report(key, now, &worker_report(running_here.collect(), ended_here));
    }
    active.retain(|(.., end)| *end > now);
}

/// Returns the `count` jobs that arrive in the tick at `now`: single tasks and, for a tenth, gangs.
fn mix(now: Duration, count: u128) -> Vec<JobSpec> {
    let first = now.as_millis() / TICK.as_millis() * count;
    let gangs = (first..first + count).map(|number| number % 10 == 9);
    gangs
        .map(|is_gang| if is_gang { gang() } else { single() })
        .collect()
}

/// Returns the same until 30 s, and nothing after that.
fn burst(count: u128) -> impl Fn(Duration) -> Vec<JobSpec> {
    move |now| {
        mix(
            now,
            if now < Duration::from_secs(30) {
                count
            } else {
                0
            },
        )
    }
}

/// Guards against jobs that are accepted and done too late for their callers: for 30 s, 2.5 times as
/// many jobs arrive as the pool can do.
#[test]
fn a_burst_on_a_full_pool_leaves_few_accepted_jobs_useless() {
    // 40 cores, and 102 core-seconds of work a second.
    let burst = burst(6);
    let objective = Demand::new(&single()).objective;

    let without = replay(false, 10, 0, 60, &burst);
    let with = replay(true, 10, 0, 60, &burst);

    let share = |outcomes: &Outcomes| outcomes.useless(objective) * 100 / outcomes.done.len();
    println!(
        "gangs {:?} {:?}, useless: {} of {} without, {} in time; {} of {} with {} rejected, {} in time",
        without.gangs,
        with.gangs,
        without.useless(objective),
        without.done.len(),
        without.in_time(objective),
        with.useless(objective),
        with.done.len(),
        with.rejected.len(),
        with.in_time(objective)
    );
    assert!(share(&without) > 20, "the load is too light");
    assert!(share(&with) * 3 < share(&without));
    assert!(with.in_time(objective) > without.in_time(objective));
    assert_eq!(with.with_room, 0, "rejected while a worker had room");
    assert!(!with.rejected.is_empty());
}

/// Guards against a forecast that assumes workers which have left: half of them leave in the middle.
#[test]
fn half_of_the_workers_may_leave() {
    let load = |now: Duration| mix(now, if now < Duration::from_secs(50) { 2 } else { 0 });
    let objective = Demand::new(&single()).objective;

    let without = replay(false, 10, 6, 60, load);
    let with = replay(true, 10, 6, 60, load);

    println!(
        "gangs {:?} {:?}, useless: {} of {} without, {} in time; {} of {} with {} rejected, {} in time",
        without.gangs,
        with.gangs,
        without.useless(objective),
        without.done.len(),
        without.in_time(objective),
        with.useless(objective),
        with.done.len(),
        with.rejected.len(),
        with.in_time(objective)
    );
    assert!(with.useless(objective) * 2 < without.useless(objective));
}

/// Creates a forecast of one pool without free processors, where a new job of priority 0 waits for
/// `wait` and a late one for `late` seconds.
fn forecast(wait: u64, late: u64) -> Forecast {
    let level = Level {
        priority: 0,
        single: Flow {
            ahead: wait * 1000,
            rate: 1000,
            late: late * 1000,
            late_rate: 1000,
        },
        ..Level::default()
    };
    Forecast {
        epoch: 1,
        age: Duration::ZERO,
        pools: vec![PoolForecast {
            service: "desk".to_owned(),
            free: vec![0; 6],
            levels: vec![level],
        }],
    }
}

fn decide(forecast: &Forecast, job: &JobSpec) -> Admission {
    job::decide(Some(forecast), Duration::ZERO, &Demand::new(job))
}

#[test]
fn a_job_that_would_be_useless_is_rejected() {
    // The objective of a single task is 3 s, so that its result has value for 9 s.
    let admission = decide(&forecast(5, 40), &single());

    let rejected = Admission::Reject {
        expected: Duration::from_secs(41),
        limit: Duration::from_secs(9),
        retry_after: job::MAX_RETRY,
    };
    assert_eq!(admission, rejected);
}

/// Guards against rejections that one wrong estimate causes: a job that can be in time, or late but
/// still of value, is accepted.
#[test]
fn a_job_that_may_be_useful_is_accepted() {
    for (wait, late) in [(2, 1000), (5, 17)] {
        let admission = decide(&forecast(wait, late), &single());

        assert_eq!(admission, Admission::Accept, "{wait} {late}");
    }
}

/// Guards against rejections by a forecast that may not hold any more, as after the death of its owner.
#[test]
fn without_a_recent_forecast_all_jobs_are_accepted() {
    let forecast = forecast(5, 40);
    let demand = Demand::new(&single());
    let old = MAX_FORECAST_AGE + Duration::from_millis(1);

    let by_old = job::decide(Some(&forecast), old, &demand);
    let by_none = job::decide(None, Duration::ZERO, &demand);

    assert_eq!((by_old, by_none), (Admission::Accept, Admission::Accept));
}

/// Guards against rejections by the waiting work of other workers, or of less urgent queues.
#[test]
fn only_work_that_is_served_before_a_job_counts() {
    let mut elsewhere = single();
    elsewhere.queue.service = "other".to_owned();
    let mut less_urgent = forecast(5, 40);
    less_urgent.pools[0].levels[0].priority = 1;

    let of_other = decide(&forecast(5, 40), &elsewhere);
    let of_urgent = decide(&less_urgent, &single());

    assert_eq!(
        (of_other, of_urgent),
        (Admission::Accept, Admission::Accept)
    );
}

/// Guards against a host that rejects jobs while a pool has room for them, whatever else the forecast
/// says.
#[test]
fn no_job_is_rejected_while_its_room_is_idle() {
    bolero::check!()
        .with_type::<(u64, u64, u64, u64, u8, u8)>()
        .for_each(|&(ahead, rate, late, late_rate, size, count)| {
            let mut forecast = forecast(0, 0);
            let pool = &mut forecast.pools[0];
            pool.levels[0].gang = Flow {
                ahead,
                rate,
                late,
                late_rate,
            };
            let mut step = step(u32::from(count).max(1));
            step.need.cpu = u64::from(size) * 100;
            step.gang = true;
            let room = step.need.cpu.max(1) * u64::from(step.count);
            let cores = step.need.cpu.div_ceil(1000).max(1).next_power_of_two();
            for (class, free) in pool.free.iter_mut().enumerate() {
                *free = if 1 << class <= cores { room } else { 0 };
            }

            assert_eq!(decide(&forecast, &spec(vec![step])), Admission::Accept);
        });
}

/// Guards against planners that plan otherwise because of the forecast: the starts of a burst are the
/// same with the mechanism and without it.
#[test]
fn a_forecast_changes_no_command() {
    let commands = [false, true].map(|admission| {
        let mut planner = planner(admission);
        for at in 0..3 {
            add_claimed(&mut planner, &format!("w{at}"));
        }
        let mut commands = Vec::new();
        for tick in 1..40 {
            planner.advance(TICK * tick);
            for (id, job) in (0..).zip(mix(TICK * tick, 5)) {
                planner.add_job(u64::from(tick) * 100 + id, job, None, false);
            }
            planner.plan();
            commands.extend(planner.take_commands());
        }
        commands
    });

    assert!(!commands[0].is_empty());
    assert_eq!(commands[0], commands[1]);
}

/// Guards against a forecast that is off by more than the factor that a rejection allows for: the wait
/// of each job that was accepted, against what it then was.
#[test]
fn most_forecasts_are_right_within_a_factor_of_two() {
    let outcomes = replay(true, 10, 0, 60, burst(6));

    let mut errors: Vec<f64> = outcomes
        .expected
        .iter()
        .filter_map(|(id, expected)| {
            let done = outcomes.done.get(id).copied().flatten()?;
            Some(done.as_secs_f64() / expected.as_secs_f64())
        })
        .collect();
    errors.sort_by(f64::total_cmp);
    let percentile = |share: usize| errors[errors.len() * share / 100];
    println!(
        "done / expected of {}: {:.2} {:.2} {:.2} {:.2}",
        errors.len(),
        percentile(10),
        percentile(50),
        percentile(90),
        percentile(99)
    );
    assert!(percentile(50) < 2.0 && percentile(50) > 0.5);
    assert!(percentile(90) < 4.0);
}
