//! Case: the process that gives the orders is killed while occurrences of a job overlap.

use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::record::Record;
use crate::site::Site;
use crate::site::Size;
use crate::twice;

/// The jobs, with the figures of `bearing-lookup` in the site file: `times`, `every_s`, and `work_ms`
/// up to its `max`. They start evenly spread over one interval.
const JOBS: u32 = 60;
const OCCURRENCES: u32 = 8;
const INTERVAL: Duration = Duration::from_secs(3);
const WORK: &str = "ms=1200-8400";
const ESTIMATE_MS: u64 = 3400;
const CPU: u64 = 980;

/// When the leader is killed, after the first occurrence.
const KILL: Duration = Duration::from_secs(14);

/// Time from the first submit to the first occurrence.
const LEAD: Duration = Duration::from_secs(2);

/// Time after the last occurrence until the runs are judged.
const SETTLE: Duration = Duration::from_secs(14);

/// Runs the case; returns the starts that break TWICE.
pub fn run(trouble: bool, record: Record) -> Result<Vec<String>, String> {
    let size = Size {
        processes: 4,
        workers: 16,
        pools: 1,
        capacity: (16_000, 65_536),
    };
    let mut site = Site::start(&size, record)?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(|error| error.to_string())?;
    let first = site.record.now() + LEAD;
    for job in 0..JOBS {
        let start = now + LEAD + INTERVAL * job / JOBS;
        site.submit(&id(job), &body(start))?;
    }
    thread::sleep((first + KILL).saturating_sub(site.record.now()));
    if trouble {
        site.kill_leader()?;
    }
    let end = first + INTERVAL * (OCCURRENCES + 1) + SETTLE;
    thread::sleep(end.saturating_sub(site.record.now()));
    let runs = site.runs();
    let total: usize = runs.values().map(Vec::len).sum();
    let completed = (0..JOBS).filter(|job| site.state(&id(*job)) == "completed");
    let completed = completed.count();
    site.record.line(format!(
        "judged: {completed} of {JOBS} jobs completed, {} of {} tasks ran, {total} runs",
        runs.len(),
        JOBS * OCCURRENCES
    ));
    Ok(twice::violations(&runs))
}

fn id(job: u32) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000 + u64::from(job))
}

/// The job whose first occurrence is due at `start`, since 1970.
fn body(start: Duration) -> String {
    format!(
        "{{\"spec\":\"{WORK}\",\"steps\":[{{\"count\":1,\"cpu\":{CPU},\"mem_mb\":1024,\
         \"estimate_ms\":{ESTIMATE_MS}}}],\"repeat_count\":{OCCURRENCES},\"start_at_ms\":{},\
         \"interval_ms\":{}}}",
        start.as_millis(),
        INTERVAL.as_millis()
    )
}
