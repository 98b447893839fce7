//! The keeper's part in ownership: expires leases, claims and opens shards,
//! and drops those that it has lost.

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

use crate::Claim;
use crate::FORMAT;
use crate::Keeper;
use crate::LeaseRow;
use crate::LeaseState;
use crate::Owner;
use crate::OwnerEnd;
use crate::OwnerMessage;
use crate::ShardError;
use crate::ShardRow;
use crate::Times;
use crate::encode_row;
use crate::keeper::Opened;
use crate::keeper::Running;
use crate::lease_key;
use crate::place_shards;
use crate::recover;
use crate::shard_key;

/// Time after which an expired lease that owns nothing is removed.
const SWEEP_AFTER: Duration = Duration::from_secs(30);

/// A lease that stood still for the TTL.
struct Stale {
    process: Incarnation,
    version: RowVersion,
    lease: LeaseRow,
    name: String,
}

impl<T: Table, O: ObjectStore, H: HostList> Keeper<T, O, H> {
    /// The lease had been expired. That alone fences nothing: a shard whose
    /// row still is as this process left it was taken by nobody, and with the
    /// lease renewed nobody can take it on the strength of the expiry. Such
    /// shards go on with their state; the others are dropped. (Timed out is
    /// not fenced, after KIP-588.)
    pub(crate) async fn sort_shards(&mut self) -> Result<(), ShardError> {
        if !self.context.reclaim {
            self.drop_all();
            return Ok(());
        }
        self.read_cell().await?;
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            let row = self.rows.get(&shard).map(|(version, _)| *version);
            let fence = self.running.get(&shard).map(|running| running.fence);
            if row == fence {
                self.record(Event::new(Kind::ShardReclaimed).shard(shard));
            } else {
                self.drop_shard(shard);
            }
        }
        Ok(())
    }

    pub(crate) fn own_row(&self, epoch: Epoch) -> ShardRow {
        ShardRow {
            format: FORMAT,
            owner: self.context.process.clone(),
            epoch,
        }
    }

    pub(crate) fn drop_all(&mut self) {
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            self.drop_shard(shard);
        }
    }

    pub(crate) fn drop_shard(&mut self, shard: ShardId) {
        if let Some(running) = self.running.remove(&shard) {
            let _ = running.owner.send(OwnerMessage::Drop);
            self.record(Event::new(Kind::ShardFenced).shard(shard));
        }
    }

    pub(crate) async fn expire_stale(&mut self) -> Result<(), ShardError> {
        let ttl = self.context.timing.ttl;
        let stale: Vec<Stale> = self
            .members
            .iter()
            .filter(|(process, member)| {
                **process != self.context.process
                    && member.lease.state != LeaseState::Expired
                    && member.is_stale(ttl)
            })
            .map(|(process, member)| Stale {
                process: process.clone(),
                version: member.version,
                lease: member.lease.clone(),
                name: member.info.name.clone(),
            })
            .collect();
        if stale.is_empty() {
            return Ok(());
        }
        for Stale {
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
                self.record(event.detail(format!("{process} ({name})")));
            }
        }
        self.read_cell().await
    }

    /// Brings what runs in line with what the table says.
    pub(crate) async fn reconcile(&mut self) -> Result<(), ShardError> {
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            let named = self.rows.get(&shard).map(|(_, row)| row.owner.clone());
            if named.as_ref() != Some(&self.context.process) {
                self.drop_shard(shard);
            }
        }
        let mine: Vec<Claim> = self
            .rows
            .iter()
            .filter(|(shard, (_, row))| {
                row.owner == self.context.process
                    && !self.lease.is_leaving()
                    && !self.running.contains_key(shard)
                    && !self.opening.contains(shard)
            })
            .map(|(shard, (version, row))| self.claim(*shard, row.epoch, *version))
            .collect();
        for claim in mine {
            self.open(claim);
        }
        self.sweep().await
    }

    pub(crate) fn claim(&self, shard: ShardId, epoch: Epoch, fence: RowVersion) -> Claim {
        Claim {
            shard,
            process: self.context.process.clone(),
            epoch,
            fence,
        }
    }

    /// Removes leases that expired long ago and own nothing.
    pub(crate) async fn sweep(&mut self) -> Result<(), ShardError> {
        let old = self.members.iter().find(|(process, member)| {
            member.lease.state == LeaseState::Expired
                && member.is_stale(SWEEP_AFTER)
                && !self.rows.values().any(|(_, row)| row.owner == **process)
        });
        if let Some((process, member)) = old {
            let key = lease_key(process);
            let commit = Commit::default()
                .check(key.clone(), member.version)
                .delete(key);
            self.context.table.commit(&commit).await?;
        }
        Ok(())
    }

    /// Process that should own each shard, by this process's view.
    pub(crate) fn wanted_owners(&self) -> Vec<String> {
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

    pub(crate) async fn claim_free(&mut self) -> Result<(), ShardError> {
        if self.lease.is_leaving() {
            return Ok(());
        }
        let wanted = self.wanted_owners();
        for (shard, owner) in (0..self.context.shards).zip(wanted) {
            if owner != self.context.process || self.running.contains_key(&shard) {
                continue;
            }
            self.claim_shard(shard).await?;
        }
        Ok(())
    }

    pub(crate) async fn claim_shard(&mut self, shard: ShardId) -> Result<(), ShardError> {
        let (version, row) = match self.rows.get(&shard) {
            Some((version, row)) => (*version, Some(row.clone())),
            None => (0, None),
        };
        let mut commit = Commit::default()
            .check(shard_key(shard), version)
            .check(lease_key(&self.context.process), self.lease.version());
        let mut epoch = 1;
        if let Some(row) = row {
            if row.owner == self.context.process || !self.members.is_gone(&row.owner) {
                return Ok(());
            }
            // The owner may come back at this very moment; then its lease
            // row has changed, and the claim fails.
            let lease = self
                .members
                .get(&row.owner)
                .map_or(0, |member| member.version);
            commit = commit.check(lease_key(&row.owner), lease);
            epoch = row.epoch + 1;
        }
        commit = commit.put(shard_key(shard), encode_row(&self.own_row(epoch)));
        let committed = self.context.table.commit(&commit).await?;
        self.outage.on_answer();
        if let CommitOutcome::Done(versions) = committed {
            let fence = versions.first().copied().unwrap_or_default();
            let event = Event::new(Kind::ShardClaimed).shard(shard);
            self.record(event.detail(format!("epoch {epoch}")));
            self.rows.insert(shard, (fence, self.own_row(epoch)));
            self.open(self.claim(shard, epoch, fence));
        }
        Ok(())
    }

    pub(crate) fn open(&mut self, claim: Claim) {
        self.opening.insert(claim.shard);
        let context = self.context.clone();
        self.opened.spawn(async move {
            let times = Times {
                now: Duration::ZERO,
                wall_millis: wall_millis(),
            };
            let read = recover(&context.table, &context.objects, &claim, times).await;
            (claim, read)
        });
    }

    pub(crate) async fn on_opened(&mut self, (claim, recovered): Opened) {
        self.opening.remove(&claim.shard);
        let recovered = match recovered {
            Ok(recovered) => recovered,
            // The next tick finds the row and tries again.
            Err(error @ ShardError::Damaged { .. }) => {
                let event = Event::new(Kind::RowDamaged).shard(claim.shard);
                self.record(event.detail(error.to_string()));
                return;
            }
            Err(error) => {
                log::debug!("shard {} is not open: {error}", claim.shard);
                return;
            }
        };
        let current = self.rows.get(&claim.shard).map(|(version, _)| *version);
        if current != Some(claim.fence) {
            return;
        }
        let (sender, inbox) = mpsc::unbounded_channel();
        let view = self.view.subscribe();
        let (context, config) = (self.context.clone(), self.config.clone());
        let owner = Owner::new(context, recovered, config, view, inbox);
        let shard = claim.shard;
        self.ended.spawn(async move { (shard, owner.run().await) });
        let running = Running {
            epoch: claim.epoch,
            fence: claim.fence,
            owner: sender,
            workers: Vec::new(),
            releasing: false,
        };
        self.running.insert(shard, running);
        self.assigned_at = None;
        self.publish();
        if let Err(error) = self.read_workers().await {
            log::debug!("workers: {error}");
        }
    }

    pub(crate) fn on_ended(&mut self, (shard, end): (ShardId, OwnerEnd)) {
        let ended = |running: &Running| running.owner.is_closed();
        if end == OwnerEnd::Fenced && self.running.get(&shard).is_some_and(ended) {
            self.drop_shard(shard);
        }
    }
}
