//! Limits the requests in flight of each team at this process, so that one team
//! cannot use up the process's capacity for the requests of others.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use model::TeamId;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Limit on the requests in flight of each team; clones share the counts.
#[derive(Clone, Debug)]
pub struct InFlightLimit {
    limit: usize,
    teams: Arc<Mutex<HashMap<TeamId, Arc<Semaphore>>>>,
}

impl InFlightLimit {
    /// Creates a limit of `limit` requests in flight for each team.
    #[must_use]
    pub fn new(limit: usize) -> InFlightLimit {
        InFlightLimit {
            limit,
            teams: Arc::default(),
        }
    }

    /// Returns a permit for one request, which is released when dropped; `None` if
    /// the team has reached its limit.
    pub fn try_acquire(&self, team: &str) -> Option<OwnedSemaphorePermit> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let permits = teams
            .entry(team.to_owned())
            .or_insert_with(|| Arc::new(Semaphore::new(self.limit)));
        permits.clone().try_acquire_owned().ok()
    }

    /// Number of requests in flight of all teams together.
    #[must_use]
    pub fn count(&self) -> usize {
        let teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = teams
            .values()
            .map(|permits| self.limit - permits.available_permits());
        counts.sum()
    }
}
