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
pub struct Flight {
    most: usize,
    teams: Arc<Mutex<HashMap<TeamId, Arc<Semaphore>>>>,
}

impl Flight {
    /// At most `most` requests in flight for each team.
    #[must_use]
    pub fn new(most: usize) -> Flight {
        Flight {
            most,
            teams: Arc::default(),
        }
    }

    /// A place for one request, held until dropped; none when all are taken.
    pub fn enter(&self, team: &str) -> Option<OwnedSemaphorePermit> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let places = teams
            .entry(team.to_owned())
            .or_insert_with(|| Arc::new(Semaphore::new(self.most)));
        places.clone().try_acquire_owned().ok()
    }

    /// Requests in flight of all teams.
    #[must_use]
    pub fn open(&self) -> usize {
        let teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let open = teams
            .values()
            .map(|places| self.most - places.available_permits());
        open.sum()
    }
}
