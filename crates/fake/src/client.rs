//! HTTP client for callers and operators of a cell. It uses only the public HTTP
//! interface.

use std::net::SocketAddr;
use std::time::Duration;

use entry::AnswerBody;
use entry::CancelBody;
use entry::CancelledBody;
use entry::ConfigBody;
use model::Class;
use model::Request;
use model::Resources;
use serde_json::Value;
use shard::Patch;
use web::Call;
use web::CallError;
use web::Client;
use web::Method;
use web::Reply;

/// Bearer token of the caller role in a test cell.
pub const CALLER_TOKEN: &str = "caller-token";

/// Bearer token of the operator role in a test cell.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Team that both tokens belong to.
pub const TEAM: &str = "stores";

/// Client of a cell; clones share its connection pool.
#[derive(Clone, Debug)]
pub struct CellClient {
    client: Client,
    token: String,
}

impl CellClient {
    /// Creates a client that authenticates with `token`.
    #[must_use]
    pub fn new(token: &str) -> CellClient {
        CellClient {
            // The timeout of opening a connection.
            client: Client::new(Duration::from_secs(2)),
            token: token.to_owned(),
        }
    }

    /// Sends a call and returns the complete reply.
    ///
    /// # Errors
    /// No complete reply arrived.
    pub async fn call(
        &self,
        method: Method,
        server: SocketAddr,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let mut call = Call::new(method, server, path, timeout).token(&self.token);
        if let Some(body) = body {
            call = call.json(body);
        }
        self.client.send(call).await
    }

    /// Submits a request and waits for its answer, up to `timeout`.
    ///
    /// # Errors
    /// No complete answer arrived.
    pub async fn submit(
        &self,
        server: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<AnswerBody, CallError> {
        // The cell answers after `patience_millis` at the latest, with a pending answer if
        // there is no final one; 2 s more allow for the reply.
        let path = format!("/v1/requests?patience_millis={}", timeout.as_millis());
        self.send_request(server, &path, request, timeout + Duration::from_secs(2))
            .await
    }

    /// Submits a request and returns as soon as the cell has accepted it.
    ///
    /// # Errors
    /// No complete answer arrived.
    pub async fn submit_detached(
        &self,
        server: SocketAddr,
        request: &Request,
    ) -> Result<AnswerBody, CallError> {
        // With `wait=false`, the cell replies within 10 s; 2 s more allow for the reply.
        let timeout = Duration::from_secs(12);
        self.send_request(server, "/v1/requests?wait=false", request, timeout)
            .await
    }

    async fn send_request(
        &self,
        server: SocketAddr,
        path: &str,
        request: &Request,
        timeout: Duration,
    ) -> Result<AnswerBody, CallError> {
        let call = Call::new(Method::POST, server, path, timeout);
        let call = call.token(&self.token).json(request);
        self.client.send(call).await?.json(server)
    }

    /// Reads the current answer of a request; `None` if the cell replies that it
    /// has no request with this id.
    ///
    /// # Errors
    /// No complete answer arrived.
    pub async fn status(
        &self,
        server: SocketAddr,
        id: &str,
    ) -> Result<Option<AnswerBody>, CallError> {
        let path = format!("/v1/requests/{id}");
        let timeout = Duration::from_secs(10);
        let reply = self.call(Method::GET, server, &path, None, timeout).await?;
        if reply.status == web::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        reply.json(server).map(Some)
    }

    /// Cancels all requests of the client's team with `label`; returns their number.
    ///
    /// # Errors
    /// No complete answer arrived.
    pub async fn cancel_label(&self, server: SocketAddr, label: &str) -> Result<u32, CallError> {
        let body = CancelBody {
            id: None,
            label: Some(label.to_owned()),
        };
        let call = Call::new(Method::POST, server, "/v1/cancel", Duration::from_secs(10));
        let reply = self
            .client
            .send(call.token(&self.token).json(&body))
            .await?;
        Ok(reply.json::<CancelledBody>(server)?.cancelled)
    }

    /// Sends a patch of the configuration; the status of the reply shows whether
    /// it was accepted.
    ///
    /// # Errors
    /// No complete answer arrived.
    pub async fn patch(&self, server: SocketAddr, patch: &Patch) -> Result<Reply, CallError> {
        let call = Call::new(Method::POST, server, "/v1/config", Duration::from_secs(10));
        self.client.send(call.token(&self.token).json(patch)).await
    }

    /// Reads the newest version of the configuration.
    ///
    /// # Errors
    /// No complete answer arrived.
    pub async fn config(&self, server: SocketAddr) -> Result<ConfigBody, CallError> {
        let timeout = Duration::from_secs(5);
        let reply = self
            .call(Method::GET, server, "/v1/config", None, timeout)
            .await?;
        reply.json(server)
    }
}

/// Creates a lookup: a short, idempotent, interactive request.
#[must_use]
pub fn lookup_request(id: &str) -> Request {
    Request {
        id: id.to_owned(),
        team: String::new(),
        class: Class::Interactive,
        needs: Resources {
            cpu_milli: 500,
            memory_mib: 256,
            power_watts: 20,
            ..Resources::default()
        },
        run_millis: 5,
        deadline_millis: 20_000,
        idempotent: true,
        members: 1,
        label: String::new(),
        sent_millis: 0,
        payload: id.to_owned(),
    }
}

/// Creates a restock: a batch request that runs for `run`. The cell records the
/// intent to start it in the table before the start.
#[must_use]
pub fn restock_request(id: &str, run: Duration) -> Request {
    Request {
        class: Class::Batch,
        run_millis: u64::try_from(run.as_millis()).unwrap_or(u64::MAX),
        label: "restock".to_owned(),
        deadline_millis: 60_000,
        ..lookup_request(id)
    }
}

/// Creates a confirmation: a short, interactive request that must run at most once.
#[must_use]
pub fn confirmation_request(id: &str) -> Request {
    Request {
        idempotent: false,
        ..lookup_request(id)
    }
}
