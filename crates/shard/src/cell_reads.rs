//! The shard manager's reads of the table: live processes, owners of the
//! shards, and the newest configuration.

use std::sync::Arc;
use std::time::Instant;

use event::Event;
use event::Kind;
use model::Incarnation;
use model::ShardId;
use model::Version;
use model::VersionedConfig;
use store::HostList;
use store::ObjectStore;
use store::Row;
use store::RowVersion;
use store::Table;

use crate::CELL_PREFIX;
use crate::CONFIG_HEAD;
use crate::LEASE_PREFIX;
use crate::LeaseRow;
use crate::LeaseScan;
use crate::MemberRow;
use crate::ObservedLease;
use crate::PatchError;
use crate::SHARD_PREFIX;
use crate::ShardError;
use crate::ShardManager;
use crate::ShardRow;
use crate::ShardTaskMessage;
use crate::decode_row;
use crate::member_key;
use crate::read_config;

/// Part of the cell's write rate available to journals, in percent; the rest is
/// reserved for leases, claims and patches.
const JOURNAL_PERCENT: u32 = 80;

impl<T: Table, O: ObjectStore, H: HostList> ShardManager<T, O, H> {
    /// Reads the leases, the shard rows and the newest configuration version,
    /// and fetches the configuration if it is newer than the one in force.
    pub(crate) async fn read_cell(&mut self) -> Result<(), ShardError> {
        let started_at = Instant::now();
        let rows = self.context.table.range(CELL_PREFIX).await?;
        self.outage.record_answer();
        let mut found = Vec::new();
        let mut newest_version = None;
        self.shard_rows.clear();
        for row in rows {
            if let Some(process) = row.key.strip_prefix(LEASE_PREFIX) {
                if let Some(lease) = self.decode_or_record::<LeaseRow>(&row) {
                    found.push((process.to_owned(), row.version, lease));
                }
            } else if let Some(number) = row.key.strip_prefix(SHARD_PREFIX) {
                let shard = number.parse::<ShardId>().ok();
                if let (Some(shard), Some(owner)) = (shard, self.decode_or_record::<ShardRow>(&row))
                {
                    self.shard_rows.insert(shard, (row.version, owner));
                }
            } else if row.key == CONFIG_HEAD {
                newest_version = row.value.parse::<Version>().ok();
            }
        }
        let leases = self.join_members(found).await?;
        let scan = LeaseScan {
            started_at,
            ended_at: Instant::now(),
            leases,
        };
        self.members.observe(scan, self.context.timing.ttl);
        self.update_journal_rate();
        if newest_version.is_some_and(|newest_version| newest_version > self.config.version) {
            self.fetch_config().await?;
        }
        Ok(())
    }

    /// Adds the constant properties of each process, which are read only once.
    /// Processes whose properties are missing or cannot be decoded are left out.
    pub(crate) async fn join_members(
        &self,
        found: Vec<(Incarnation, RowVersion, LeaseRow)>,
    ) -> Result<Vec<ObservedLease>, ShardError> {
        let mut leases = Vec::new();
        for (process, version, lease) in found {
            let mut info = self.members.get(&process).map(|member| member.info.clone());
            if info.is_none() {
                let row = self.context.table.get(&member_key(&process)).await?;
                info = row.and_then(|row| self.decode_or_record::<MemberRow>(&row));
            }
            let Some(info) = info else {
                continue;
            };
            leases.push(ObservedLease {
                process,
                version,
                lease,
                info,
            });
        }
        Ok(leases)
    }

    /// Decodes a row. A row that cannot be decoded is left unchanged and
    /// recorded as a timeline event.
    pub(crate) fn decode_or_record<R>(&self, row: &Row) -> Option<R>
    where
        R: serde::de::DeserializeOwned + crate::Formatted,
    {
        match decode_row(row) {
            Ok(decoded) => Some(decoded),
            Err(error) => {
                self.record_event(Event::new(Kind::RowDamaged).detail(error.to_string()));
                None
            }
        }
    }

    /// Divides the journals' part of the write rate among the live processes.
    pub(crate) fn update_journal_rate(&self) {
        let live = self.members.live(self.context.timing.ttl).count().max(1);
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let rate = self.context.write_rate * JOURNAL_PERCENT / 100;
        self.context
            .pacer
            .set_rate(f64::from(rate) / f64::from(live));
    }

    /// Reads the newest configuration document and adopts it.
    pub(crate) async fn fetch_config(&mut self) -> Result<(), ShardError> {
        match read_config(&self.context.table).await {
            Ok((versioned, _)) => {
                self.adopt_config(&Arc::new(versioned));
                Ok(())
            }
            Err(PatchError::Damaged { reason }) => {
                self.record_event(Event::new(Kind::RowDamaged).detail(reason));
                Ok(())
            }
            // The row itself may be intact; the next tick reads it again.
            Err(error) => {
                log::debug!("configuration not read: {error}");
                Ok(())
            }
        }
    }

    /// Adopts a newer configuration version; older ones are ignored.
    pub(crate) fn adopt_config(&mut self, config: &Arc<VersionedConfig>) {
        if config.version <= self.config.version {
            return;
        }
        let event = Event::new(Kind::ConfigAdopted);
        self.record_event(event.detail(format!("version {}", config.version)));
        self.config = config.clone();
        // The set of drained workers may have changed: read the worker lists
        // again.
        self.lists_due = None;
        for running in self.running.values() {
            let _ = running.task.send(ShardTaskMessage::Config(config.clone()));
        }
        // Calls must be routed by the new version before the lease row says
        // that it is in force here.
        self.publish();
    }
}
