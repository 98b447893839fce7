//! Which shard a worker belongs to. The owner of shard 0 keeps the lists in
//! the table; each owner reads those of its own shards.

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

/// A worker of a shard, joined from the assignment and the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerHost {
    /// What the host list says.
    pub host: Host,
    /// How often it was assigned.
    pub assigned: u64,
}

impl WorkerHost {
    /// Whether a link to `self` serves `other` as well.
    #[must_use]
    pub fn is_same_link(&self, other: &WorkerHost) -> bool {
        let address = |host: &WorkerHost| -> SocketAddr { host.host.address };
        self.assigned == other.assigned && address(self) == address(other)
    }
}

/// Joins a shard's list with the host list; workers that the host list no
/// longer names are left out.
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

/// Lists of all shards, as read from the table.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    rows: BTreeMap<ShardId, (RowVersion, AssignRow)>,
}

impl Assignment {
    /// Reads all lists.
    ///
    /// # Errors
    /// The table fails or a list cannot be read.
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

    /// Deals new workers to the shards that have the fewest of their rack, of
    /// their failure domain, and at all, in that order; takes gone ones out.
    /// Returns the shards whose lists changed.
    pub fn deal(&mut self, hosts: &[Host]) -> Vec<ShardId> {
        let places: HashMap<&WorkerId, &Host> = hosts.iter().map(|h| (&h.id, h)).collect();
        let mut changed = Vec::new();
        let mut dealt: HashSet<WorkerId> = HashSet::new();
        for (shard, (_, row)) in &mut self.rows {
            let before = row.workers.len();
            row.workers
                .retain(|worker| places.contains_key(&worker.worker));
            if row.workers.len() != before {
                changed.push(*shard);
            }
            for worker in &row.workers {
                dealt.insert(worker.worker.clone());
            }
        }
        let mut fresh: Vec<&Host> = hosts.iter().filter(|h| !dealt.contains(&h.id)).collect();
        fresh.sort_by(|a, b| (&a.domain, &a.rack, &a.id).cmp(&(&b.domain, &b.rack, &b.id)));
        for host in fresh {
            let shard = self.emptiest(host, &places);
            self.add(shard, host);
            changed.push(shard);
        }
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    fn emptiest(&self, host: &Host, places: &HashMap<&WorkerId, &Host>) -> ShardId {
        let count = |row: &AssignRow, same: fn(&Host, &Host) -> bool| {
            let known = row.workers.iter().filter_map(|w| places.get(&w.worker));
            known.filter(|other| same(other, host)).count()
        };
        let cost = |row: &AssignRow| {
            let rack = count(row, |other, host| other.rack == host.rack);
            let domain = count(row, |other, host| other.domain == host.domain);
            (row.workers.len(), rack, domain)
        };
        let best = self.rows.iter().min_by_key(|(_, (_, row))| cost(row));
        best.map(|(shard, _)| *shard).unwrap_or_default()
    }

    fn add(&mut self, shard: ShardId, host: &Host) {
        if let Some((_, row)) = self.rows.get_mut(&shard) {
            // A returning worker gets a higher number than any that it had:
            // milliseconds since 1970 grow, and the worker refuses a lower.
            row.workers.push(AssignedWorker {
                worker: host.id.clone(),
                assigned: event::wall_millis(),
            });
            row.workers.sort_by(|a, b| a.worker.cmp(&b.worker));
        }
    }

    /// Writes the lists of `changed`, if shard 0 still has the row version
    /// `fence`. False when something else was written meanwhile.
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
        let committed = table.commit(&commit).await?;
        Ok(matches!(committed, CommitOutcome::Done(_)))
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

        assignment.deal(&hosts(48));

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
        assignment.deal(&hosts(8));

        let changed = assignment.deal(&hosts(8));

        assert!(changed.is_empty());
    }
}
