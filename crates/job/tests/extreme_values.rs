//! Numbers that are too large for sums, from callers, the configuration, workers and stored rows. They
//! must not end the planner, nor keep sound work from starting.

mod support;

use std::time::Duration;

use job::Advice;
use job::FreeHelpers;
use job::JobId;
use job::JobSpec;
use job::JobStatus;
use job::LearntSpeed;
use job::LearntState;
use job::LearntUsage;
use job::Mechanism;
use job::Planner;
use job::Policy;
use job::Resources;
use job::RunEnd;
use job::Schedule;
use job::StepSpec;
use job::Switches;
use job::Ticket;
use job::WorkerInfo;
use job::WorkerReport;
use support::add_claimed;
use support::config;
use support::ended;
use support::organisation;
use support::plan_at;
use support::running;
use support::spec;
use support::spec_of;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// A change of a sound job, and its name.
type Change = (&'static str, fn(&mut JobSpec));

const HUGE: Resources = Resources {
    cpu: u64::MAX,
    memory: u64::MAX,
    gpu: u64::MAX,
};

fn schedule(first: Duration, interval: Duration) -> Schedule {
    Schedule {
        rounds: u32::MAX,
        first,
        interval,
    }
}

fn advice(time: Duration) -> Advice {
    Advice {
        fixed: time,
        each: time,
        valid: time,
    }
}

const CHANGES: [Change; 20] = [
    ("estimate", |job| job.steps[0].estimate = Duration::MAX),
    ("estimates of a chain", |job| {
        job.steps.push(StepSpec {
            after: vec![0],
            ..step(1)
        });
        for step in &mut job.steps {
            step.estimate = Duration::MAX / 2 + Duration::from_secs(1);
        }
    }),
    ("slack", |job| job.queue.slack = Duration::MAX),
    ("timeout", |job| job.queue.timeout = Duration::MAX),
    ("stretch", |job| job.queue.stretch = f64::MAX),
    ("infinite stretch", |job| job.queue.stretch = f64::INFINITY),
    ("undefined stretch", |job| job.queue.stretch = f64::NAN),
    ("negative stretch", |job| job.queue.stretch = -1.0),
    ("received", |job| job.received = Duration::MAX),
    ("first round", |job| {
        job.schedule = Some(schedule(Duration::MAX, Duration::ZERO));
    }),
    ("interval", |job| {
        job.schedule = Some(schedule(Duration::ZERO, Duration::MAX));
    }),
    ("no interval", |job| {
        job.schedule = Some(schedule(Duration::ZERO, Duration::ZERO));
        job.schedule.as_mut().expect("schedule").rounds = 100;
    }),
    ("need", |job| job.steps[0].need = HUGE),
    ("need of a gang", |job| {
        job.steps[0].need = HUGE;
        job.steps[0].gang = true;
    }),
    ("need of a filler", |job| {
        job.steps[0].need = HUGE;
        job.steps[0].filler = true;
    }),
    ("no need", |job| job.steps[0].need = Resources::default()),
    ("gang without need", |job| {
        job.steps[0].need = Resources::default();
        job.steps[0].gang = true;
    }),
    ("advice", |job| {
        job.queue.advice = Some(advice(Duration::MAX));
    }),
    ("advice on a gang without need", |job| {
        job.queue.advice = Some(advice(Duration::ZERO));
        job.steps[0].need = Resources::default();
        job.steps[0].gang = true;
    }),
    ("lasting task", |job| {
        job.steps[0].long_running = true;
        job.steps[0].estimate = Duration::MAX;
    }),
];

/// Job of which a sound task must start and be done beside the others.
const SOUND: JobId = 0xffff;

/// Creates a planner with all mechanisms enabled.
fn any_planner() -> Planner {
    let mechanisms: Vec<Mechanism> = Mechanism::all().collect();
    let policy = Policy {
        switches: Switches::enabling(&mechanisms),
        ..Policy::default()
    };
    Planner::new(policy, 1, Duration::ZERO, Duration::ZERO)
}

/// Makes an advice call of the planner; all workers may run the step.
fn advise(planner: &mut Planner) {
    let Some(request) = planner.next_advice_request(FreeHelpers::Most) else {
        return;
    };
    let tickets = request.workers.iter().map(|worker| Ticket {
        worker: worker.clone(),
        text: "ticket".to_owned(),
    });
    let tickets: Vec<Ticket> = tickets.collect();
    planner.handle_advice(request.step, &request.workers, &tickets, Duration::MAX);
}

/// Lets all mechanisms of a planner work for some minutes. A sound job is submitted, which only a sound
/// worker may run, and has to be done.
fn work(planner: &mut Planner) {
    let mut info = worker("sound");
    info.labels = vec!["sound".to_owned()];
    let key = planner.register_worker(info).expect("new worker");
    planner.apply_report(key, Duration::ZERO, &WorkerReport::default());
    let mut sound = spec(vec![step(1)]);
    "sound".clone_into(&mut sound.steps[0].label);
    planner.add_job(SOUND, sound, None, false);
    let task = task(SOUND, 0, 0);
    let mut run = None;
    for second in 1..200 {
        for (started, number, at) in plan_at(planner, second * 1000) {
            if started == task && at == key {
                run = Some(number);
            }
        }
        let report = match run {
            Some(run) if second > 150 => {
                worker_report(vec![], vec![ended(1, task, run, RunEnd::Done)])
            }
            Some(run) => worker_report(vec![running(task, run)], vec![]),
            None => worker_report(vec![], vec![]),
        };
        planner.apply_report(key, Duration::from_secs(second), &report);
        advise(planner);
        let batch = planner.take_batch(100);
        planner.batch_saved(&batch);
        let _ = (planner.load(), planner.forecast(1), planner.pool_speeds());
        let _ = (planner.learnt_state(), planner.largest_use());
    }
    let status = planner.job_status(SOUND);
    assert_eq!(status, Some(JobStatus::Completed));
}

/// Guards against a job with a number that overflows a sum, which ended the task of each owner of the
/// pool in turn.
#[test]
fn extreme_numbers_of_a_job_do_not_end_the_planner() {
    for old in [false, true] {
        for (name, change) in CHANGES {
            println!("{name}, of a former owner: {old}");
            let mut planner = any_planner();
            add_claimed(&mut planner, "w1");
            add_claimed(&mut planner, "w2");
            let mut job = spec(vec![step(3)]);
            change(&mut job);
            for step in &mut job.steps {
                "a".clone_into(&mut step.label);
            }

            planner.add_job(1, job.clone(), None, old);
            planner.add_job(2, job.clone(), None, old);

            work(&mut planner);
        }
    }
}

/// Guards against the same with a worker whose registration states such a number.
#[test]
fn extreme_capacities_do_not_end_the_planner() {
    let few = Resources {
        cpu: u64::MAX,
        ..Resources::default()
    };
    for capacity in [HUGE, few, Resources::default()] {
        println!("{capacity:?}");
        let mut planner = any_planner();
        for id in ["w1", "w2", "w3"] {
            let info = WorkerInfo {
                capacity,
                remaining: Some(Duration::MAX),
                draining: id == "w3",
                ..worker(id)
            };
            let key = planner.register_worker(info).expect("new worker");
            planner.apply_report(key, Duration::ZERO, &WorkerReport::default());
        }
        planner.add_job(1, spec(vec![step(3)]), None, false);
        let gang = StepSpec {
            gang: true,
            ..step(3)
        };
        planner.add_job(2, spec(vec![gang]), None, false);

        work(&mut planner);
    }
}

/// Guards against the same with an organisation of the configuration.
#[test]
fn extreme_weights_and_limits_do_not_end_the_planner() {
    for weight in [f64::MAX, f64::INFINITY, f64::NAN, -1.0, 0.0] {
        println!("{weight}");
        let mut planner = any_planner();
        add_claimed(&mut planner, "w1");
        let mut odd = organisation("odd", u64::MAX);
        odd.weight = weight;
        let mut job = spec_of("odd", u64::MAX, vec![step(3)]);
        job.organisation = Some(odd.clone());
        planner.configure(&config(1, vec![odd, organisation("stores", 0)]));

        planner.add_job(1, job, None, false);
        planner.add_job(2, spec_of("stores", 0, vec![step(3)]), None, false);

        work(&mut planner);
    }
}

/// Guards against the same with what a former owner has learnt.
#[test]
fn extreme_learnt_values_do_not_end_the_planner() {
    for log_factor in [i16::MIN, i16::MAX] {
        let mut planner = any_planner();
        let speeds = ["w1", "w2", "sound"].map(|id| LearntSpeed {
            worker: id.to_owned(),
            incarnation: Some(7),
            log_factor,
            weight: u8::MAX,
        });
        let usage = ["odd", "stores"].map(|name| LearntUsage {
            organisation: name.to_owned(),
            work: u64::MAX,
        });
        planner.restore_learnt_state(&LearntState {
            speeds: speeds.to_vec(),
            usage: usage.to_vec(),
        });
        for id in ["w1", "w2"] {
            let info = WorkerInfo {
                incarnation: Some(7),
                ..worker(id)
            };
            let key = planner.register_worker(info).expect("new worker");
            let report = WorkerReport {
                incarnation: Some(7),
                ..WorkerReport::default()
            };
            planner.apply_report(key, Duration::ZERO, &report);
        }
        planner.configure(&config(
            1,
            vec![organisation("odd", 0), organisation("stores", 0)],
        ));

        planner.add_job(1, spec_of("odd", 0, vec![step(9)]), None, false);
        planner.add_job(2, spec_of("stores", 0, vec![step(9)]), None, false);

        work(&mut planner);
    }
}

/// Guards against the same with a report of a worker.
#[test]
fn extreme_numbers_of_a_report_do_not_end_the_planner() {
    let mut planner = any_planner();
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(1, spec(vec![step(3)]), None, false);
    plan_at(&mut planner, 10);
    let report = WorkerReport {
        clock: Duration::from_millis(u64::MAX),
        ..worker_report(
            vec![
                running(task(1, 0, 0), u64::MAX),
                running(task(9, 0, 0), u64::MAX),
            ],
            vec![
                ended(u64::MAX - 1, task(1, 0, 1), u64::MAX, RunEnd::Failed),
                ended(u64::MAX, task(1, 0, 2), u64::MAX, RunEnd::Stopped),
            ],
        )
    };

    planner.apply_report(key, Duration::from_millis(20), &report);

    work(&mut planner);
}
