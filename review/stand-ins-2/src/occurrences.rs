//! Case: the process that gives the orders is killed while occurrences of a job overlap.

use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::record::Record;
use crate::site::PREFIX;
use crate::site::Site;
use crate::site::Size;
use crate::twice;

/// The job: one task of 1 s every 0.25 s, for 15 s.
const OCCURRENCES: u32 = 60;
const INTERVAL: Duration = Duration::from_millis(250);
const WORK: Duration = Duration::from_millis(1000);

/// When the leader is killed, after the first occurrence.
const KILL: Duration = Duration::from_secs(6);

/// Time after the last occurrence until the runs are judged.
const SETTLE: Duration = Duration::from_secs(14);

const JOB: &str = "5c0e7a21d94b36f8";

/// Runs the case; returns the starts that break TWICE.
pub fn run(trouble: bool, record: Record) -> Result<Vec<String>, String> {
    let size = Size {
        processes: 4,
        workers: 6,
        pools: 1,
        capacity: (16_000, 65_536),
    };
    let mut site = Site::start(&size, record)?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(|error| error.to_string())?;
    let first = site.record.now() + Duration::from_secs(1);
    let body = format!(
        "{{\"spec\":\"ms={}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\
         \"estimate_ms\":{}}}],\"repeat_count\":{OCCURRENCES},\"start_at_ms\":{},\
         \"interval_ms\":{}}}",
        WORK.as_millis(),
        WORK.as_millis(),
        (now + Duration::from_secs(1)).as_millis(),
        INTERVAL.as_millis()
    );
    let answer = site.call("POST", &format!("{PREFIX}{JOB}"), &body, 4);
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("the job was not accepted".to_owned());
    }
    thread::sleep((first + KILL).saturating_sub(site.record.now()));
    if trouble {
        site.kill_leader()?;
    }
    let end = first + INTERVAL * OCCURRENCES + SETTLE;
    thread::sleep(end.saturating_sub(site.record.now()));
    let state = site.state(JOB);
    let runs = site.runs();
    let total: usize = runs.values().map(Vec::len).sum();
    site.record.line(format!(
        "judged: state {state}, {} tasks of {OCCURRENCES} ran, {total} runs",
        runs.len()
    ));
    Ok(twice::violations(&runs))
}
