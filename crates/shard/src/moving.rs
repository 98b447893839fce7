//! The keeper's hand-overs: passes shards on to the processes that should own
//! them, and tells these at once.

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
use crate::Keeper;
use crate::OwnerMessage;
use crate::Reply;
use crate::ShardRow;
use crate::encode_row;
use crate::shard_key;

/// Shortest time between two voluntary hand-overs of a process, so that
/// views that differ for a moment cannot pass a shard to and fro.
const SETTLE: Duration = Duration::from_secs(3);

/// Longest wait for a shard to finish its journal before it is handed over.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

impl<T: Table, O: ObjectStore, H: HostList> Keeper<T, O, H> {
    /// Passes shards on to the processes that should own them: all at once
    /// when leaving, otherwise one at a time.
    pub(crate) fn pass_on(&mut self) {
        let leaving = self.lease.is_leaving();
        if !leaving && self.moved_at.elapsed() < SETTLE {
            return;
        }
        let wanted = self.wanted_owners();
        for shard in 0..self.context.shards {
            // Without another process the shards are left to whoever comes.
            let owner = wanted.get(usize::from(shard));
            let stays = !leaving && owner.is_none_or(|owner| *owner == self.context.process);
            let Some(running) = self.running.get_mut(&shard) else {
                continue;
            };
            if stays || running.releasing {
                continue;
            }
            running.releasing = true;
            self.moved_at = Instant::now();
            let (sender, done) = oneshot::channel();
            let _ = running.owner.send(OwnerMessage::Release(sender));
            self.released.spawn(async move {
                let _ = tokio::time::timeout(RELEASE_TIMEOUT, done).await;
                shard
            });
            if !leaving {
                return;
            }
        }
    }

    /// Names the next owner in the shard's row, and tells it so.
    pub(crate) async fn hand_over(&mut self, shard: ShardId) {
        let Some(running) = self.running.remove(&shard) else {
            return;
        };
        let wanted = self.wanted_owners();
        let Some(next) = wanted.get(usize::from(shard)).cloned() else {
            self.handover.unnamed += 1;
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
                self.record(event.detail(format!("to {next} at epoch {}", row.epoch)));
                self.rows.insert(shard, (version, row));
                self.handover.handed += 1;
                self.publish();
                self.hint(&next);
            }
            Ok(CommitOutcome::Conflict(_)) => {}
            // The row names this process or the next one; the next tick
            // reads which, and opens the shard here again if need be.
            Err(error) => {
                self.handover.unnamed += 1;
                log::debug!("hand-over of {shard}: {error}");
            }
        }
    }

    /// A new version is read at once, not at the next tick.
    pub(crate) fn hint_all(&self) {
        for (process, _) in self.members.live(self.context.timing.ttl) {
            if *process != self.context.process {
                self.hint(process);
            }
        }
    }

    pub(crate) fn hint(&self, process: &str) {
        let Some(member) = self.members.get(process) else {
            return;
        };
        let (node, peer) = (self.context.node.clone(), member.info.peer);
        let ask = Ask::Hint(self.config.version);
        let timeout = self.context.timing.renew;
        tokio::spawn(async move {
            let _ = node.call::<Ask, Reply>(peer, &ask, timeout).await;
        });
    }
}
