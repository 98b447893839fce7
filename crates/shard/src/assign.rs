//! Assignment of workers to shards. The owner of shard 0 maintains the worker
//! lists of all shards in the table; every owner reads the lists of its own
//! shards.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use model::ShardId;
use model::WorkerId;
use store::Commit;
use store::CommitOutcome;
use store::Host;
use store::RowVersion;
use store::Table;

use crate::AssignRow;
use crate::AssignedWorker;
use crate::FORMAT;
use crate::ShardError;
use crate::assign_key;
use crate::decode_row;
use crate::encode_row;
use crate::shard_key;

/// A worker of a shard: its assignment joined with its entry in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerHost {
    /// The worker's entry in the host list.
    pub host: Host,
    /// Assignment number, from the shard's worker list; a later assignment has
    /// a higher number.
    pub assigned: u64,
}

impl WorkerHost {
    /// Whether an open link to `self` can also serve `other`: both have the
    /// same assignment number and address.
    #[must_use]
    pub fn shares_link_with(&self, other: &WorkerHost) -> bool {
        let address = |host: &WorkerHost| -> SocketAddr { host.host.address };
        self.assigned == other.assigned && address(self) == address(other)
    }
}

/// Joins a shard's worker list with the host list. Workers missing from the
/// host list are left out.
#[must_use]
pub fn join_hosts(row: &AssignRow, hosts: &[Host]) -> Vec<WorkerHost> {
    let by_id: HashMap<&WorkerId, &Host> = hosts.iter().map(|host| (&host.id, host)).collect();
    let joined = row.workers.iter().filter_map(|worker| {
        by_id.get(&worker.worker).map(|host| WorkerHost {
            host: (*host).clone(),
            assigned: worker.assigned,
        })
    });
    joined.collect()
}

/// The worker lists of all shards, with the row versions at which they were
/// read.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    rows: BTreeMap<ShardId, (RowVersion, AssignRow)>,
}

impl Assignment {
    /// Reads the worker lists of all shards.
    ///
    /// # Errors
    /// The table fails or a list cannot be decoded.
    pub async fn read<T: Table>(table: &T, shards: u16) -> Result<Assignment, ShardError> {
        let mut rows = BTreeMap::new();
        for shard in 0..shards {
            rows.insert(shard, (0, AssignRow::default()));
        }
        for row in table.range("assign/").await? {
            let list: AssignRow = decode_row(&row)?;
            let number = row.key.trim_start_matches("assign/").parse::<ShardId>();
            if let Ok(shard) = number {
                rows.insert(shard, (row.version, list));
            }
        }
        Ok(Assignment { rows })
    }

