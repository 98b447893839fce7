//! Asks the platform which unresponsive workers have ended.
//!
//! A worker that crashed with its host does not answer, just like one that is only cut off.
//! Waiting for its lease to expire delays its tasks by five seconds, and after a take-over the
//! tasks of all other workers as well. A worker that is not in the platform's list of machines
//! has ended.

use std::collections::HashSet;
use std::time::Duration;

use job::Mechanism;
use job::WorkerId;
use job::WorkerKey;
use platform::MachineClient;

use super::Pool;
use crate::OwnerMessage;

/// Time between two requests for the list of machines while workers are unresponsive.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which workers must have been unresponsive before the first request; most of them
/// answer again sooner.
const CHECK_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// When to request the list of machines.
#[derive(Debug, Default)]
pub(crate) struct LivenessCheck {
    /// A request for the list of machines is in progress.
    in_progress: bool,
    /// Since when at least one worker has been unresponsive without a break.
    unresponsive_since: Option<Duration>,
    /// Earliest time of the next request.
    next_check: Duration,
    /// The last request failed, and the failure was logged.
    failing: bool,
}

impl Pool {
    /// Requests the list of machines if a worker is unresponsive and runs or a take-over
    /// depend on it.
    pub(super) fn check_liveness(&mut self, now: Duration) {
        let Some(server) = self.context.settings.machines_address() else {
            return;
        };
        if !self.context.settings.has(Mechanism::MachineLookup) {
            return;
        }
        let unresponsive = self.planner.unresponsive_workers();
        if unresponsive.is_empty() {
            self.liveness.unresponsive_since = None;
            return;
        }
        let unresponsive_since = *self.liveness.unresponsive_since.get_or_insert(now);
        let early = now < unresponsive_since + CHECK_DELAY || now < self.liveness.next_check;
        if self.liveness.in_progress || early {
            return;
        }
        self.liveness.in_progress = true;
        let client = MachineClient::new(self.context.client.clone(), server);
        let sender = self.sender.clone();
        let logged = self.liveness.failing;
        tokio::spawn(async move {
            let listed = client.running_workers(CHECK_TIMEOUT).await;
            if let Err(error) = &listed
                && !logged
            {
                log::warn!(
                    code = 380, error:% = error;
                    "list of machines cannot be read; whether unresponsive workers have ended stays unknown"
                );
            }
            let ended = listed.ok().map(|listed| unlisted(unresponsive, &listed));
            let _ = sender.send(OwnerMessage::WorkersEnded(ended)).await;
        });
    }

    /// Handles the reply: ends the incarnations of workers that were unresponsive at the time
    /// of the request, are not in the list of machines, and have not answered since.
    pub(super) fn handle_ended(&mut self, ended: Option<&[WorkerKey]>) {
        self.liveness.in_progress = false;
        self.liveness.failing = ended.is_none();
        let ended = ended.unwrap_or_default();
        self.liveness.next_check = self.context.now() + CHECK_INTERVAL;
        for (key, id) in self.planner.unresponsive_workers() {
            if !ended.contains(&key) {
                continue;
            }
            log::info!(
                code = 381, worker = id.as_str(), epoch = self.epoch;
                "unresponsive worker is not in the list of machines: it has ended, its runs are lost"
            );
            self.planner.worker_ended(key);
        }
    }
}

/// Unresponsive workers that are not in the list of machines. Only workers that were
/// unresponsive before the list was made count: a worker that started later is missing from
/// it, and if it counted as ended, its incarnation would get no tasks, or would keep running
/// tasks unnoticed. The list has only the ids of workers, so it applies to the incarnations
/// that were unresponsive at that time.
fn unlisted(
    unresponsive: Vec<(WorkerKey, WorkerId)>,
    listed: &HashSet<WorkerId>,
) -> Vec<WorkerKey> {
    // An empty list does not prove that any worker has ended.
    if listed.is_empty() {
        return Vec::new();
    }
    unresponsive
        .into_iter()
        .filter(|(_, id)| !listed.contains(id))
        .map(|(key, _)| key)
        .collect()
}
