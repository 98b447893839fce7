//! `plan`: time of one round of the planner of a worker pool in which all workers
//! are full and steps of jobs wait for free capacity. The planner decides without
//! I/O. A round is one call of [`Planner::plan`].

use std::time::Duration;
use std::time::Instant;

use job::Advice;
use job::FreeHelpers;
use job::JobSpec;
use job::Planner;
use job::Policy;
use job::Queue;
use job::Resources;
use job::StepSpec;
use job::Ticket;
use job::WorkerInfo;
use job::WorkerReport;

use crate::figures::print;

/// Number of rounds in each measurement.
const ROUNDS: u32 = 200;

/// Time between two rounds; the shortest interval at which the owner of a pool plans.
const ROUND_INTERVAL: Duration = Duration::from_millis(4);

/// Returns a queue whose steps need advice: a call to an external service that names
/// the workers on which a step may run and returns a ticket for each of them. Priority
/// 0 is the most urgent.
fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: format!("/{name}/"),
        service: "desk".to_owned(),
        priority,
        attempts: 4,
        // A job should end within 4 times the run time of its longest chain of
        // dependent steps, plus 3 s.
        stretch: 4.0,
        slack: Duration::from_secs(3),
        timeout: Duration::from_secs(3),
        // A call takes 82 ms, and 1 ms for each worker in it; tickets are valid for
        // 1.5 s.
        advice: Some(Advice {
            fixed: Duration::from_millis(82),
            each: Duration::from_millis(1),
            valid: Duration::from_millis(1500),
        }),
        public: true,
    }
}

/// Returns the planner of a full pool in which `waiting` jobs of one step wait. Each
/// step has tickets for a quarter of the workers, none of which has free capacity;
/// a fifth of the steps are gangs.
fn full_pool(workers: usize, waiting: u64) -> Planner {
    // The owner of epoch 1 takes the pool over at time 0, which is 1970 on the wall
    // clock.
    let mut planner = Planner::new(Policy::default(), 1, Duration::ZERO, Duration::ZERO);
    for index in 0..workers {
        let info = WorkerInfo {
            id: format!("worker-{index:04}"),
            incarnation: None,
            service: "desk".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            capacity: resources(16_000, 64_000),
            labels: vec!["a".to_owned()],
            draining: false,
            remaining: None,
        };
        let key = planner
            .register_worker(info)
            .expect("worker is registered twice");
        planner.apply_report(key, Duration::ZERO, &WorkerReport::default());
    }
    // Five tasks of 3 cores on each worker leave 1 of its 16 cores free, which is
    // less than the 1.5 cores of a waiting task.
    let filler_tasks = u32::try_from(workers).unwrap_or(u32::MAX) * 5;
    let mut filler_queue = queue("filling", 0);
    filler_queue.advice = None;
    // New jobs have no saved progress, and no former owner may have started them.
    planner.add_job(
        0,
        spec(filler_queue, filler_tasks, 3_000, false),
        None,
        false,
    );
    planner.plan();
    for id in 1..=waiting {
        let gang = id.is_multiple_of(5);
        let queue = queue("waiting", if gang { 1 } else { 2 });
        planner.add_job(id, spec(queue, 10, 1_500, gang), None, false);
        // `round` is the repetition of the job, not a round of the planner.
        let step = job::StepKey {
            job: id,
            round: 0,
            step: 0,
        };
        let offset = usize::try_from(id).unwrap_or(0);
        let candidates = (0..workers).filter(|index| (index + offset).is_multiple_of(4));
        let candidate_ids: Vec<String> = candidates
            .map(|index| format!("worker-{index:04}"))
            .collect();
        let tickets: Vec<Ticket> = candidate_ids
            .iter()
            .map(|worker| Ticket {
                worker: worker.clone(),
                text: "ticket".to_owned(),
            })
            .collect();
        // The tickets must not expire during the measurement.
        let valid_until = Duration::from_mins(10);
        planner.handle_advice(step, &candidate_ids, &tickets, valid_until);
    }
    // The start commands of the filler tasks are dropped: no worker runs them.
    planner.take_commands();
    planner
}

/// Returns resources without accelerators; `cpu` is in thousandths of a core,
/// `memory` in megabytes.
fn resources(cpu: u64, memory: u64) -> Resources {
    Resources {
        cpu,
        memory,
        gpu: 0,
    }
}

/// Returns a job of one step with `count` tasks, each of which needs `cpu`
/// thousandths of a core.
fn spec(queue: Queue, count: u32, cpu: u64, gang: bool) -> JobSpec {
    let step = StepSpec {
        count,
        need: resources(cpu, 1_000),
        estimate: Duration::from_secs(3),
        gang,
        ..StepSpec::default()
    };
    JobSpec {
        queue,
        payload: String::new(),
        steps: vec![step],
        schedule: None,
        received: Duration::ZERO,
        canceled: false,
        organisation: None,
    }
}

/// Prints the mean time of a planning round, and of a search for the step for which
/// advice is requested next.
pub(crate) fn run() {
    for (workers, waiting) in [(48, 20), (48, 200), (350, 50), (350, 300)] {
        let mut planner = full_pool(workers, waiting);
        let mut now = Duration::from_secs(1);
        let start = Instant::now();
        for _ in 0..ROUNDS {
            now += ROUND_INTERVAL;
            planner.advance(now);
            planner.plan();
        }
        let round = start.elapsed() / ROUNDS;
        let start = Instant::now();
        for _ in 0..ROUNDS {
            // Helpers are processes that make the advice calls for the owner. With
            // `Some` of them free, each step may have one call at a time. The planner
            // ranks the waiting steps in the first search only, because its time does
            // not advance here; each search takes steps from the ranked list, and finds
            // none once the list is empty.
            planner.next_advice_request(FreeHelpers::Some);
        }
        let search = start.elapsed() / ROUNDS;
        let name = format!("plan.{workers}x{waiting}");
        print(&format!("{name}.round"), round.as_secs_f64() * 1e6, "us");
        print(&format!("{name}.ask"), search.as_secs_f64() * 1e6, "us");
    }
}
