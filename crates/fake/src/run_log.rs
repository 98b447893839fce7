//! Log of the runs on the stand-in workers, recorded by the workers themselves.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use model::Resources;
use model::WorkerId;
use worker::AttemptId;
use worker::EndResult;

/// One run of one task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Id of the attempt that started the run.
    pub attempt: AttemptId,
    /// Key of the request, as built by `model::request_key`. The suffix that an
    /// offloaded request has at the shard that runs it is removed.
    pub request: String,
    /// Resources booked by the run.
    pub needs: Resources,
    /// Start time, counted from the creation of the log.
    pub started_at: Duration,
    /// End time, counted from the creation of the log; `None` while the task runs.
    pub ended_at: Option<Duration>,
    /// Result of the run; `None` while the task runs.
    pub result: Option<EndResult>,
}

/// Run log of all workers of a cell; clones share the entries.
#[derive(Clone, Debug)]
pub struct RunLog {
    origin: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// Returns the key that a request has at its own shard. The key of an offloaded
/// request is that key, `~` and the shard that runs the request.
pub(crate) fn original_key(key: &str) -> &str {
    key.split_once('~').map_or(key, |(original, _)| original)
}

impl Default for RunLog {
    fn default() -> Self {
        RunLog {
            origin: Instant::now(),
            runs: Arc::default(),
        }
    }
}

impl RunLog {
    /// Time since the creation of the log.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// All runs so far, ordered by start time.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// All runs of the request with this key.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> Vec<Run> {
        let runs = self.runs();
        runs.into_iter()
            .filter(|run| run.request == request)
            .collect()
    }

    pub(crate) fn start(&self, worker: &str, start: &worker::Start) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(Run {
            worker: worker.to_owned(),
            attempt: start.attempt.clone(),
            request: original_key(&start.request).to_owned(),
            needs: start.needs,
            started_at: self.now(),
            ended_at: None,
            result: None,
        });
    }

    pub(crate) fn end(&self, worker: &str, attempt: &str, result: EndResult) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let is_running = |run: &&mut Run| {
            run.worker == worker && run.attempt == attempt && run.ended_at.is_none()
        };
        if let Some(run) = runs.iter_mut().rev().find(is_running) {
            run.ended_at = Some(now);
            run.result = Some(result);
        }
    }
}
