//! The shard manager's claims: expires stale leases, claims and opens shards,
//! and drops shards that another process has taken.

use std::time::Duration;

use event::Event;
use event::Kind;
use event::wall_millis;
use model::Epoch;
use model::Incarnation;
use model::ShardId;
use store::Commit;
use store::CommitOutcome;
use store::HostList;
use store::ObjectStore;
use store::RowVersion;
use store::Table;
use tokio::sync::mpsc;

use crate::FORMAT;
use crate::LeaseRow;
use crate::LeaseState;
use crate::ShardClaim;
use crate::ShardError;
use crate::ShardManager;
use crate::ShardRow;
use crate::ShardTask;
use crate::ShardTaskEnd;
use crate::ShardTaskMessage;
use crate::Times;
use crate::encode_row;
use crate::lease_key;
use crate::place_shards;
use crate::recover;
use crate::shard_key;
use crate::shard_manager::OpenResult;
use crate::shard_manager::RunningShard;

/// Age at which an expired lease whose process owns no shard is removed.
const EXPIRED_LEASE_RETENTION: Duration = Duration::from_secs(30);

/// A lease that was not renewed for the TTL.
struct StaleLease {
    process: Incarnation,
    version: RowVersion,
    lease: LeaseRow,
    name: String,
}

impl<T: Table, O: ObjectStore, H: HostList> ShardManager<T, O, H> {
    /// Rechecks all running shards after another process had expired this
    /// process's lease. The expiry alone fences nothing: if a shard's row is
    /// unchanged, no process has claimed the shard, and a claim that relies on
    /// that expiry fails, since the renewal has changed the lease row. Such
    /// shards keep their state; the others are dropped. (KIP-588 likewise
    /// separates timeouts from fencing.)
    pub(crate) async fn recheck_shards(&mut self) -> Result<(), ShardError> {
        if !self.context.reclaim {
            self.drop_all_shards();
            return Ok(());
        }
        self.read_cell().await?;
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            let row = self.shard_rows.get(&shard).map(|(version, _)| *version);
            let fence = self.running.get(&shard).map(|running| running.fence);
            if row == fence {
                self.record_event(Event::new(Kind::ShardReclaimed).shard(shard));
            } else {
                self.drop_shard(shard);
            }
        }
        Ok(())
    }

    /// Row that names this process as the owner of a shard.
    pub(crate) fn own_shard_row(&self, epoch: Epoch) -> ShardRow {
        ShardRow {
            format: FORMAT,
            owner: self.context.process.clone(),
            epoch,
        }
    }

    pub(crate) fn drop_all_shards(&mut self) {
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            self.drop_shard(shard);
        }
    }

    /// Ends the task of a shard that another process owns or may own.
    pub(crate) fn drop_shard(&mut self, shard: ShardId) {
        if let Some(running) = self.running.remove(&shard) {
            let _ = running.task.send(ShardTaskMessage::Drop);
            self.record_event(Event::new(Kind::ShardFenced).shard(shard));
        }
    }

    /// Marks the leases of other processes as expired that were not renewed for
    /// the TTL.
    pub(crate) async fn expire_stale(&mut self) -> Result<(), ShardError> {
        let ttl = self.context.timing.ttl;
        let stale: Vec<StaleLease> = self
            .members
            .iter()
            .filter(|(process, member)| {
                **process != self.context.process
                    && member.lease.state != LeaseState::Expired
                    && member.is_stale(ttl)
            })
            .map(|(process, member)| StaleLease {
                process: process.clone(),
                version: member.version,
                lease: member.lease.clone(),
                name: member.info.name.clone(),
            })
            .collect();
        if stale.is_empty() {
            return Ok(());
        }
        for StaleLease {
            process,
            version,
            mut lease,
            name,
        } in stale
        {
            lease.state = LeaseState::Expired;
            let key = lease_key(&process);
            let commit = Commit::default()
                .check(key.clone(), version)
                .put(key, encode_row(&lease));
            if let CommitOutcome::Done(_) = self.context.table.commit(&commit).await? {
                let event = Event::new(Kind::PeerExpired);
                self.record_event(event.detail(format!("{process} ({name})")));
            }
        }
        self.read_cell().await
    }

    /// Drops running shards whose rows name another owner, and opens shards
    /// whose rows name this process.
    pub(crate) async fn reconcile(&mut self) -> Result<(), ShardError> {
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            let row_owner = self
                .shard_rows
                .get(&shard)
                .map(|(_, row)| row.owner.clone());
            if row_owner.as_ref() != Some(&self.context.process) {
                self.drop_shard(shard);
            }
        }
        let unopened: Vec<ShardClaim> = self
            .shard_rows
            .iter()
            .filter(|(shard, (_, row))| {
                row.owner == self.context.process
                    && !self.lease.is_leaving()
                    && !self.running.contains_key(shard)
                    && !self.opening.contains(shard)
            })
            .map(|(shard, (version, row))| self.claim(*shard, row.epoch, *version))
            .collect();
        for claim in unopened {
            self.open_shard(claim);
        }
        self.delete_expired_lease().await
    }

    /// A claim of this process, as already written to the table.
    pub(crate) fn claim(&self, shard: ShardId, epoch: Epoch, fence: RowVersion) -> ShardClaim {
        ShardClaim {
            shard,
            process: self.context.process.clone(),
            epoch,
            fence,
        }
    }

    /// Removes one lease that expired long ago and whose process owns no shard.
    pub(crate) async fn delete_expired_lease(&mut self) -> Result<(), ShardError> {
        let removable = self.members.iter().find(|(process, member)| {
            member.lease.state == LeaseState::Expired
                && member.is_stale(EXPIRED_LEASE_RETENTION)
                && !self
                    .shard_rows
                    .values()
                    .any(|(_, row)| row.owner == **process)
        });
        if let Some((process, member)) = removable {
            let key = lease_key(process);
            let commit = Commit::default()
                .check(key.clone(), member.version)
                .delete(key);
            self.context.table.commit(&commit).await?;
        }
        Ok(())
    }

    /// The process that should own each shard, from this process's view of the
    /// live members; empty if there are none.
    pub(crate) fn desired_owners(&self) -> Vec<String> {
        let ttl = self.context.timing.ttl;
        let mut live: Vec<(String, String)> = self
            .members
            .live(ttl)
            .map(|(process, member)| (member.info.name.clone(), process.clone()))
            .collect();
        live.sort();
        let names: Vec<String> = live.iter().map(|(name, _)| name.clone()).collect();
        let owners = place_shards(&names, self.context.shards);
        owners
            .into_iter()
            .map(|index| live[index].1.clone())
            .collect()
    }

    /// Claims the shards that this process should own and that have no live
    /// owner.
    pub(crate) async fn claim_unowned_shards(&mut self) -> Result<(), ShardError> {
        if self.lease.is_leaving() {
            return Ok(());
        }
        let desired = self.desired_owners();
        for (shard, owner) in (0..self.context.shards).zip(desired) {
            if owner != self.context.process || self.running.contains_key(&shard) {
                continue;
            }
            self.claim_shard(shard).await?;
        }
        Ok(())
    }

    /// Claims one shard, unless its owner still has a lease. The commit checks
    /// the shard's row and the leases of this process and of the former owner.
    pub(crate) async fn claim_shard(&mut self, shard: ShardId) -> Result<(), ShardError> {
        let (version, row) = match self.shard_rows.get(&shard) {
            Some((version, row)) => (*version, Some(row.clone())),
            None => (0, None),
        };
        let mut commit = Commit::default()
            .check(shard_key(shard), version)
            .check(lease_key(&self.context.process), self.lease.version());
        let mut epoch = 1;
        if let Some(row) = row {
            if row.owner == self.context.process || !self.members.is_gone_or_expired(&row.owner) {
                return Ok(());
            }
            // If the former owner renews its lease at this moment, the version
            // of its lease row changes and the claim fails.
            let lease_version = self
                .members
                .get(&row.owner)
                .map_or(0, |member| member.version);
            commit = commit.check(lease_key(&row.owner), lease_version);
            epoch = row.epoch + 1;
        }
        commit = commit.put(shard_key(shard), encode_row(&self.own_shard_row(epoch)));
        let outcome = self.context.table.commit(&commit).await?;
        self.outage.record_answer();
        if let CommitOutcome::Done(versions) = outcome {
            let fence = versions.first().copied().unwrap_or_default();
            let event = Event::new(Kind::ShardClaimed).shard(shard);
            self.record_event(event.detail(format!("epoch {epoch}")));
            self.shard_rows
                .insert(shard, (fence, self.own_shard_row(epoch)));
            self.open_shard(self.claim(shard, epoch, fence));
        }
        Ok(())
    }

    /// Starts the recovery of a claimed shard.
    pub(crate) fn open_shard(&mut self, claim: ShardClaim) {
        self.opening.insert(claim.shard);
        let context = self.context.clone();
        self.open_results.spawn(async move {
            let times = Times {
                now: Duration::ZERO,
                wall_millis: wall_millis(),
            };
            let recovered = recover(&context.table, &context.objects, &claim, times).await;
            (claim, recovered)
        });
    }

    /// Starts the task of a recovered shard, if its row has not changed
    /// meanwhile.
    pub(crate) async fn on_shard_opened(&mut self, (claim, recovered): OpenResult) {
        self.opening.remove(&claim.shard);
        let recovered = match recovered {
            Ok(recovered) => recovered,
            // The next tick finds the shard's row and tries again.
            Err(error @ ShardError::Damaged { .. }) => {
                let event = Event::new(Kind::RowDamaged).shard(claim.shard);
                self.record_event(event.detail(error.to_string()));
                return;
            }
            Err(error) => {
                log::debug!("shard {} not opened: {error}", claim.shard);
                return;
            }
        };
        let current_version = self
            .shard_rows
            .get(&claim.shard)
            .map(|(version, _)| *version);
        if current_version != Some(claim.fence) {
            return;
        }
        let (sender, inbox) = mpsc::unbounded_channel();
        let view = self.view.subscribe();
        let (context, config) = (self.context.clone(), self.config.clone());
        let shard_task = ShardTask::new(context, recovered, config, view, inbox);
        let shard = claim.shard;
        self.task_ends
            .spawn(async move { (shard, shard_task.run().await) });
        let running = RunningShard {
            epoch: claim.epoch,
            fence: claim.fence,
            task: sender,
            workers: Vec::new(),
            releasing: false,
        };
        self.running.insert(shard, running);
        self.lists_due = None;
        self.publish();
        if let Err(error) = self.read_worker_lists().await {
            log::debug!("worker lists not read: {error}");
        }
    }

    /// Drops a shard whose task has ended because it was fenced. If the shard
    /// was opened again meanwhile, the new task is still running and stays.
    pub(crate) fn on_task_ended(&mut self, (shard, end): (ShardId, ShardTaskEnd)) {
        let ended = |running: &RunningShard| running.task.is_closed();
        if end == ShardTaskEnd::Fenced && self.running.get(&shard).is_some_and(ended) {
            self.drop_shard(shard);
        }
    }
}
