//! Stubs of the platform's services: a table in memory with injected faults, an object store
//! without objects and a host list without workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use store::Commit;
use store::CommitOutcome;
use store::Conflict;
use store::Host;
use store::HostList;
use store::ObjectStore;
use store::Row;
use store::StoreError;
use store::Table;

/// A fault of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The table works.
    #[default]
    None,
    /// Reads of keys with this prefix, and of ranges whose own prefix begins with it, are refused.
    /// An empty prefix refuses all calls, transactions too.
    RefuseReads(String),
    /// No transaction takes effect, and its outcome is reported as unknown.
    LoseCommits,
    /// No call is ever answered.
    Hang,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    fault: Fault,
    last_version: u64,
}

/// A table in memory; clones share the rows and the fault.
#[derive(Clone, Debug, Default)]
pub(crate) struct StubTable {
    state: Arc<Mutex<State>>,
}

impl StubTable {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault of the table.
    pub(crate) fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Writes a row without a transaction and without regard to the fault, as if another process
    /// had written it.
    pub(crate) fn put(&self, key: &str, value: &str) {
        self.lock().put(key, value);
    }

    /// Refuses a call that reads `key`, or never returns, if the fault says so.
    async fn check_fault(&self, key: &str) -> Result<(), StoreError> {
        let fault = self.lock().fault.clone();
        match fault {
            Fault::Hang => std::future::pending().await,
            Fault::RefuseReads(prefix) if key.starts_with(&prefix) => {
                let reason = "refused".to_owned();
                Err(StoreError::Unavailable { reason })
            }
            _ => Ok(()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str) -> u64 {
        self.last_version += 1;
        let row = Row {
            key: key.to_owned(),
            version: self.last_version,
            value: value.to_owned(),
        };
        self.rows.insert(key.to_owned(), row);
        self.last_version
    }
}

impl Table for StubTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.check_fault(key).await?;
        Ok(self.lock().rows.get(key).cloned())
    }

    async fn range(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        self.check_fault(prefix).await?;
        let state = self.lock();
        let found = state.rows.values().filter(|r| r.key.starts_with(prefix));
        Ok(found.cloned().collect())
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, StoreError> {
        // A transaction is checked as a read of the key "commit", which only the empty prefix of
        // `RefuseReads` matches in these tests.
        self.check_fault("commit").await?;
        let mut state = self.lock();
        if state.fault == Fault::LoseCommits {
            let reason = "lost".to_owned();
            return Err(StoreError::Unknown { reason });
        }
        for check in &commit.checks {
            // Version 0 means that there is no such row.
            let found = state.rows.get(&check.key).map_or(0, |row| row.version);
            if found != check.version {
                let key = check.key.clone();
                return Ok(CommitOutcome::Conflict(Conflict { key, found }));
            }
        }
        let mut versions = Vec::new();
        for write in &commit.writes {
            versions.push(match &write.value {
                Some(value) => state.put(&write.key, value),
                // The version of a deleted row is that of its last value.
                None => state.rows.remove(&write.key).map_or(0, |row| row.version),
            });
        }
        Ok(CommitOutcome::Done(versions))
    }
}

/// An object store without objects.
#[derive(Clone, Debug)]
pub(crate) struct StubObjects;

impl ObjectStore for StubObjects {
    async fn put(&self, _name: &str, _body: Vec<u8>) -> Result<(), StoreError> {
        Ok(())
    }

    async fn fetch(&self, _name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(None)
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<String>, StoreError> {
        Ok(Vec::new())
    }
}

/// A host list without workers.
#[derive(Clone, Debug)]
pub(crate) struct StubHosts;

impl HostList for StubHosts {
    async fn hosts(&self) -> Result<Vec<Host>, StoreError> {
        Ok(Vec::new())
    }
}
