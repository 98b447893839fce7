//! `decide`: decisions per second of the scheduling core on one thread. The core
//! does no I/O. It places jobs on workers in the way that its policy says: on the
//! first worker that fits (`FirstFit`), on the one with the fewest tasks
//! (`LeastLoaded`), or by load and the configuration setting `pack_percent`
//! (`Weighted`; 0 prefers the least loaded worker).

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use model::Class;
use model::Resources;
use sched::Core;
use sched::Decision;
use sched::FirstFit;
use sched::JobSpec;
use sched::LeastLoaded;
use sched::Policy;
use sched::Weighted;

use crate::figures::count;
use crate::figures::new_histogram;
use crate::figures::print;
use crate::sched_core::TEAM;
use crate::sched_core::power_capped_core;

/// Number of decisions in each measurement.
const DECISIONS: usize = 200_000;

/// Returns a scheduling core with workers of 8 slots, in racks of 8, and one team;
/// quota and power are unlimited.
pub(crate) fn core<P: Policy>(policy: P, workers: usize) -> Core<P> {
    let mut core = power_capped_core(policy, u32::MAX, u32::MAX);
    let capacity = Resources {
        cpu_milli: 16_000,
        memory_mib: 65_536,
        accelerators: 1,
        slots: 8,
        power_watts: 800,
    };
    for index in 0..workers {
        core.add_worker(&format!("w{index}"), &format!("r{}", index / 8), capacity);
    }
    core
}

/// Returns a short interactive job.
pub(crate) fn short_job() -> JobSpec {
    JobSpec {
        team: TEAM.to_owned(),
        class: Class::Interactive,
        needs: Resources {
            cpu_milli: 500,
            memory_mib: 256,
            slots: 1,
            power_watts: 20,
            ..Resources::default()
        },
        members: 1,
        deadline: Duration::from_secs(1000),
        run_time: Duration::from_millis(10),
        avoid: Vec::new(),
    }
}

/// Measures decisions on `workers` workers while `running` tasks are running: in
/// each measured decision, one task ends, and another is submitted and placed.
/// Returns the decisions per second, and the 99th percentile of the time of a
/// decision in microseconds.
pub(crate) fn measure<P: Policy>(
    policy: P,
    workers: usize,
    running: usize,
    decisions: usize,
) -> (f64, f64) {
    let mut core = core(policy, workers);
    let now = Duration::from_secs(1);
    let mut placed = std::collections::VecDeque::new();
    let mut durations: Histogram<u64> = new_histogram();
    let mut total = Duration::ZERO;
    for number in 0..running + decisions {
        let start = Instant::now();
        if number >= running
            && let Some((job, worker)) = placed.pop_front()
        {
            core.release(job, worker);
        }
        core.submit(now, short_job())
            .expect("queue of the team is full");
        for decision in core.decide(now) {
            if let Decision::Start { job, workers } = decision {
                placed.push_back((job, workers[0]));
            }
        }
        if number >= running {
            let took = start.elapsed();
            total += took;
            durations.saturating_record(u64::try_from(took.as_nanos()).unwrap_or(u64::MAX));
        }
    }
    let p99 = Duration::from_nanos(durations.value_at_quantile(0.99));
    (
        count(decisions) / total.as_secs_f64(),
        p99.as_secs_f64() * 1e6,
    )
}

/// Measures every policy with two numbers of workers.
pub(crate) fn run() {
    for (workers, running) in [(48, 200), (3400, 12_000)] {
        let weighted = Weighted { pack_percent: 0 };
        report(
            "weighted",
            workers,
            measure(weighted, workers, running, DECISIONS),
        );
        report(
            "first_fit",
            workers,
            measure(FirstFit, workers, running, DECISIONS),
        );
        report(
            "least_loaded",
            workers,
            measure(LeastLoaded, workers, running, DECISIONS),
        );
    }
}

/// Prints the result of one measurement.
fn report(policy: &str, workers: usize, (rate, p99): (f64, f64)) {
    print(&format!("decide.{workers}.{policy}"), rate, "decisions/s");
    print(&format!("decide.{workers}.{policy}.p99"), p99, "us");
}
