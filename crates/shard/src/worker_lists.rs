//! The shard manager's reads of the worker lists, which say which worker
//! belongs to which shard.

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
use crate::ShardError;
use crate::ShardManager;
use crate::ShardTaskMessage;
use crate::WorkerHost;
use crate::assign_key;
use crate::join_hosts;

/// Interval between reads of the worker lists while the host list is unchanged.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before the lists are read again after the host list has changed; by
/// then the owner of shard 0 has assigned the new workers.
const LIST_RETRY: Duration = Duration::from_secs(1);

impl<T: Table, O: ObjectStore, H: HostList> ShardManager<T, O, H> {
    /// Reads the worker lists of the running shards and sends changes to their
    /// tasks. The owner of shard 0 first assigns new workers.
    pub(crate) async fn read_worker_lists(&mut self) -> Result<(), ShardError> {
        let now = Instant::now();
        let hosts = self.hosts.borrow().clone();
        let changed = hosts != self.last_hosts;
        let due = self.lists_due.is_none_or(|at| now >= at);
        let Some(hosts) = hosts.filter(|_| due || changed) else {
            return Ok(());
        };
        let delay = if changed { LIST_RETRY } else { LIST_INTERVAL };
        self.lists_due = Some(now + delay);
        self.last_hosts = Some(hosts.clone());
        if let Some(fence) = self.running.get(&0).map(|running| running.fence) {
            self.assign_workers(fence, &hosts).await?;
        }
        let shards: Vec<ShardId> = self.running.keys().copied().collect();
        for shard in shards {
            let row = self.context.table.get(&assign_key(shard)).await?;
            self.outage.record_answer();
            let Some(list) = row.and_then(|row| self.decode_or_record::<AssignRow>(&row)) else {
                // The owner of shard 0 has not yet assigned workers to this
                // shard.
                self.lists_due = Some(now + LIST_RETRY / 4);
                continue;
            };
            let mut workers = join_hosts(&list, &hosts);
            self.mark_drained(&mut workers);
            self.set_workers(shard, workers);
        }
        Ok(())
    }

    /// Marks workers that operators have drained as leaving, like workers that
    /// the platform takes away.
    pub(crate) fn mark_drained(&self, workers: &mut [WorkerHost]) {
        for worker in workers {
            if self.config.config.drained.contains(&worker.host.id) {
                worker.host.state = HostState::Leaving;
            }
        }
    }

    /// Sends a shard's workers to its task if they have changed.
    pub(crate) fn set_workers(&mut self, shard: ShardId, workers: Vec<WorkerHost>) {
        let Some(running) = self.running.get_mut(&shard) else {
            return;
        };
        if running.workers != workers {
            running.workers.clone_from(&workers);
            let _ = running.task.send(ShardTaskMessage::Workers(workers));
        }
    }

    /// Assigns new workers to the shards and writes the changed lists.
    pub(crate) async fn assign_workers(
        &mut self,
        fence: RowVersion,
        hosts: &[store::Host],
    ) -> Result<(), ShardError> {
        let table = &self.context.table;
        let mut assignment = Assignment::read(table, self.context.shards).await?;
        let changed = assignment.assign_workers(hosts);
        if changed.is_empty() {
            return Ok(());
        }
        assignment.write(table, fence, &changed).await?;
        Ok(())
    }
}
