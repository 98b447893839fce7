//! This process's lease row. One write renews the lease for all its shards.

use std::sync::Arc;
use std::time::Instant;

use model::Version;
use store::Commit;
use store::CommitOutcome;
use store::RowVersion;
use store::StoreError;
use store::Table;

use crate::CELL_PARAMS;
use crate::CellParams;
use crate::Context;
use crate::FORMAT;
use crate::LeaseRow;
use crate::LeaseState;
use crate::MemberRow;
use crate::decode_row;
use crate::encode_row;
use crate::lease_key;
use crate::member_key;

/// Result of a successful renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// No other process has expired the lease since the last renewal, or this
    /// is the first one.
    Extended,
    /// Another process had expired the lease, its row was gone, or the row could
    /// not be decoded. This process has the lease again, but others may have
    /// taken shards in between.
    Regained,
}

/// This process's lease row. The type parameters are those of [`Context`].
#[derive(Debug)]
pub struct Lease<T, O, H> {
    context: Arc<Context<T, O, H>>,
    /// Version of the row as last written or read; 0 if there was no row. The
    /// next write requires that the row still has this version.
    version: RowVersion,
    /// Number of attempted writes, which is stored in the row.
    counter: u64,
    /// State to store in the row: live or leaving.
    state: LeaseState,
}

impl<T: Table, O, H> Lease<T, O, H> {
    /// A lease that is not yet in the table.
    #[must_use]
    pub fn new(context: Arc<Context<T, O, H>>) -> Lease<T, O, H> {
        Lease {
            context,
            version: 0,
            counter: 0,
            state: LeaseState::Live,
        }
    }

    /// Version of the row as last written or read; 0 before the first renewal.
    #[must_use]
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// Marks the process as leaving from the next renewal on; the other
    /// processes then assign it no more shards.
    pub fn mark_leaving(&mut self) {
        self.state = LeaseState::Leaving;
    }

    /// Whether the process is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state == LeaseState::Leaving
    }

    /// Renews the lease. Also returns the moment before the successful renewal
    /// was sent: this process counts the lease from that moment, while the
    /// other processes count from a later one. `config` is the version of the
    /// configuration in force in this process, which the row shows to the others.
    ///
    /// # Errors
    /// - The table does not answer or refuses a call; the renewal may have taken
    ///   effect.
    /// - The row was changed twice during this call; the next call may succeed.
    /// - The lease row is missing, and the table is not that of this cell (see
    ///   [`Lease::check_cell`]); further calls fail as well.
    pub async fn renew(&mut self, config: Version) -> Result<(Renewal, Instant), StoreError> {
        let sent_at = Instant::now();
        self.counter += 1;
        if self.try_write(config).await? {
            return Ok((Renewal::Extended, sent_at));
        }
        let key = lease_key(&self.context.process);
        let row = self.context.table.get(&key).await?;
        if row.is_none() {
            self.check_cell().await?;
        }
        let found_lease = row
            .as_ref()
            .and_then(|row| decode_row::<LeaseRow>(row).ok());
        self.version = row.map_or(0, |row| row.version);
        // If the row is not expired, it was written by an earlier renewal whose
        // reply was lost; no process has expired the lease.
        let still_held = found_lease.is_some_and(|lease| lease.state != LeaseState::Expired);
        let sent_at = Instant::now();
        self.counter += 1;
        if !self.try_write(config).await? {
            let reason = "the lease row was changed twice during one renewal".to_owned();
            return Err(StoreError::Unavailable { reason });
        }
        let renewal = if still_held {
            Renewal::Extended
        } else {
            Renewal::Regained
        };
        Ok((renewal, sent_at))
    }

    /// Fails if the table has no readable row with the id of this process's cell:
    /// another cell has been created in it, or its content is lost. With a lease
    /// row there, this process would claim shards of the other cell, whose
    /// processes cannot reach it.
    async fn check_cell(&self) -> Result<(), StoreError> {
        let row = self.context.table.get(CELL_PARAMS).await?;
        let params = row.and_then(|row| decode_row::<CellParams>(&row).ok());
        let found_cell = params.map_or(0, |params| params.cell);
        if found_cell == self.context.cell {
            return Ok(());
        }
        let reason = format!(
            "the table belongs to another cell: found {found_cell:016x}, allowed {:016x}",
            self.context.cell
        );
        log::error!("{reason}");
        Err(StoreError::Unavailable { reason })
    }

    /// Writes the lease row. If there was none, also writes the row of the
    /// process's constant properties. Returns false, and writes nothing, if the
    /// lease row does not have the expected version.
    async fn try_write(&mut self, config: Version) -> Result<bool, StoreError> {
        let key = lease_key(&self.context.process);
        let mut commit = Commit::default()
            .check(key.clone(), self.version)
            .put(key, encode_row(&self.lease_row(config)));
        if self.version == 0 {
            let member = member_key(&self.context.process);
            commit = commit.put(member, encode_row(&self.member_row()));
        }
        match self.context.table.commit(&commit).await? {
            CommitOutcome::Done(versions) => {
                self.version = versions.first().copied().unwrap_or_default();
                Ok(true)
            }
            CommitOutcome::Conflict(_) => Ok(false),
        }
    }

    /// Content of the lease row for the next write.
    fn lease_row(&self, config: Version) -> LeaseRow {
        LeaseRow {
            format: FORMAT,
            state: self.state,
            counter: self.counter,
            config,
        }
    }

    /// Row of the process's constant properties.
    fn member_row(&self) -> MemberRow {
        MemberRow {
            format: FORMAT,
            name: self.context.name.clone(),
            peer: self.context.peer,
            http: self.context.http,
            domain: self.context.domain.clone(),
        }
    }

    /// Deletes the lease row and the row of the process's constant properties, so
    /// that the other processes need not wait for the TTL of the lease. Returns
    /// whether the table has confirmed the deletion; it refuses if another
    /// process has changed the lease row.
    pub async fn remove(&self) -> bool {
        let key = lease_key(&self.context.process);
        let commit = Commit::default()
            .check(key.clone(), self.version)
            .delete(key)
            .delete(member_key(&self.context.process));
        match self.context.table.commit(&commit).await {
            Ok(outcome) => matches!(outcome, CommitOutcome::Done(_)),
            Err(error) => {
                log::debug!("lease row not deleted: {error}");
                false
            }
        }
    }
}
