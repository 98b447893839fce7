//! Cases: a gang that fits into an empty pool, but not beside the tasks that last; the other jobs go
//! to the same pool, or to another one.

use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site::PREFIXES;
use crate::site::SERVICES;
use crate::site::Site;
use crate::site::Size;

/// Capacity of a worker in thousandths of a core, and how many workers there are.
const CPU: u64 = 16_000;
const WORKERS: usize = 4;

/// What a member of the gang needs, and a task that lasts; at most 7.6 cores in the site file. Three
/// members fit on an empty worker, and two beside a task that lasts.
const LARGE_CPU: u64 = 5_300;
const MEMBERS: usize = 3 * WORKERS;

/// The other jobs, of one task each, with the means of `bin-check` in the site file.
const JOBS: u64 = 30;
const JOB_CPU: u64 = 1_400;
const JOB_TIME: Duration = Duration::from_millis(1000);
const GAP: Duration = Duration::from_millis(1500);

const LASTING_JOB: &str = "5c0e7a21d94bffff";
const GANG_JOB: &str = "5c0e7a21d94beeee";

/// `finish_s`: time after the end of the traffic from which on the rule holds, and the 3 s of LOST.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Time after that, so that a task which started late could still end.
const SLACK: Duration = Duration::from_secs(5);

/// Runs the case with the small jobs in the same pool as the gang, or in a second one; returns the
/// jobs that break LOST.
pub fn run(pools: usize, trouble: bool, record: Record) -> Result<Vec<String>, String> {
    let size = Size {
        processes: 4,
        workers: pools * WORKERS,
        pools,
        capacity: (CPU, 65_536),
    };
    let site = Site::start(&size, record)?;
    let prefix = PREFIXES[pools - 1];
    let lasting = body(
        "lasts",
        WORKERS,
        LARGE_CPU,
        5000,
        ",\"long_running\":true,\"anti_affinity\":1",
    );
    site.submit(LASTING_JOB, &lasting)?;
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let gang = body("ms=5000", MEMBERS, LARGE_CPU, 5000, ",\"gang\":true");
        site.submit(GANG_JOB, &gang)?;
    }
    let time = JOB_TIME.as_millis();
    let small = body(&format!("ms={time}"), 1, JOB_CPU, time, "");
    let ids = (0..JOBS).map(|job| format!("{:016x}", 0x5c0e_7a21_0000 + job));
    let ids: Vec<String> = ids.collect();
    for id in &ids {
        site.submit_to(prefix, id, &small)?;
        thread::sleep(GAP);
    }
    site.record.line("client: end of the traffic");
    thread::sleep(FINISH + IDLE + SLACK);
    judge(&site, pools, &ids)
}

fn body(spec: &str, count: usize, cpu: u64, estimate: u128, more: &str) -> String {
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\
         \"mem_mb\":2900,\"estimate_ms\":{estimate}{more}}}]}}"
    )
}

/// Returns the small jobs that have never run, if the rule's excuses don't hold.
fn judge(site: &Site, pools: usize, ids: &[String]) -> Result<Vec<String>, String> {
    let runs = site.runs();
    let cpu = |task: &str| {
        if ids.iter().any(|id| task.starts_with(id)) {
            JOB_CPU
        } else {
            LARGE_CPU
        }
    };
    let (share, room) = site.use_of(SERVICES[pools - 1], cpu);
    site.record.line(format!(
        "judged: share in use {share:.2}, largest room {room}"
    ));
    if share >= 0.5 || room < 2 * JOB_CPU {
        return Err("the service has no room, or half of it is in use".to_owned());
    }
    let mut broken = Vec::new();
    for id in ids {
        let state = site.state_in(PREFIXES[pools - 1], id);
        if !runs.contains_key(&format!("{id}.0.0.0")) {
            broken.push(format!("job {id} is {state}, and its task has never run"));
        }
    }
    Ok(broken)
}
