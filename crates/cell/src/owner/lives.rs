//! Asks which silent workers are certainly dead.
//!
//! A worker that crashed with its host answers nobody, just like one that is
//! only cut off. Waiting out its lease costs its tasks five seconds, and after
//! a take-over those of all others. The platform knows which lives are over.

use std::collections::HashSet;
use std::time::Duration;

use job::WorkerId;
use platform::MachineClient;

use super::Pool;
use crate::OwnerMessage;

/// Time between two questions while workers are silent.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Silence before the first question: most silences are shorter.
const FIRST_ASK: Duration = Duration::from_millis(250);

/// Time for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// When to ask about silent workers.
#[derive(Debug, Default)]
pub(crate) struct LifeCheck {
    busy: bool,
    /// Since when some worker has been silent without a break.
    since: Option<Duration>,
    after: Duration,
    /// Workers that were silent when the question was asked. The answer tells
    /// nothing of one that has come since: it was taken for dead, and never
    /// used again.
    asked: HashSet<WorkerId>,
}

impl Pool {
    /// Asks, if some worker is silent and it matters.
    pub(super) fn check_lives(&mut self, now: Duration) {
        let Some(server) = self.context.settings.machines_address() else {
            return;
        };
        let doubtful = self.planner.doubtful();
        if doubtful.is_empty() {
            self.lives.since = None;
            return;
        }
        let since = *self.lives.since.get_or_insert(now);
        let early = now < since + FIRST_ASK || now < self.lives.after;
        if self.lives.busy || early {
            return;
        }
        self.lives.busy = true;
        self.lives.asked = doubtful.into_iter().collect();
        let client = MachineClient::new(self.context.client.clone(), server);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let lives = client.lives(ASK_TIMEOUT).await;
            if let Err(error) = &lives {
                log::warn!(code = 380, error:% = error; "machines cannot be listed");
            }
            let _ = sender.send(OwnerMessage::Lives(lives.ok())).await;
        });
    }

    /// Takes the answer: silent workers that are not on it are dead.
    pub(super) fn take_lives(&mut self, lives: Option<HashSet<WorkerId>>) {
        self.lives.busy = false;
        self.lives.after = self.context.now() + ASK_EVERY;
        let asked = std::mem::take(&mut self.lives.asked);
        // An empty list is no proof of anything.
        let Some(lives) = lives.filter(|lives| !lives.is_empty()) else {
            return;
        };
        for id in self.planner.doubtful() {
            if lives.contains(&id) || !asked.contains(&id) {
                continue;
            }
            let Some(key) = self.planner.worker_of(&id) else {
                continue;
            };
            log::info!(code = 381, worker = id.as_str(), epoch = self.epoch; "silent worker is dead");
            self.planner.worker_over(key);
        }
    }
}
