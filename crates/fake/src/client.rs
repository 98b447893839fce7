//! Client of a cell, as a caller or operator would write one.

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

/// Token of the callers in a test cell.
pub const CALLER_TOKEN: &str = "caller-token";

/// Token of the operators in a test cell.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Team of both.
pub const TEAM: &str = "stores";

/// Client of a cell; clones share its connections.
#[derive(Clone, Debug)]
pub struct CellClient {
    client: Client,
    token: String,
}

impl CellClient {
    /// A client that holds `token`.
    #[must_use]
    pub fn new(token: &str) -> CellClient {
        CellClient {
            client: Client::new(Duration::from_secs(2)),
            token: token.to_owned(),
        }
    }

    /// Makes a call and returns the whole reply.
    ///
    /// # Errors
    /// No whole reply came.
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

    /// Submits a request and waits for its answer, at most `timeout`.
    ///
    /// # Errors
    /// No whole answer came.
    pub async fn submit(
        &self,
        server: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<AnswerBody, CallError> {
        let path = format!("/v1/requests?patience_millis={}", timeout.as_millis());
        self.send_request(server, &path, request, timeout + Duration::from_secs(2))
            .await
    }

    /// Submits a request and returns as soon as it is accepted.
    ///
    /// # Errors
    /// No whole answer came.
    pub async fn submit_detached(
        &self,
        server: SocketAddr,
        request: &Request,
    ) -> Result<AnswerBody, CallError> {
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

    /// Asks how a request stands; none when nobody knows it.
    ///
    /// # Errors
    /// No whole answer came.
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

    /// Cancels all requests of the team with a label.
    ///
    /// # Errors
    /// No whole answer came.
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

    /// Sends a patch; the reply tells whether it was accepted.
    ///
    /// # Errors
    /// No whole answer came.
    pub async fn patch(&self, server: SocketAddr, patch: &Patch) -> Result<Reply, CallError> {
        let call = Call::new(Method::POST, server, "/v1/config", Duration::from_secs(10));
        self.client.send(call.token(&self.token).json(patch)).await
    }

    /// Reads the configuration.
    ///
    /// # Errors
    /// No whole answer came.
    pub async fn config(&self, server: SocketAddr) -> Result<ConfigBody, CallError> {
        let timeout = Duration::from_secs(5);
        let reply = self
            .call(Method::GET, server, "/v1/config", None, timeout)
            .await?;
        reply.json(server)
    }
}

/// A short request that may run twice.
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

/// A restock: batch work that is recorded before it starts.
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

/// A confirmation: short, but it must not run twice.
#[must_use]
pub fn confirmation_request(id: &str) -> Request {
    Request {
        idempotent: false,
        ..lookup_request(id)
    }
}
