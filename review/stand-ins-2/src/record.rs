//! The record of a run: what was sent, answered and run, one line each, with the time.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    origin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file. Fails if the folder cannot be written.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            origin: Instant::now(),
            file,
        })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, line: impl Display) {
        let now = self.now();
        let mut file = self.file.lock().expect("no writer panics");
        // A record that cannot be written does not change the verdict.
        let _ = writeln!(file, "{:9.3} {line}", now.as_secs_f64());
    }
}
