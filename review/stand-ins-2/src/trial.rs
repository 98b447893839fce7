//! Case: two workers crash, one after the other, in a pool with tasks that last on every worker.

use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site::SERVICES;
use crate::site::Site;
use crate::site::Size;

/// Capacity of a worker in thousandths of a core, and how many workers there are.
const CPU: u64 = 16_000;
const WORKERS: usize = 8;

/// The tasks that last: at most three on one worker, so that there are some on each.
const LASTING_TASKS: usize = 16;
const LASTING_CPU: u64 = 500;
const MOST_ON_A_WORKER: u64 = 3;

/// The other jobs, of one task each, with the mean `cpu` and the longest `work_ms` of the kinds of
/// request in the site file.
const JOBS: usize = 24;
const JOB_CPU: u64 = 980;
const JOB_TIME: Duration = Duration::from_secs(12);

/// When the workers crash, after the last submit.
const CRASHES: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(9)];

/// `finish_s`: time after the end of the traffic from which on the rule holds, and the 3 s of LOST.
/// The traffic counts as ended with the last crash.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Time for a job after that, so that a task which started late could still end.
const SLACK: Duration = Duration::from_secs(10);

const LASTING_JOB: &str = "5c0e7a21d94bffff";

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
        "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":{LASTING_TASKS},\"cpu\":{LASTING_CPU},\
         \"mem_mb\":512,\"estimate_ms\":60000,\"long_running\":true,\
         \"anti_affinity\":{MOST_ON_A_WORKER}}}]}}"
    );
    site.submit(LASTING_JOB, &lasting)?;
    thread::sleep(Duration::from_secs(2));
    let time = JOB_TIME.as_millis();
    let body = format!(
        "{{\"spec\":\"ms={time}\",\"steps\":[{{\"count\":1,\"cpu\":{JOB_CPU},\"mem_mb\":512,\
         \"estimate_ms\":{time}}}]}}"
    );
    let ids: Vec<String> = (0..JOBS)
        .map(|job| format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + job as u64))
        .collect();
    for id in &ids {
        site.submit(id, &body)?;
    }
    let submitted = site.record.now();
    for crash in CRASHES {
        thread::sleep((submitted + crash).saturating_sub(site.record.now()));
        if trouble {
            site.busiest().ok_or("no worker is up")?.crash(&site.store);
        }
    }
    thread::sleep(FINISH + IDLE + SLACK);
    judge(&site, &ids)
}

/// Returns the jobs that have had nothing running for [`IDLE`], though they are not complete.
fn judge(site: &Site, ids: &[String]) -> Result<Vec<String>, String> {
    let now = site.record.now();
    let runs = site.runs();
    let cpu = |task: &str| {
        if task.starts_with(LASTING_JOB) {
            LASTING_CPU
        } else {
            JOB_CPU
        }
    };
    let (share, room) = site.use_of(SERVICES[0], cpu);
    site.record.line(format!(
        "judged: share in use {share:.2}, largest room {room}"
    ));
    if share >= 0.5 || room < 2 * JOB_CPU {
        return Err("the service has no room, or half of it is in use".to_owned());
    }
    let mut broken = Vec::new();
    for id in ids {
        let state = site.state(id);
        let of_job = runs
            .get(&format!("{id}.0.0.0"))
            .map_or(&[][..], Vec::as_slice);
        let Some(last) = of_job.last() else { continue };
        let idle = last
            .ended
            .map_or(Duration::ZERO, |(ended, _)| now.saturating_sub(ended));
        let open = state == "pending" || state == "active";
        if open && idle > IDLE {
            broken.push(format!(
                "job {id} is {state}, and has had nothing running for {:.1} s, since its run {} on {}",
                idle.as_secs_f64(),
                last.run,
                last.worker
            ));
        }
    }
    Ok(broken)
}
