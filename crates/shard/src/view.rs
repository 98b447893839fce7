//! What a process believes about the cell, as its tasks share it. It may be
//! out of date; whoever acts on it is corrected by the owner or the table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use model::Incarnation;
use model::ShardId;
use model::Version;
use model::VersionedConfig;
use tokio::sync::mpsc;

use crate::LastAnswer;
use crate::OwnerMessage;
use crate::keeper::UNREACHABLE;

/// Another process, or this one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct MemberView {
    /// Process run.
    pub process: Incarnation,
    /// Name in its settings.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Where the other processes reach it.
    pub peer: SocketAddr,
    /// Whether it takes shards.
    pub live: bool,
    /// Whether its lease was expired; then it does nothing until it holds one.
    pub expired: bool,
    /// Configuration version in force there.
    pub config: Version,
}

/// Where requests for a shard go.
#[derive(Clone, Debug)]
pub enum Route {
    /// To a task of this process.
    Local(mpsc::UnboundedSender<OwnerMessage>),
    /// To another process.
    Remote(SocketAddr),
    /// Nowhere for now.
    Nowhere,
}

/// What a process believes about the cell.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Processes, sorted by name.
    pub members: Vec<MemberView>,
    /// Owner and epoch of each shard.
    pub owners: HashMap<ShardId, ShardOwner>,
    /// Shards that this process runs.
    pub local: HashMap<ShardId, mpsc::UnboundedSender<OwnerMessage>>,
    /// Configuration in force here.
    pub config: Option<Arc<VersionedConfig>>,
    /// When the table last answered.
    pub answered: Arc<LastAnswer>,
    /// When members and owners were last read.
    pub read: Option<Instant>,
}

/// Owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwner {
    /// Process run.
    pub process: Incarnation,
    /// Epoch.
    pub epoch: model::Epoch,
}

impl View {
    /// Where requests for a shard go.
    #[must_use]
    pub fn route(&self, shard: ShardId) -> Route {
        if let Some(local) = self.local.get(&shard) {
            return Route::Local(local.clone());
        }
        let Some(owner) = self.owners.get(&shard) else {
            return Route::Nowhere;
        };
        let member = self.members.iter().find(|m| m.process == owner.process);
        member.map_or(Route::Nowhere, |m| Route::Remote(m.peer))
    }

    /// Whether the table answers. It is asked for when it is shown: the view is
    /// published between two calls of the table, so a "yes" in it would stand
    /// for as long as the table leaves a call unanswered.
    #[must_use]
    pub fn reachable(&self) -> bool {
        self.answered.age().is_some_and(|age| age < UNREACHABLE)
    }

    /// Age of what is known of members and owners; none before the first read.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.read.map(|at| at.elapsed())
    }

    /// Lowest configuration version in force on any process that may act.
    /// One that leaves decides for its shards until they are handed over; left
    /// out, it would act on an older version than is said to be in force.
    #[must_use]
    pub fn lowest_config(&self) -> Version {
        let acting = self.members.iter().filter(|member| !member.expired);
        acting.map(|member| member.config).min().unwrap_or_default()
    }
}
