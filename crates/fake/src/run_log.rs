//! What really ran, where and when, as the workers themselves saw it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use model::Resources;
use model::WorkerId;
use worker::AttemptId;
use worker::EndResult;

/// One run of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Worker.
    pub worker: WorkerId,
    /// Id of its start.
    pub attempt: AttemptId,
    /// Key of its request, also when another shard ran it.
    pub request: String,
    /// What it held.
    pub needs: Resources,
    /// When it started, since the log began.
    pub started_at: Duration,
    /// When it ended; none while it runs.
    pub ended_at: Option<Duration>,
    /// How it ended.
    pub result: Option<EndResult>,
}

/// Log of all workers of a cell; clones share it.
#[derive(Clone, Debug)]
pub struct RunLog {
    origin: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// Key of a request without the shard that it was lent to.
pub(crate) fn own_key(key: &str) -> &str {
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

    /// All runs so far, in the order of their starts.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Runs of one request.
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
            request: own_key(&start.request).to_owned(),
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
