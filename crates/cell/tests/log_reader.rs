//! A reader of the log that stops reading holds up no decision.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cell::LogGuard;
use cell::start_logging_to;
use site::Caller;
use site::SiteCell;
use site::job;

/// Lines that fill whatever is buffered for the reader.
const FLOOD: u32 = 20_000;

/// Longest time for a job with a silent reader; with a reader it takes 0.1 s.
const SOON: Duration = Duration::from_secs(10);

/// Time within which dropped lines are reported.
const REPORTED: Duration = Duration::from_secs(6);

/// A reader that may stop taking lines.
#[derive(Clone, Debug, Default)]
struct Reader {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Debug, Default)]
struct State {
    stopped: bool,
    text: String,
}

impl Reader {
    fn set_stopped(&self, stopped: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap_or_else(PoisonError::into_inner).stopped = stopped;
        changed.notify_all();
    }

    fn text(&self) -> String {
        let (state, _) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.text.clone()
    }
}

impl Write for Reader {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = changed
            .wait_while(state, |state| state.stopped)
            .unwrap_or_else(PoisonError::into_inner);
        state.text.push_str(&String::from_utf8_lossy(line));
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging; panics of the test go on to its own output, not to the log.
fn start(reader: &Reader) -> LogGuard {
    let hook = std::panic::take_hook();
    let guard = start_logging_to("info", reader.clone());
    std::panic::set_hook(hook);
    guard
}

/// Logs more than is buffered, on a thread of its own.
async fn flood() {
    let (done, flooded) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        for number in 0..FLOOD {
            log::info!(number = number; "flood");
        }
        let _ = done.send(());
    });
    let _ = flooded.await;
}

// Whoever reads the log of a process may stall, and a full pipe blocks the
// thread that writes to it. Jobs must go on being accepted, started and ended,
// and the lines that were dropped meanwhile must be counted in the log. That
// count stood there twice: the report is begun anew when settings are read
// again, and counted from nothing then.
#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_stops_holds_up_no_job() {
    let reader = Reader::default();
    let guard = start(&reader);
    let cell = SiteCell::open(2, 2).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000f1";

    reader.set_stopped(true);
    let flooded = tokio::time::timeout(SOON, flood()).await;
    let work = async {
        caller.submit(&cell.servers(), path, &job(2, "20")).await;
        caller.wait_state(&cell.servers(), path, "completed").await;
    };
    let worked = tokio::time::timeout(SOON, work).await;
    reader.set_stopped(false);
    for _ in ["before", "after settings were read again"] {
        let report = tokio::time::timeout(REPORTED, guard.report_dropped()).await;
        assert!(report.is_err(), "the report never ends by itself");
    }

    assert!(flooded.is_ok(), "a line waited for the reader");
    assert!(worked.is_ok(), "the job waited for the reader");
    let told = reader.text().matches("log lines dropped").count();
    assert_eq!(told, 1, "one count for the time without a reader");
    cell.close().await;
}