    /// Removes workers that left the host list and assigns new ones, each to
    /// the shard with the fewest workers; ties go to the shard with the fewest
    /// workers of the same rack, then of the same failure domain. Returns the
    /// shards whose lists changed.
    pub fn assign_workers(&mut self, hosts: &[Host]) -> Vec<ShardId> {
        let hosts_by_id: HashMap<&WorkerId, &Host> = hosts.iter().map(|h| (&h.id, h)).collect();
        let mut changed = Vec::new();
        let mut assigned_ids: HashSet<WorkerId> = HashSet::new();
        for (shard, (_, row)) in &mut self.rows {
            let old_len = row.workers.len();
            row.workers
                .retain(|worker| hosts_by_id.contains_key(&worker.worker));
            if row.workers.len() != old_len {
                changed.push(*shard);
            }
            for worker in &row.workers {
                assigned_ids.insert(worker.worker.clone());
            }
        }
        let mut unassigned: Vec<&Host> = hosts
            .iter()
            .filter(|h| !assigned_ids.contains(&h.id))
            .collect();
        unassigned.sort_by(|a, b| (&a.domain, &a.rack, &a.id).cmp(&(&b.domain, &b.rack, &b.id)));
        for host in unassigned {
            let shard = self.least_loaded_shard(host, &hosts_by_id);
            self.add_worker(shard, host);
            changed.push(shard);
        }
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Shard that a new worker is assigned to.
    fn least_loaded_shard(&self, host: &Host, hosts_by_id: &HashMap<&WorkerId, &Host>) -> ShardId {
        let count = |row: &AssignRow, is_same: fn(&Host, &Host) -> bool| {
            let shard_hosts = row
                .workers
                .iter()
                .filter_map(|w| hosts_by_id.get(&w.worker));
            shard_hosts.filter(|other| is_same(other, host)).count()
        };
        let cost = |row: &AssignRow| {
            let rack = count(row, |other, host| other.rack == host.rack);
            let domain = count(row, |other, host| other.domain == host.domain);
            (row.workers.len(), rack, domain)
        };
        let best = self.rows.iter().min_by_key(|(_, (_, row))| cost(row));
        best.map(|(shard, _)| *shard).unwrap_or_default()
    }

    fn add_worker(&mut self, shard: ShardId, host: &Host) {
        if let Some((_, row)) = self.rows.get_mut(&shard) {
            // A worker that returns needs a higher assignment number than any
            // it had before, since workers refuse lower ones. Milliseconds
            // since 1970 always grow.
            row.workers.push(AssignedWorker {
                worker: host.id.clone(),
                assigned: event::wall_millis(),
            });
            row.workers.sort_by(|a, b| a.worker.cmp(&b.worker));
        }
    }

    /// Writes the lists of the `changed` shards if the row of shard 0 still has
    /// version `fence`. Returns false if that row or one of the lists was
    /// written by someone else meanwhile.
    ///
    /// # Errors
    /// The table fails.
    pub async fn write<T: Table>(
        &self,
        table: &T,
        fence: RowVersion,
        changed: &[ShardId],
    ) -> Result<bool, ShardError> {
        let mut commit = Commit::default().check(shard_key(0), fence);
        for shard in changed {
            let Some((version, row)) = self.rows.get(shard) else {
                continue;
            };
            let row = AssignRow {
                format: FORMAT,
                workers: row.workers.clone(),
            };
            let key = assign_key(*shard);
            commit = commit
                .check(key.clone(), *version)
                .put(key, encode_row(&row));
        }
        let outcome = table.commit(&commit).await?;
        Ok(matches!(outcome, CommitOutcome::Done(_)))
    }
}

#[cfg(test)]
mod tests {
    use store::Host;
    use store::HostState;

    use super::Assignment;
    use crate::AssignRow;

    fn hosts(count: usize) -> Vec<Host> {
        let host = |index: usize| Host {
            id: format!("w{index:02}"),
            address: ([127, 0, 0, 1], 1).into(),
            domain: format!("d{}", index / 16),
            rack: format!("r{}", index / 8),
            state: HostState::Live,
        };
        (0..count).map(host).collect()
    }

    #[test]
    fn each_shard_spans_racks() {
        let mut assignment = Assignment::default();
        for shard in 0..16 {
            assignment.rows.insert(shard, (0, AssignRow::default()));
        }

        assignment.assign_workers(&hosts(48));

        for (_, row) in assignment.rows.values() {
            assert_eq!(row.workers.len(), 3);
            let index = |worker: &str| worker[1..].parse::<usize>().unwrap_or_default() / 8;
            let mut racks: Vec<usize> = row.workers.iter().map(|w| index(&w.worker)).collect();
            racks.dedup();
            assert_eq!(racks.len(), 3, "{row:?}");
        }
    }

    #[test]
    fn an_unchanged_host_list_changes_nothing() {
        let mut assignment = Assignment::default();
        assignment.rows.insert(0, (0, AssignRow::default()));
        assignment.assign_workers(&hosts(8));

        let changed = assignment.assign_workers(&hosts(8));

        assert!(changed.is_empty());
    }
}
