//! Limit of the bytes that a cell logs, given the number of its jobs and starts.

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
use site::TestCell;
use site::job;

/// Number of jobs, and number of tasks of each.
const JOBS: u32 = 100;
const TASKS: u32 = 2;

/// Time without a new line after which the log counts as complete.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Bytes that may be logged for each job, for each start, and for everything else in a run of some
/// seconds. The test checks only the sum.
const JOB_BYTES: usize = 400;
const START_BYTES: usize = 450;
const OTHER_BYTES: usize = 4096;

/// Log output of the test program, in which all processes of the cell run.
#[derive(Clone, Debug, Default)]
struct LogOutput {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl LogOutput {
    fn text(&self) -> String {
        let bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Returns the text once no new line has arrived for [`QUIET_TIME`].
    async fn wait_quiet(&self) -> String {
        let mut text = self.text();
        loop {
            tokio::time::sleep(QUIET_TIME).await;
            let now = self.text();
            if now.len() == text.len() {
                return now;
            }
            text = now;
        }
    }
}

impl Write for LogOutput {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        bytes.extend_from_slice(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging from level `info` on; panics of the test go to its own output, not to the log.
fn start(output: &LogOutput) -> LogGuard {
    let hook = std::panic::take_hook();
    let guard = start_logging_to("info", output.clone());
    std::panic::set_hook(hook);
    guard
}

/// The log lines of one job (codes 401 and 362: accepted, ended) take 418 bytes, those of one
/// start (codes 350 and 354: sent, ended) 381 bytes: for 100 jobs of two tasks 118 kB, of 134 kB
/// that are allowed. One more line for each start exceeds the limit; one more for each job alone
/// does so only if it is longer than about 150 bytes.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_bytes_of_jobs_and_starts_stay_within_limits() {
    let output = LogOutput::default();
    let _guard = start(&output);
    // Three processes and four workers.
    let cell = TestCell::open(3, 4).await;
    let caller = Caller::new();
    // The lines that are logged until the first job has completed do not count.
    run_jobs(&cell, &caller, 0..1).await;
    let before = output.wait_quiet().await;

    run_jobs(&cell, &caller, 1..JOBS + 1).await;
    let after = output.wait_quiet().await;

    let bytes = after.len() - before.len();
    let starts = usize::try_from(JOBS * TASKS).expect("a small number");
    let jobs = usize::try_from(JOBS).expect("a small number");
    let text = &after[before.len()..];
    let job_bytes = code_bytes(text, &["362", "401"]) / jobs;
    let start_bytes = code_bytes(text, &["350", "354"]) / starts;
    println!("{job_bytes} bytes a job, {start_bytes} bytes a start, {bytes} bytes in all");
    let limit = jobs * JOB_BYTES + starts * START_BYTES + OTHER_BYTES;
    assert!(bytes <= limit, "{bytes} bytes, at most {limit}:\n{text}");
    assert!(job_bytes > 0 && start_bytes > 0, "{text}");
    cell.close().await;
}

/// Submits a job for each number, with tasks of 20 ms, and waits until all are completed.
async fn run_jobs(cell: &TestCell, caller: &Caller, numbers: Range<u32>) {
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

/// Returns the bytes of the lines with these codes, including line ends.
fn code_bytes(text: &str, codes: &[&str]) -> usize {
    let wanted = |line: &&str| {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        codes.contains(&line["code"].to_string().as_str())
    };
    let lines = text.lines().filter(wanted);
    lines.map(|line| line.len() + 1).sum()
}
