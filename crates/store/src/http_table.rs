//! HTTP client of the transactional table.

use std::net::SocketAddr;
use std::time::Duration;

use web::Client;
use web::Reply;
use web::StatusCode;
use web::encode;

use crate::Commit;
use crate::CommitOutcome;
use crate::PAGE_ROWS;
use crate::Row;
use crate::StoreError;
use crate::Table;

/// HTTP client of the transactional table.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: Client,
    server: SocketAddr,
    timeout: Duration,
}

impl HttpTable {
    /// Creates a client of the table at `server`. `timeout` limits each HTTP call,
    /// and the opening of a connection. A range read makes one HTTP call per page,
    /// so that it may take longer as a whole.
    #[must_use]
    pub fn new(server: SocketAddr, timeout: Duration) -> HttpTable {
        HttpTable {
            client: Client::new(timeout),
            server,
            timeout,
        }
    }

    async fn read(&self, path: &str) -> Result<Reply, StoreError> {
        let reply = self.client.get(self.server, path, self.timeout).await?;
        check_status(&reply)?;
        Ok(reply)
    }
}

/// Maps an error status to [`StoreError::Unavailable`], which states that the call
/// had no effect: the table replies with an error status only in this case. A call
/// that got no complete reply in time is [`StoreError::Unknown`] instead.
fn check_status(reply: &Reply) -> Result<(), StoreError> {
    if reply.status == StatusCode::OK {
        return Ok(());
    }
    let reason = format!("status {}: {}", reply.status, reply.text());
    Err(StoreError::Unavailable { reason })
}

impl Table for HttpTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let reply = self.read(&format!("/v1/row?key={}", encode(key))).await?;
        Ok(reply.json(self.server)?)
    }

    async fn range(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| encode(&row.key)).unwrap_or_default();
            let prefix = encode(prefix);
            let path = format!("/v1/range?prefix={prefix}&after={after}&limit={PAGE_ROWS}");
            let page: Vec<Row> = self.read(&path).await?.json(self.server)?;
            let last_page = page.len() < PAGE_ROWS;
            rows.extend(page);
            if last_page {
                return Ok(rows);
            }
        }
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, StoreError> {
        let call = self
            .client
            .post(self.server, "/v1/commit", commit, self.timeout);
        let reply = call.await?;
        check_status(&reply)?;
        Ok(reply.json(self.server)?)
    }
}
