//! Case: tasks that last fail now and then, in a pool that runs only such tasks.

use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site::PREFIX;
use crate::site::Site;
use crate::site::Size;

/// Jobs, and tasks of each of them. All tasks together need 26 of 64 cores.
const JOBS: u64 = 8;
const TASKS: u64 = 16;

/// Time from a start until the task fails, in milliseconds.
const FAILS: &str = "fails=15000-90000";

/// How long the pool is observed.
const OBSERVED: Duration = Duration::from_secs(100);

/// LOST holds for each task that lasts from 6 s after its last run, if it has nothing running for
/// 3 s.
const BOUND: Duration = Duration::from_secs(6 + 3);

/// Runs the case; returns the tasks that break LOST.
pub fn run(trouble: bool, record: Record) -> Result<Vec<String>, String> {
    let size = Size {
        processes: 4,
        workers: 4,
        pools: 1,
        capacity: (16_000, 65_536),
    };
    let site = Site::start(&size, record)?;
    let spec = if trouble { FAILS } else { "lasts" };
    let body = format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":200,\"mem_mb\":256,\
         \"estimate_ms\":60000,\"long_running\":true}}]}}"
    );
    for job in 0..JOBS {
        let path = format!("{PREFIX}{:016x}", 0x5c0e_7a21_d94b_0000 + job);
        if site
            .call("POST", &path, &body, 4)
            .is_none_or(|(status, _)| status != 200)
        {
            return Err("a job was not accepted".to_owned());
        }
    }
    thread::sleep(OBSERVED);
    let now = site.record.now();
    let mut broken = Vec::new();
    let runs = site.runs();
    for (task, runs) in &runs {
        let starts = runs.iter().skip(1).map(|run| run.started).chain([now]);
        for (run, next) in runs.iter().zip(starts) {
            let Some((ended, how)) = run.ended else {
                continue;
            };
            let idle = next.saturating_sub(ended);
            if idle > BOUND {
                broken.push(format!(
                    "task {task} had nothing running for {:.1} s after its run {} ended {how} at {:.3}",
                    idle.as_secs_f64(),
                    run.run,
                    ended.as_secs_f64()
                ));
            }
        }
    }
    let total: usize = runs.values().map(Vec::len).sum();
    site.record
        .line(format!("judged: {} tasks ran, {total} runs", runs.len()));
    Ok(broken)
}
