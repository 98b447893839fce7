//! The keeper's lists of workers: which worker belongs to which shard.

use std::time::Duration;
use std::time::Instant;

use model::ShardId;
use store::HostList;
use store::HostState;
use store::ObjectStore;
use store::RowVersion;
use store::Table;

use crate::AssignRow;
use crate::Assignment;
use crate::Keeper;
use crate::OwnerMessage;
use crate::ShardError;
use crate::WorkerHost;
use crate::assign_key;
use crate::join_hosts;

/// Interval of reads of the worker lists while the host list stays the same.
const ASSIGN_INTERVAL: Duration = Duration::from_secs(5);

/// When the lists are read again after the host list has changed: by then the
/// owner of shard 0 has dealt new workers.
const ASSIGN_AGAIN: Duration = Duration::from_secs(1);

impl<T: Table, O: ObjectStore, H: HostList> Keeper<T, O, H> {
    pub(crate) async fn read_workers(&mut self) -> Result<(), ShardError> {
        let now = Instant::now();
        let hosts = self.hosts.borrow().clone();
        let changed = hosts != self.assigned_hosts;
        let due = self.assigned_at.is_none_or(|at| now >= at);
        let Some(hosts) = hosts.filter(|_| due || changed) else {
            return Ok(());
        };
        let wait = if changed {
            ASSIGN_AGAIN
        } else {
            ASSIGN_INTERVAL
        };
        self.assigned_at = Some(now + wait);
        self.assigned_hosts = Some(hosts.clone());
        if let Some(fence) = self.running.get(&0).map(|running| running.fence) {
            self.deal(fence, &hosts).await?;
        }
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            let row = self.context.table.get(&assign_key(shard)).await?;
            self.outage.on_answer();
            let Some(list) = row.and_then(|row| self.readable::<AssignRow>(&row)) else {
                // Nobody has dealt workers to this shard yet.
                self.assigned_at = Some(now + ASSIGN_AGAIN / 4);
                continue;
            };
            let mut workers = join_hosts(&list, &hosts);
            self.mark_drained(&mut workers);
            self.set_workers(shard, workers);
        }
        Ok(())
    }

    /// What operators drain is treated like what the platform takes away.
    pub(crate) fn mark_drained(&self, workers: &mut [WorkerHost]) {
        for worker in workers {
            if self.config.config.drained.contains(&worker.host.id) {
                worker.host.state = HostState::Leaving;
            }
        }
    }

    pub(crate) fn set_workers(&mut self, shard: ShardId, workers: Vec<WorkerHost>) {
        let Some(running) = self.running.get_mut(&shard) else {
            return;
        };
        if running.workers != workers {
            running.workers.clone_from(&workers);
            let _ = running.owner.send(OwnerMessage::Workers(workers));
        }
    }

    pub(crate) async fn deal(
        &mut self,
        fence: RowVersion,
        hosts: &[store::Host],
    ) -> Result<(), ShardError> {
        let table = &self.context.table;
        let mut assignment = Assignment::read(table, self.context.shards).await?;
        let changed = assignment.deal(hosts);
        if changed.is_empty() {
            return Ok(());
        }
        assignment.write(table, fence, &changed).await?;
        Ok(())
    }
}
