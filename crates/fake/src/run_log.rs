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
    /// Key of the request, without the suffix that names the shard it was lent to.
    pub request: String,
    /// Resources booked by the run.
    pub needs: Resources,
    /// Start time since the log began.
    pub started_at: Duration,
    /// End time since the log began; `None` while the run lasts.
    pub ended_at: Option<Duration>,
    /// Result of the run; `None` while it lasts.
    pub result: Option<EndResult>,
}

/// Run log of all workers of a cell; clones share the entries.
#[derive(Clone, Debug)]
pub struct RunLog {
    origin: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// Removes the suffix after `~`, which names the shard that a request was lent
/// to, from the key of the request.
pub(crate) fn base_key(key: &str) -> &str {
    key.split_once('~').map_or(key, |(own, _)| own)
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
    /// Time since the log began.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// All runs so far, ordered by start.
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
            request: base_key(&start.request).to_owned(),
            needs: start.needs,
            started_at: self.now(),
            ended_at: None,
            result: None,
        });
    }

    pub(crate) fn end(&self, worker: &str, attempt: &str, result: EndResult) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let open = |run: &&mut Run| {
            run.worker == worker && run.attempt == attempt && run.ended_at.is_none()
        };
        if let Some(run) = runs.iter_mut().rev().find(open) {
            run.ended_at = Some(now);
            run.result = Some(result);
        }
    }
}
