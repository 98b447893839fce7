//! The log of a cell stays small under load: so many bytes for each job.

use std::io::Write;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cell::LogGuard;
use cell::start_logging_to;
use serde_json::Value;
use site::Caller;
use site::SiteCell;
use site::job;

/// Jobs of the run, and tasks of each.
const JOBS: u32 = 100;
const TASKS: u32 = 2;

/// Time without a line after which a log counts as complete.
const QUIET: Duration = Duration::from_millis(300);

/// Most bytes of log for each job and each start, and for all else in a run of
/// some seconds.
const JOB_BYTES: usize = 400;
const START_BYTES: usize = 450;
const OTHER_BYTES: usize = 4096;

/// What all processes of the cell have logged.
#[derive(Clone, Debug, Default)]
struct Logged {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Logged {
    fn text(&self) -> String {
        let bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The text once nothing new has come for a while.
    async fn settled(&self) -> String {
        let mut text = self.text();
        loop {
            tokio::time::sleep(QUIET).await;
            let now = self.text();
            if now.len() == text.len() {
                return now;
            }
            text = now;
        }
    }
}

impl Write for Logged {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        bytes.extend_from_slice(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging; panics of the test go on to its own output, not to the log.
fn start(logged: &Logged) -> LogGuard {
    let hook = std::panic::take_hook();
    let guard = start_logging_to("info", logged.clone());
    std::panic::set_hook(hook);
    guard
}

/// Lines of one job (accepted, ended) and of one start (sent, ended) hold 317
/// and 367 bytes; a line more for each would break these bounds.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_and_a_start_cost_few_bytes_of_log() {
    let logged = Logged::default();
    let _guard = start(&logged);
    let cell = SiteCell::open(3, 4).await;
    let caller = Caller::new();
    run_jobs(&cell, &caller, 0..1).await;
    let before = logged.settled().await;

    run_jobs(&cell, &caller, 1..JOBS + 1).await;
    let after = logged.settled().await;

    let bytes = after.len() - before.len();
    let starts = usize::try_from(JOBS * TASKS).expect("a small number");
    let jobs = usize::try_from(JOBS).expect("a small number");
    let text = &after[before.len()..];
    let of_jobs = bytes_of(text, &["362", "401"]) / jobs;
    let of_starts = bytes_of(text, &["350", "354"]) / starts;
    println!("{of_jobs} bytes a job, {of_starts} bytes a start, {bytes} bytes in all");
    let bound = jobs * JOB_BYTES + starts * START_BYTES + OTHER_BYTES;
    assert!(bytes <= bound, "{bytes} bytes, at most {bound}:\n{text}");
    assert!(of_jobs > 0 && of_starts > 0, "{text}");
    cell.close().await;
}

async fn run_jobs(cell: &SiteCell, caller: &Caller, numbers: Range<u32>) {
    let path = |number: u32| format!("/plain/{number:016x}");
    for number in numbers.clone() {
        let job = job(TASKS, "20");
        caller.submit(&cell.servers(), &path(number), &job).await;
    }
    for number in numbers {
        let servers = cell.servers();
        caller
            .wait_state(&servers, &path(number), "completed")
            .await;
    }
}

/// Bytes of the lines with these codes, line ends included.
fn bytes_of(text: &str, codes: &[&str]) -> usize {
    let wanted = |line: &&str| {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        codes.contains(&line["code"].to_string().as_str())
    };
    let lines = text.lines().filter(wanted);
    lines.map(|line| line.len() + 1).sum()
}
