//! Structured log lines on standard output.
//!
//! A reader that stops reading must not hold up decisions: lines go through a
//! bounded buffer to a thread of their own, and are dropped when it is full.

use std::io::Write;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use structured_logger::Builder;
use structured_logger::json::new_writer;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// Lines that may wait for the reader. At 200 bytes a line this is below 1 MB
/// of the small memory of an entry host.
const BUFFERED_LINES: usize = 4096;

/// Time between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the writing thread; dropping it writes what is buffered.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
    /// Dropped lines that were reported. It outlives the report, which is
    /// begun anew after each signal and would tell them again.
    reported: AtomicUsize,
}

/// Starts logging to standard output. `level` is one of `error`, `warn`,
/// `info`, `debug`.
#[must_use]
pub fn start_logging(level: &str) -> LogGuard {
    start_logging_to(level, std::io::stdout())
}

/// Starts logging to `output`, which may stop taking lines for good.
#[must_use]
pub fn start_logging_to<W: Write + Send + 'static>(level: &str, output: W) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .thread_name("log")
        .finish(output);
    let dropped = writer.error_counter();
    Builder::with_level(level)
        .with_default_writer(new_writer(writer))
        .init();
    LogGuard {
        _worker: guard,
        dropped,
        reported: AtomicUsize::new(0),
    }
}

impl LogGuard {
    /// Reports now and then how many lines were dropped.
    pub async fn report_dropped(&self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let dropped = self.dropped.dropped_lines();
            let reported = self.reported.swap(dropped, Ordering::Relaxed);
            if dropped > reported {
                log::warn!(code = 190, lines = dropped - reported; "log lines dropped");
            }
        }
    }
}
