//! Asks the platform which silent workers have ended.
//!
//! A worker that crashed with its host does not answer, just like one that is only cut off.
//! Waiting for its lease to expire delays its tasks by five seconds, and after a take-over the
//! tasks of all other workers as well. The platform's list of machines shows which incarnations
//! have ended.

use std::collections::HashSet;
use std::time::Duration;

use job::Mechanism;
use job::WorkerId;
use job::WorkerKey;
use platform::MachineClient;

use super::Pool;
use crate::OwnerMessage;

/// Time between two requests for the list of machines while workers are silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Silence before the first request: most silences are shorter.
const CHECK_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// When to ask about silent workers.
#[derive(Debug, Default)]
pub(crate) struct LivenessCheck {
    in_progress: bool,
    /// Since when at least one worker has been silent without a break.
    silent_since: Option<Duration>,
    /// Earliest time of the next request.
    next_check: Duration,
}

impl Pool {
    /// Requests the list of machines if a worker is silent and runs or a take-over depend on
    /// it.
    pub(super) fn check_liveness(&mut self, now: Duration) {
        let Some(server) = self.context.settings.machines_address() else {
            return;
        };
        if !self.context.settings.has(Mechanism::LifeCheck) {
            return;
        }
        let silent = self.planner.unresponsive_workers();
        if silent.is_empty() {
            self.liveness.silent_since = None;
            return;
        }
        let silent_since = *self.liveness.silent_since.get_or_insert(now);
        let early = now < silent_since + CHECK_DELAY || now < self.liveness.next_check;
        if self.liveness.in_progress || early {
            return;
        }
        self.liveness.in_progress = true;
        let client = MachineClient::new(self.context.client.clone(), server);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let listed = client.running_workers(CHECK_TIMEOUT).await;
            if let Err(error) = &listed {
                log::warn!(code = 380, error:% = error; "machines cannot be listed");
            }
            let ended = listed.map_or_else(|_| Vec::new(), |listed| unlisted(silent, &listed));
            let _ = sender.send(OwnerMessage::WorkersEnded(ended)).await;
        });
    }

    /// Handles the reply: ends the incarnations of those workers that were silent at the time
    /// of the request and that the list of machines does not show.
    pub(super) fn handle_ended(&mut self, ended: &[WorkerKey]) {
        self.liveness.in_progress = false;
        self.liveness.next_check = self.context.now() + CHECK_INTERVAL;
        for (key, id) in self.planner.unresponsive_workers() {
            if !ended.contains(&key) {
                continue;
            }
            log::info!(code = 381, worker = id.as_str(), epoch = self.epoch; "silent worker's incarnation has ended");
            self.planner.worker_ended(key);
        }
    }
}

/// Silent workers that the list of machines does not show. Only workers that were silent before
/// the list was made count: a younger worker is missing from it, and if it were taken for dead,
/// it would get no work for its whole incarnation, or keep running tasks unnoticed. The list
/// has only the ids of workers, so it applies to the incarnations that were silent then.
fn unlisted(silent: Vec<(WorkerKey, WorkerId)>, listed: &HashSet<WorkerId>) -> Vec<WorkerKey> {
    // An empty list does not prove that any worker has ended.
    if listed.is_empty() {
        return Vec::new();
    }
    silent
        .into_iter()
        .filter(|(_, id)| !listed.contains(id))
        .map(|(key, _)| key)
        .collect()
}
