//! Case: a gang that fits into an empty pool, but not beside the tasks that last.

use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::site::Size;

/// Capacity of a worker in thousandths of a core, and how many workers there are.
const CPU: u64 = 16_000;
const WORKERS: usize = 4;

/// The tasks that last: one on each worker.
const LASTING_CPU: u64 = 6_000;

/// The gang: as many members as workers. A member fits on an empty worker only.
const GANG_CPU: u64 = 12_000;

/// The other jobs, of one task each.
const JOBS: u64 = 40;
const JOB_CPU: u64 = 1_000;
const JOB_TIME: Duration = Duration::from_millis(500);
const GAP: Duration = Duration::from_millis(500);

/// `finish_s`: time after the end of the traffic from which on the rule holds, and the 3 s of LOST.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Time after that, so that a task which started late could still end.
const SLACK: Duration = Duration::from_secs(5);

/// Runs the case; returns the jobs that break LOST.
pub fn run(trouble: bool, record: Record) -> Result<Vec<String>, String> {
    let size = Size {
        processes: 4,
        workers: WORKERS,
        pools: 1,
        capacity: (CPU, 65_536),
    };
    let site = Site::start(&size, record)?;
    let lasting = format!(
        "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":{WORKERS},\"cpu\":{LASTING_CPU},\
         \"mem_mb\":512,\"estimate_ms\":60000,\"long_running\":true,\"anti_affinity\":1}}]}}"
    );
    site.submit("5c0e7a21d94bffff", &lasting)?;
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let gang = format!(
            "{{\"spec\":\"ms=2000\",\"steps\":[{{\"count\":{WORKERS},\"cpu\":{GANG_CPU},\
             \"mem_mb\":512,\"estimate_ms\":2000,\"gang\":true}}]}}"
        );
        site.submit("5c0e7a21d94beeee", &gang)?;
    }
    let time = JOB_TIME.as_millis();
    let body = format!(
        "{{\"spec\":\"ms={time}\",\"steps\":[{{\"count\":1,\"cpu\":{JOB_CPU},\"mem_mb\":512,\
         \"estimate_ms\":{time}}}]}}"
    );
    let ids: Vec<String> = (0..JOBS)
        .map(|job| format!("{:016x}", 0x5c0e_7a21_0000 + job))
        .collect();
    for id in &ids {
        site.submit(id, &body)?;
        thread::sleep(GAP);
    }
    site.record.line("client: end of the traffic");
    thread::sleep(FINISH + IDLE + SLACK);
    let runs = site.runs();
    let running = runs.values().flatten().filter(|run| run.ended.is_none());
    let running = running.count();
    site.record.line(format!(
        "judged: {running} tasks run, of {LASTING_CPU} thousandths of a core"
    ));
    let mut broken = Vec::new();
    for id in &ids {
        let state = site.state(id);
        if !runs.contains_key(&format!("{id}.0.0.0")) {
            broken.push(format!(
                "job {id} is {state}, and none of its tasks has ever run"
            ));
        }
    }
    Ok(broken)
}
