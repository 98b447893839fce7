//! Case: a gang waits for room in one pool while another pool is empty.

use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site::SECOND_PREFIX;
use crate::site::Site;
use crate::site::Size;

/// Capacity of a worker in thousandths of a core, and workers of each of the two pools.
const CPU: u64 = 16_000;
const WORKERS: usize = 4;

/// The work in the first pool: one long task on each worker, and a gang that has to wait for it.
const LONG_CPU: u64 = 10_000;
const LONG_TIME: Duration = Duration::from_secs(60);
const GANG_CPU: u64 = 14_000;

/// The jobs of the second pool, of one task each.
const JOBS: u64 = 40;
const JOB_CPU: u64 = 4_500;
const JOB_TIME: Duration = Duration::from_millis(500);
const GAP: Duration = Duration::from_millis(500);

/// `finish_s`: time after the end of the traffic from which on the rule holds, and the 3 s of LOST.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Time after that, so that a task which started late could still end.
const SLACK: Duration = Duration::from_secs(5);

fn body(count: usize, cpu: u64, time: Duration, more: &str) -> String {
    let time = time.as_millis();
    format!(
        "{{\"spec\":\"ms={time}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\
         \"mem_mb\":512,\"estimate_ms\":{time}{more}}}]}}"
    )
}

/// Runs the case; returns the jobs that break LOST.
pub fn run(trouble: bool, record: Record) -> Result<Vec<String>, String> {
    let size = Size {
        processes: 4,
        workers: 2 * WORKERS,
        pools: 2,
        capacity: (CPU, 65_536),
    };
    let site = Site::start(&size, record)?;
    let long = body(WORKERS, LONG_CPU, LONG_TIME, ",\"anti_affinity\":1");
    site.submit("5c0e7a21d94bffff", &long)?;
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let gang = body(WORKERS, GANG_CPU, Duration::from_secs(2), ",\"gang\":true");
        site.submit("5c0e7a21d94beeee", &gang)?;
    }
    let small = body(1, JOB_CPU, JOB_TIME, "");
    let ids = (0..JOBS).map(|job| format!("{:016x}", 0x5c0e_7a21_0000 + job));
    let ids: Vec<String> = ids.collect();
    for id in &ids {
        site.submit_to(SECOND_PREFIX, id, &small)?;
        thread::sleep(GAP);
    }
    site.record.line("client: end of the traffic");
    thread::sleep(FINISH + IDLE + SLACK);
    let runs = site.runs();
    let running = runs.values().flatten().filter(|run| run.ended.is_none());
    let running = running.count();
    site.record.line(format!(
        "judged: {running} tasks run, all in the first pool"
    ));
    let mut broken = Vec::new();
    for id in &ids {
        let state = site.state_in(SECOND_PREFIX, id);
        if !runs.contains_key(&format!("{id}.0.0.0")) {
            broken.push(format!("job {id} is {state}, and its task has never run"));
        }
    }
    Ok(broken)
}
