//! A process whose log is not read: jobs are not delayed, and dropped lines are reported.

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

/// More lines than the log's buffer takes.
const FLOOD_LINES: u32 = 20_000;

/// Time limit of a job, and of the calls that log [`FLOOD_LINES`], while the output is stalled;
/// while it is not, a job takes 0.1 s.
const JOB_LIMIT: Duration = Duration::from_secs(10);

/// Time for which the reporting task runs; dropped lines are reported within it.
const REPORT_LIMIT: Duration = Duration::from_secs(6);

/// An output of the log whose writes block while it is stalled, as those to a full pipe do.
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

/// Starts logging from level `info` on; panics of the test go to its own output, not to the log.
fn start(output: &StallingOutput) -> LogGuard {
    let hook = std::panic::take_hook();
    let guard = start_logging_to("info", output.clone());
    std::panic::set_hook(hook);
    guard
}

/// Logs more lines than fit into the buffer, on a separate thread.
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

/// Guards against jobs that wait because the reader of the log has stalled: a full pipe blocks the
/// thread that writes to it. Also guards against reporting the number of dropped lines twice: the
/// reporting task is restarted when the settings are read again, and counted from zero then.
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
    // The reporting task never ends by itself. It runs once before, and once after the settings are
    // read again, until its time limit.
    for _ in ["before", "after settings were read again"] {
        let report = tokio::time::timeout(REPORT_LIMIT, guard.report_dropped()).await;
        assert!(report.is_err(), "the reporting task ended by itself");
    }

    assert!(flooded.is_ok(), "a log call waited for the output");
    assert!(worked.is_ok(), "the job waited for the output");
    let reports = output.text().matches("log lines dropped").count();
    assert_eq!(reports, 1, "reports of the lines dropped during the stall");
    cell.close().await;
}
