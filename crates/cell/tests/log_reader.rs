//! A stalled reader of the log does not delay decisions.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cell::LogGuard;
use cell::start_logging_to;
use site::Caller;
use site::TestCell;
use site::job;

/// Number of lines that exceeds the log's buffer.
const FLOOD_LINES: u32 = 20_000;

/// Time limit of a job while the output is stalled; otherwise it takes 0.1 s.
const JOB_LIMIT: Duration = Duration::from_secs(10);

/// Time within which dropped lines are reported.
const REPORT_LIMIT: Duration = Duration::from_secs(6);

/// An output of the log that can stall.
#[derive(Clone, Debug, Default)]
struct StallingOutput {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Debug, Default)]
struct State {
    stalled: bool,
    text: String,
}

impl StallingOutput {
    fn set_stalled(&self, stalled: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap_or_else(PoisonError::into_inner).stalled = stalled;
        changed.notify_all();
    }

    fn text(&self) -> String {
        let (state, _) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.text.clone()
    }
}

impl Write for StallingOutput {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = changed
            .wait_while(state, |state| state.stalled)
            .unwrap_or_else(PoisonError::into_inner);
        state.text.push_str(&String::from_utf8_lossy(line));
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging; panics of the test go to its own output, not to the log.
fn start(output: &StallingOutput) -> LogGuard {
    let hook = std::panic::take_hook();
    let guard = start_logging_to("info", output.clone());
    std::panic::set_hook(hook);
    guard
}

/// Logs more lines than the buffer holds, on a separate thread.
async fn flood() {
    let (done, flooded) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        for number in 0..FLOOD_LINES {
            log::info!(number = number; "flood");
        }
        let _ = done.send(());
    });
    let _ = flooded.await;
}

// The reader of a process's log may stall, and a full pipe blocks the thread that writes to it.
// Jobs must still be accepted, started and ended, and the log must report the number of dropped
// lines once. It reported it twice when the reporting task was restarted, as happens when
// settings are read again, and started counting from zero.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_log_reader_does_not_delay_jobs() {
    let output = StallingOutput::default();
    let guard = start(&output);
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000f1";

    output.set_stalled(true);
    let flooded = tokio::time::timeout(JOB_LIMIT, flood()).await;
    let work = async {
        caller.submit(&cell.servers(), path, &job(2, "20")).await;
        caller.wait_state(&cell.servers(), path, "completed").await;
    };
    let worked = tokio::time::timeout(JOB_LIMIT, work).await;
    output.set_stalled(false);
    for _ in ["before", "after settings were read again"] {
        let report = tokio::time::timeout(REPORT_LIMIT, guard.report_dropped()).await;
        assert!(report.is_err(), "the report never ends by itself");
    }

    assert!(flooded.is_ok(), "a log call waited for the output");
    assert!(worked.is_ok(), "the job waited for the output");
    let reports = output.text().matches("log lines dropped").count();
    assert_eq!(reports, 1, "one report for the time with a stalled output");
    cell.close().await;
}
