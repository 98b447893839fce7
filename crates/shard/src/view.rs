//! A process's view of the cell, shared by its tasks. It may be out of date; a
//! call that is based on an outdated view is rejected by the owner or the
//! table.

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
use crate::ShardTaskMessage;
use crate::shard_manager::UNREACHABLE_AFTER;

/// A process of the cell, possibly this one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct MemberView {
    /// Incarnation of the process.
    pub process: Incarnation,
    /// Name of the process in its settings.
    pub name: String,
    /// Failure domain of the process.
    pub domain: String,
    /// Address for calls from other processes.
    pub peer: SocketAddr,
    /// Whether it takes shards: its lease is live and not stale.
    pub live: bool,
    /// Whether its lease was expired; the process does nothing until it has
    /// renewed it.
    pub expired: bool,
    /// Configuration version in force in the process.
    pub config: Version,
}

/// Where calls for a shard are sent.
#[derive(Clone, Debug)]
pub enum Route {
    /// To the shard's task in this process.
    Local(mpsc::UnboundedSender<ShardTaskMessage>),
    /// To another process, at this address.
    Remote(SocketAddr),
    /// In the rows that were last read, the shard has no owner, or an owner that is
    /// not a member of the cell.
    Unroutable,
}

/// A process's view of the cell.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Processes of the cell, sorted by name.
    pub members: Vec<MemberView>,
    /// Owner and epoch of each shard.
    pub owners: HashMap<ShardId, ShardOwner>,
    /// Inboxes of the shards whose tasks run in this process.
    pub local: HashMap<ShardId, mpsc::UnboundedSender<ShardTaskMessage>>,
    /// Configuration in force in this process.
    pub config: Option<Arc<VersionedConfig>>,
    /// Time of the table's last answer.
    pub last_answer: Arc<LastAnswer>,
    /// When members and owners were last read from the table.
    pub read_at: Option<Instant>,
}

/// Owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwner {
    /// Incarnation of the process.
    pub process: Incarnation,
    /// Epoch of the ownership.
    pub epoch: model::Epoch,
}

impl View {
    /// Where calls for a shard are sent.
    #[must_use]
    pub fn route(&self, shard: ShardId) -> Route {
        if let Some(local) = self.local.get(&shard) {
            return Route::Local(local.clone());
        }
        let Some(owner) = self.owners.get(&shard) else {
            return Route::Unroutable;
        };
        let member = self.members.iter().find(|m| m.process == owner.process);
        member.map_or(Route::Unroutable, |m| Route::Remote(m.peer))
    }

    /// Whether the table answers. Computed on each call, not when the view is
    /// published: the view is published between two calls of the table, so a
    /// stored value would remain true for as long as the table leaves a call
    /// unanswered.
    #[must_use]
    pub fn table_reachable(&self) -> bool {
        self.last_answer
            .age()
            .is_some_and(|age| age < UNREACHABLE_AFTER)
    }

    /// Age of the members and owners in this view; none before the first read.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.read_at.map(|at| at.elapsed())
    }

    /// Lowest configuration version in force in any process whose lease is not
    /// expired. This includes leaving processes, which decide for their shards
    /// until these are handed over; without them, a process could act on an
    /// older version than the one reported as in force everywhere.
    #[must_use]
    pub fn lowest_config_version(&self) -> Version {
        let active = self.members.iter().filter(|member| !member.expired);
        active.map(|member| member.config).min().unwrap_or_default()
    }
}
