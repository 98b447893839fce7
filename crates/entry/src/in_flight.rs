//! Bounds the requests in flight of each team at this process, so that one
//! that floods it cannot take the others' places.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use model::TeamId;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Requests in flight by team; clones share them.
#[derive(Clone, Debug)]
pub struct InFlightLimit {
    limit: usize,
    teams: Arc<Mutex<HashMap<TeamId, Arc<Semaphore>>>>,
}

impl InFlightLimit {
    /// At most `most` requests in flight for each team.
    #[must_use]
    pub fn new(limit: usize) -> InFlightLimit {
        InFlightLimit {
            limit,
            teams: Arc::default(),
        }
    }

    /// A place for one request, held until dropped; none when all are taken.
    pub fn try_acquire(&self, team: &str) -> Option<OwnedSemaphorePermit> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let permits = teams
            .entry(team.to_owned())
            .or_insert_with(|| Arc::new(Semaphore::new(self.limit)));
        permits.clone().try_acquire_owned().ok()
    }

    /// Requests in flight of all teams.
    #[must_use]
    pub fn count(&self) -> usize {
        let teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = teams
            .values()
            .map(|permits| self.limit - permits.available_permits());
        counts.sum()
    }
}
