//! Trait and HTTP client of the platform's host list, which contains the live
//! and the leaving workers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use model::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
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

/// Maximum number of malformed entries that are kept, so that each of them is logged once.
const MAX_LOGGED: usize = 1000;

/// The worker of an entry whose other fields are malformed.
#[derive(Deserialize)]
struct Identity {
    id: WorkerId,
}

/// Decodes the list entry by entry, since one that is malformed must not hide the others.
#[derive(Debug, Default)]
pub struct HostDecoder {
    /// Last readable entry of each worker.
    known: HashMap<WorkerId, Host>,
    /// Workers of malformed entries that were logged; empty for entries that name none.
    logged: HashSet<WorkerId>,
}

impl HostDecoder {
    /// Decodes the list. A worker whose entry has become malformed keeps the last readable one; a malformed
    /// entry of another worker is left out.
    ///
    /// # Errors
    /// The text is no list.
    pub fn decode(&mut self, list: &[u8]) -> Result<Vec<Host>, serde_json::Error> {
        let entries: Vec<&RawValue> = serde_json::from_slice(list)?;
        let mut hosts = Vec::with_capacity(entries.len());
        let mut odd = Vec::new();
        for entry in entries {
            match serde_json::from_str::<Host>(entry.get()) {
                Ok(host) => hosts.push(host),
                Err(error) => {
                    let identity = serde_json::from_str::<Identity>(entry.get());
                    let id = identity.map_or_else(|_| String::new(), |identity| identity.id);
                    self.log(&id, &error);
                    odd.push(id);
                }
            }
        }
        for id in odd {
            let listed = hosts.iter().any(|host| host.id == id);
            let known = self.known.get(&id).filter(|_| !listed);
            hosts.extend(known.cloned());
        }
        let known = hosts.iter().map(|host| (host.id.clone(), host.clone()));
        self.known = known.collect();
        Ok(hosts)
    }

    fn log(&mut self, id: &str, error: &serde_json::Error) {
        if self.logged.len() < MAX_LOGGED && self.logged.insert(id.to_owned()) {
            log::warn!("entry {id:?} of the host list cannot be decoded, left out: {error}");
        }
    }
}

/// HTTP client of the host list.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: Client,
    server: SocketAddr,
    timeout: Duration,
    decoder: Arc<Mutex<HostDecoder>>,
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
            decoder: Arc::default(),
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
        // A decoder that was left by a panic is still one of earlier lists.
        let mut decoder = self.decoder.lock().unwrap_or_else(PoisonError::into_inner);
        let hosts = decoder.decode(&reply.body);
        hosts.map_err(|error| StoreError::Unavailable {
            reason: format!("host list cannot be decoded: {error}"),
        })
    }
}
