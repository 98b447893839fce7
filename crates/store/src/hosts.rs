//! Trait and HTTP client of the platform's host list, which contains the live
//! and the leaving workers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use model::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use web::Client;

use crate::StoreError;

/// State of a worker in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Accepts tasks.
    Live,
    /// Is about to leave the cell; receives no new tasks.
    Leaving,
}

/// A worker in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the worker.
    pub id: WorkerId,
    /// Address on which the worker listens.
    pub address: SocketAddr,
    /// Failure domain of the worker.
    pub domain: String,
    /// Rack of the worker; its name is unique in the cell.
    pub rack: String,
    /// Whether the worker is live or leaving.
    pub state: HostState,
}

/// The platform's host list.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Reads the whole list, which may lag behind the actual state of the hosts.
    fn hosts(&self) -> impl Future<Output = Result<Vec<Host>, StoreError>> + Send;
}

/// HTTP client of the host list.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: Client,
    server: SocketAddr,
    timeout: Duration,
}

impl HttpHostList {
    /// Creates a client of the host list at `server`. `timeout` limits each call,
    /// and the opening of a connection.
    #[must_use]
    pub fn new(server: SocketAddr, timeout: Duration) -> HttpHostList {
        HttpHostList {
            client: Client::new(timeout),
            server,
            timeout,
        }
    }
}

impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<Host>, StoreError> {
        let path = "/v1/hosts";
        let reply = self.client.get(self.server, path, self.timeout).await?;
        if reply.status != web::StatusCode::OK {
            let reason = format!("host list: status {}", reply.status);
            return Err(StoreError::Unavailable { reason });
        }
        Ok(reply.json(self.server)?)
    }
}
