//! Trait and HTTP client of the platform's object store.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use web::Call;
use web::Client;
use web::Method;
use web::StatusCode;
use web::encode;

use crate::StoreError;

/// The platform's object store.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Writes a complete object.
    fn put(&self, name: &str, body: Vec<u8>)
    -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads an object; `None` if it does not exist.
    fn fetch(&self, name: &str)
    -> impl Future<Output = Result<Option<Vec<u8>>, StoreError>> + Send;

    /// Lists the names of all objects that begin with `prefix`, sorted.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, StoreError>> + Send;
}

/// HTTP client of the object store.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    client: Client,
    server: SocketAddr,
    timeout: Duration,
}

impl HttpObjectStore {
    /// Creates a client of the object store at `server`. `timeout` limits each
    /// call, and the opening of a connection.
    #[must_use]
    pub fn new(server: SocketAddr, timeout: Duration) -> HttpObjectStore {
        HttpObjectStore {
            client: Client::new(timeout),
            server,
            timeout,
        }
    }

    fn call(&self, method: Method, path: &str) -> Call {
        Call::new(method, self.server, path, self.timeout)
    }
}

fn unexpected_status(status: StatusCode) -> StoreError {
    let reason = format!("object store: status {status}");
    StoreError::Unavailable { reason }
}

impl ObjectStore for HttpObjectStore {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), StoreError> {
        let path = format!("/v1/object/{}", encode(name));
        let call = self.call(Method::PUT, &path).bytes(body.into());
        let reply = self.client.send(call).await?;
        match reply.status {
            StatusCode::OK => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = format!("/v1/object/{}", encode(name));
        let reply = self.client.send(self.call(Method::GET, &path)).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let path = format!("/v1/objects?prefix={}", encode(prefix));
        let reply = self.client.send(self.call(Method::GET, &path)).await?;
        match reply.status {
            StatusCode::OK => Ok(reply.json(self.server)?),
            status => Err(unexpected_status(status)),
        }
    }
}
