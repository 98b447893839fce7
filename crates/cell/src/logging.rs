//! Structured log lines on standard output.
//!
//! A reader of the log that stalls must not delay decisions: lines go through a bounded buffer to
//! a separate thread, and are dropped when the buffer is full.

use std::io::Write;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use structured_logger::Builder;
use structured_logger::json::new_writer;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// Capacity of the buffer in lines. At 200 bytes a line it takes less than 1 MB of the small
/// memory of an entry host.
const BUFFERED_LINES: usize = 4096;

/// Interval between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the writing thread alive; dropping the guard flushes the buffer.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
    /// Number of dropped lines already reported. It is kept here because the reporting task is
    /// restarted after each signal and would report the same lines again.
    reported: AtomicUsize,
}

/// Starts logging to standard output. `level` is one of `error`, `warn`, `info`, `debug`.
#[must_use]
pub fn start_logging(level: &str) -> LogGuard {
    start_logging_to(level, std::io::stdout())
}

/// Starts logging to `output`, which may block forever.
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
    /// Reports newly dropped lines, if any, in intervals of [`REPORT_INTERVAL`].
    pub async fn report_dropped(&self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let dropped = self.dropped.dropped_lines();
            let reported = self.reported.swap(dropped, Ordering::Relaxed);
            if dropped > reported {
                log::warn!(
                    code = 190, lines = dropped - reported;
                    "log lines dropped: the log output was too slow"
                );
            }
        }
    }
}
