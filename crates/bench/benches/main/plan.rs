//! `plan`: one round of the pool's planner with work that waits.

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

/// Rounds of each measurement.
const ROUNDS: u32 = 200;

/// Time between two rounds.
const ROUND_GAP: Duration = Duration::from_millis(4);

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: format!("/{name}/"),
        service: "desk".to_owned(),
        priority,
        attempts: 4,
        stretch: 4.0,
        slack: Duration::from_secs(3),
        timeout: Duration::from_secs(3),
        advice: Some(Advice {
            fixed: Duration::from_millis(82),
            each: Duration::from_millis(1),
            valid: Duration::from_millis(1500),
        }),
    }
}

/// A full pool with `waiting` steps that have tickets for a quarter of the
/// workers and find no room; a fifth are gangs.
fn pool(workers: usize, waiting: u64) -> Planner {
    let mut planner = Planner::new(Policy::default(), 1, Duration::ZERO, Duration::ZERO);
    for at in 0..workers {
        let info = WorkerInfo {
            id: format!("worker-{at:04}"),
            incarnation: None,
            service: "desk".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            capacity: room(16_000, 64_000),
            labels: vec!["a".to_owned()],
            draining: false,
            remaining: None,
        };
        let key = planner.register_worker(info).expect("new worker");
        planner.apply_report(key, Duration::ZERO, &WorkerReport::default());
    }
    let filling = u32::try_from(workers).unwrap_or(u32::MAX) * 5;
    let mut plain = queue("filling", 0);
    plain.advice = None;
    planner.add_job(0, spec(plain, filling, 3_000, false), None, false);
    planner.plan();
    for id in 1..=waiting {
        let gang = id.is_multiple_of(5);
        let queue = queue("waiting", if gang { 1 } else { 2 });
        planner.add_job(id, spec(queue, 10, 1_500, gang), None, false);
        let step = job::StepKey {
            job: id,
            round: 0,
            step: 0,
        };
        let offset = usize::try_from(id).unwrap_or(0);
        let named = (0..workers).filter(|at| (at + offset).is_multiple_of(4));
        let asked: Vec<String> = named.map(|at| format!("worker-{at:04}")).collect();
        let tickets: Vec<Ticket> = asked
            .iter()
            .map(|worker| Ticket {
                worker: worker.clone(),
                text: "ticket".to_owned(),
            })
            .collect();
        let until = Duration::from_mins(10);
        planner.handle_advice(step, &asked, &tickets, until);
    }
    planner.take_commands();
    planner
}

fn room(cpu: u64, memory: u64) -> Resources {
    Resources {
        cpu,
        memory,
        gpu: 0,
    }
}

fn spec(queue: Queue, count: u32, cpu: u64, gang: bool) -> JobSpec {
    let step = StepSpec {
        count,
        need: room(cpu, 1_000),
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
    }
}

/// Prints the time of a round, and of a search for the next call for advice.
pub(crate) fn run() {
    for (workers, waiting) in [(48, 20), (48, 200), (350, 50), (350, 300)] {
        let mut planner = pool(workers, waiting);
        let mut now = Duration::from_secs(1);
        let begin = Instant::now();
        for _ in 0..ROUNDS {
            now += ROUND_GAP;
            planner.advance(now);
            planner.plan();
        }
        let round = begin.elapsed() / ROUNDS;
        let begin = Instant::now();
        for _ in 0..ROUNDS {
            planner.next_advice_request(FreeHelpers::Some);
        }
        let ask = begin.elapsed() / ROUNDS;
        let name = format!("plan.{workers}x{waiting}");
        print(&format!("{name}.round"), round.as_secs_f64() * 1e6, "us");
        print(&format!("{name}.ask"), ask.as_secs_f64() * 1e6, "us");
    }
}
