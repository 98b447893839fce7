//! This process's own lease row: one write renews it for all its shards.

use std::sync::Arc;
use std::time::Instant;

use model::Version;
use store::Commit;
use store::CommitOutcome;
use store::RowVersion;
use store::StoreError;
use store::Table;

use crate::CELL_FACTS;
use crate::CellFacts;
use crate::Context;
use crate::FORMAT;
use crate::LeaseRow;
use crate::LeaseState;
use crate::MemberRow;
use crate::decode_row;
use crate::encode_row;
use crate::lease_key;
use crate::member_key;

/// What came of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// Renewed; nobody else has written the row since the last renewal.
    Held,
    /// Another process had expired it, or removed it. It is held anew; the
    /// shards may have been taken meanwhile.
    Regained,
}

/// This process's own lease row.
#[derive(Debug)]
pub struct Lease<T, O, H> {
    context: Arc<Context<T, O, H>>,
    version: RowVersion,
    counter: u64,
    state: LeaseState,
}

impl<T: Table, O, H> Lease<T, O, H> {
    /// A lease that is not held yet.
    #[must_use]
    pub fn new(context: Arc<Context<T, O, H>>) -> Lease<T, O, H> {
        Lease {
            context,
            version: 0,
            counter: 0,
            state: LeaseState::Live,
        }
    }

    /// Version of the row as last written.
    #[must_use]
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// The other processes give it no more shards, from the next renewal on.
    pub fn leave(&mut self) {
        self.state = LeaseState::Leaving;
    }

    /// Whether the process is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state == LeaseState::Leaving
    }

    /// Renews the lease. A renewal that took effect counts from `began`, the
    /// moment before it was sent: the others count from later.
    ///
    /// # Errors
    /// The table fails; the renewal may have taken effect.
    pub async fn renew(&mut self, config: Version) -> Result<(Renewal, Instant), StoreError> {
        let began = Instant::now();
        self.counter += 1;
        if self.write(config).await? {
            return Ok((Renewal::Held, began));
        }
        let key = lease_key(&self.context.process);
        let row = self.context.table.get(&key).await?;
        if row.is_none() {
            self.check_cell().await?;
        }
        let found = row
            .as_ref()
            .and_then(|row| decode_row::<LeaseRow>(row).ok());
        self.version = row.map_or(0, |row| row.version);
        // An earlier renewal whose answer was lost stands there as written:
        // nobody has expired the lease.
        let own = found.is_some_and(|lease| lease.state != LeaseState::Expired);
        let began = Instant::now();
        self.counter += 1;
        if !self.write(config).await? {
            let reason = "the lease row changed twice in a moment".to_owned();
            return Err(StoreError::Unavailable { reason });
        }
        let renewal = if own {
            Renewal::Held
        } else {
            Renewal::Regained
        };
        Ok((renewal, began))
    }

    /// Refuses a table that another cell has made at the same address. With its row there,
    /// this process would claim shards of that cell, whose processes cannot reach it.
    async fn check_cell(&self) -> Result<(), StoreError> {
        let row = self.context.table.get(CELL_FACTS).await?;
        let facts = row.and_then(|row| decode_row::<CellFacts>(&row).ok());
        let found = facts.map_or(0, |facts| facts.cell);
        if found == self.context.cell {
            return Ok(());
        }
        let reason = format!(
            "the table belongs to another cell: found {found:016x}, allowed {:016x}",
            self.context.cell
        );
        log::error!("{reason}");
        Err(StoreError::Unavailable { reason })
    }

    async fn write(&mut self, config: Version) -> Result<bool, StoreError> {
        let key = lease_key(&self.context.process);
        let mut commit = Commit::default()
            .check(key.clone(), self.version)
            .put(key, encode_row(&self.row(config)));
        if self.version == 0 {
            let member = member_key(&self.context.process);
            commit = commit.put(member, encode_row(&self.member()));
        }
        match self.context.table.commit(&commit).await? {
            CommitOutcome::Done(versions) => {
                self.version = versions.first().copied().unwrap_or_default();
                Ok(true)
            }
            CommitOutcome::Conflict(_) => Ok(false),
        }
    }

    fn row(&self, config: Version) -> LeaseRow {
        LeaseRow {
            format: FORMAT,
            state: self.state,
            counter: self.counter,
            config,
        }
    }

    fn member(&self) -> MemberRow {
        MemberRow {
            format: FORMAT,
            name: self.context.name.clone(),
            peer: self.context.peer,
            http: self.context.http,
            domain: self.context.domain.clone(),
        }
    }

    /// Gives the lease up; the others need not wait for the TTL. Whether the
    /// table has confirmed that it is gone.
    pub async fn give_up(&self) -> bool {
        let key = lease_key(&self.context.process);
        let commit = Commit::default()
            .check(key.clone(), self.version)
            .delete(key)
            .delete(member_key(&self.context.process));
        match self.context.table.commit(&commit).await {
            Ok(committed) => matches!(committed, CommitOutcome::Done(_)),
            Err(error) => {
                log::debug!("lease not given up: {error}");
                false
            }
        }
    }
}
