//! The keeper's reads of the table: who lives, who owns what, which
//! configuration is newest.

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
use crate::Keeper;
use crate::LEASE_PREFIX;
use crate::LeaseReading;
use crate::LeaseRow;
use crate::MemberRow;
use crate::OwnerMessage;
use crate::PatchError;
use crate::SHARD_PREFIX;
use crate::SeenLease;
use crate::ShardError;
use crate::ShardRow;
use crate::decode_row;
use crate::member_key;
use crate::read_config;

/// Part of the cell's write rate that journals may use, in percent; the rest
/// is for leases, claims and patches.
const JOURNAL_PERCENT: u32 = 80;

impl<T: Table, O: ObjectStore, H: HostList> Keeper<T, O, H> {
    pub(crate) async fn read_cell(&mut self) -> Result<(), ShardError> {
        let began = Instant::now();
        let rows = self.context.table.range(CELL_PREFIX).await?;
        self.outage.on_answer();
        let mut found = Vec::new();
        let mut head = None;
        self.rows.clear();
        for row in rows {
            if let Some(process) = row.key.strip_prefix(LEASE_PREFIX) {
                if let Some(lease) = self.readable::<LeaseRow>(&row) {
                    found.push((process.to_owned(), row.version, lease));
                }
            } else if let Some(number) = row.key.strip_prefix(SHARD_PREFIX) {
                let shard = number.parse::<ShardId>().ok();
                if let (Some(shard), Some(owner)) = (shard, self.readable::<ShardRow>(&row)) {
                    self.rows.insert(shard, (row.version, owner));
                }
            } else if row.key == CONFIG_HEAD {
                head = row.value.parse::<Version>().ok();
            }
        }
        let leases = self.join_members(found).await?;
        let reading = LeaseReading {
            began,
            ended: Instant::now(),
            leases,
        };
        self.members.observe(reading, self.context.timing.ttl);
        self.share_writes();
        if head.is_some_and(|head| head > self.config.version) {
            self.fetch_config().await?;
        }
        Ok(())
    }

    /// Adds what never changes about the processes, read once for each.
    pub(crate) async fn join_members(
        &self,
        found: Vec<(Incarnation, RowVersion, LeaseRow)>,
    ) -> Result<Vec<SeenLease>, ShardError> {
        let mut leases = Vec::new();
        for (process, version, lease) in found {
            let mut info = self.members.get(&process).map(|known| known.info.clone());
            if info.is_none() {
                let row = self.context.table.get(&member_key(&process)).await?;
                info = row.and_then(|row| self.readable::<MemberRow>(&row));
            }
            let Some(info) = info else {
                continue;
            };
            leases.push(SeenLease {
                process,
                version,
                lease,
                info,
            });
        }
        Ok(leases)
    }

    /// A row that cannot be read is left alone, and said so.
    pub(crate) fn readable<R>(&self, row: &Row) -> Option<R>
    where
        R: serde::de::DeserializeOwned + crate::Formatted,
    {
        match decode_row(row) {
            Ok(read) => Some(read),
            Err(error) => {
                self.record(Event::new(Kind::RowDamaged).detail(error.to_string()));
                None
            }
        }
    }

    pub(crate) fn share_writes(&self) {
        let live = self.members.live(self.context.timing.ttl).count().max(1);
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let rate = self.context.write_rate * JOURNAL_PERCENT / 100;
        self.context
            .pacer
            .set_rate(f64::from(rate) / f64::from(live));
    }

    pub(crate) async fn fetch_config(&mut self) -> Result<(), ShardError> {
        match read_config(&self.context.table).await {
            Ok((numbered, _)) => {
                self.adopt(&Arc::new(numbered));
                Ok(())
            }
            Err(PatchError::Damaged { reason }) => {
                self.record(Event::new(Kind::RowDamaged).detail(reason));
                Ok(())
            }
            // The row may be whole; the next tick reads it again.
            Err(error) => {
                log::debug!("configuration: {error}");
                Ok(())
            }
        }
    }

    /// Never goes back a version.
    pub(crate) fn adopt(&mut self, config: &Arc<VersionedConfig>) {
        if config.version <= self.config.version {
            return;
        }
        let event = Event::new(Kind::ConfigAdopted);
        self.record(event.detail(format!("version {}", config.version)));
        self.config = config.clone();
        // Drained workers may have changed.
        self.assigned_at = None;
        for running in self.running.values() {
            let _ = running.owner.send(OwnerMessage::Config(config.clone()));
        }
        // Calls are routed by it before the lease says that it is in force.
        self.publish();
    }
}
