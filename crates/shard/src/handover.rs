//! The shard manager's hand-overs: moves shards to the processes that should
//! own them, and notifies these processes at once.

use std::time::Duration;
use std::time::Instant;

use event::Event;
use event::Kind;
use model::ShardId;
use store::Commit;
use store::CommitOutcome;
use store::HostList;
use store::ObjectStore;
use store::Table;
use tokio::sync::oneshot;

use crate::Ask;
use crate::FORMAT;
use crate::Reply;
use crate::ShardManager;
use crate::ShardRow;
use crate::ShardTaskMessage;
use crate::encode_row;
use crate::shard_key;

/// Shortest time between two hand-overs of a process that is not leaving, so
/// that processes whose views differ for a moment cannot pass a shard back and
/// forth.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(3);

/// Longest wait for a shard's task to finish its journal before the shard is
/// handed over.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

impl<T: Table, O: ObjectStore, H: HostList> ShardManager<T, O, H> {
    /// Starts the hand-over of shards to the processes that should own them:
    /// all at once when leaving, otherwise one at a time.
    pub(crate) fn start_handovers(&mut self) {
        let leaving = self.lease.is_leaving();
        if !leaving && self.last_handover.elapsed() < HANDOVER_INTERVAL {
            return;
        }
        let desired = self.desired_owners();
        for shard in 0..self.context.shards {
            // When leaving without another live process, the shards are
            // released anyway; a process that joins later claims them.
            let owner = desired.get(usize::from(shard));
            let keep = !leaving && owner.is_none_or(|owner| *owner == self.context.process);
            let Some(running) = self.running.get_mut(&shard) else {
                continue;
            };
            if keep || running.releasing {
                continue;
            }
            running.releasing = true;
            self.last_handover = Instant::now();
            let (sender, done) = oneshot::channel();
            let _ = running.task.send(ShardTaskMessage::Release(sender));
            self.released_shards.spawn(async move {
                let _ = tokio::time::timeout(RELEASE_TIMEOUT, done).await;
                shard
            });
            if !leaving {
                return;
            }
        }
    }

    /// Writes the next owner to the shard's row and notifies it.
    pub(crate) async fn hand_over(&mut self, shard: ShardId) {
        let Some(running) = self.running.remove(&shard) else {
            return;
        };
        let desired = self.desired_owners();
        let Some(next) = desired.get(usize::from(shard)).cloned() else {
            self.handover.unconfirmed += 1;
            return;
        };
        let row = ShardRow {
            format: FORMAT,
            owner: next.clone(),
            epoch: running.epoch + 1,
        };
        let key = shard_key(shard);
        let commit = Commit::default()
            .check(key.clone(), running.fence)
            .put(key, encode_row(&row));
        match self.context.table.commit(&commit).await {
            Ok(CommitOutcome::Done(versions)) => {
                let version = versions.first().copied().unwrap_or_default();
                let event = Event::new(Kind::ShardReleased).shard(shard);
                self.record_event(event.detail(format!("to {next} at epoch {}", row.epoch)));
                self.shard_rows.insert(shard, (version, row));
                self.handover.confirmed += 1;
                self.publish();
                self.hint_peer(&next);
            }
            Ok(CommitOutcome::Conflict(_)) => {}
            // The row names this process or the next owner; the next tick reads
            // which one, and opens the shard here again if necessary.
            Err(error) => {
                self.handover.unconfirmed += 1;
                log::debug!("hand-over of shard {shard} not confirmed: {error}");
            }
        }
    }

    /// Notifies all other live processes, so that they read a new configuration
    /// version at once instead of at their next tick.
    pub(crate) fn hint_peers(&self) {
        for (process, _) in self.members.live(self.context.timing.ttl) {
            if *process != self.context.process {
                self.hint_peer(process);
            }
        }
    }

    /// Asks a process to read the table at once.
    pub(crate) fn hint_peer(&self, process: &str) {
        let Some(member) = self.members.get(process) else {
            return;
        };
        let (endpoint, peer) = (self.context.endpoint.clone(), member.info.peer);
        let ask = Ask::Hint(self.config.version);
        let timeout = self.context.timing.renew;
        tokio::spawn(async move {
            let _ = endpoint.call::<Ask, Reply>(peer, &ask, timeout).await;
        });
    }
}
