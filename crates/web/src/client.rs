//! HTTP client with a timeout for every call and a size limit for every reply.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::Traffic;

/// Maximum size of a reply body, in bytes; a larger one fails the call with
/// [`CallError::Lost`].
pub const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of idle connections kept open to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Error of a call without a usable reply.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection to the server failed; nothing was sent.
    #[snafu(display("cannot connect to {server}: {reason}"))]
    Connect {
        /// Address of the server.
        server: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
    /// The call waited for its turn until it timed out; nothing was sent.
    #[snafu(display("no call to {server}: too many calls in progress"))]
    Busy {
        /// Address of the server.
        server: SocketAddr,
    },
    /// The call may have been sent, but no complete reply was received in time.
    #[snafu(display("no reply from {server}: {reason}"))]
    Lost {
        /// Address of the server.
        server: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
    /// The reply is not the expected JSON, or no valid request could be built from
    /// the call's path and headers.
    #[snafu(display("bad reply from {server}: {reason}"))]
    Garbled {
        /// Address of the server.
        server: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
}

/// Reason in [`CallError::Lost`] if the call timed out.
const TIMEOUT_REASON: &str = "timeout";

impl CallError {
    /// Whether the call timed out.
    #[must_use]
    pub fn timed_out(&self) -> bool {
        matches!(self, CallError::Lost { reason, .. } if reason == TIMEOUT_REASON)
    }

    /// Whether an established connection failed before the complete reply, as
    /// opposed to a timeout: as a rule, the server process has ended. Also true
    /// for a reply larger than [`MAX_REPLY_BYTES`]; false if no connection could be
    /// opened ([`CallError::Connect`]).
    #[must_use]
    pub fn closed_by_server(&self) -> bool {
        matches!(self, CallError::Lost { reason, .. } if reason != TIMEOUT_REASON)
    }
}

/// A complete reply.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON; `server` only appears in the error.
    ///
    /// # Errors
    /// The body is not valid JSON of the expected type.
    pub fn json<T: DeserializeOwned>(&self, server: SocketAddr) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::Garbled {
            server,
            reason: format!("status {}: {error}", self.status),
        })
    }

    /// Returns the body as text, for error messages.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Creates a pool without open connections.
fn open_pool(connect_timeout: Duration) -> HyperClient<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    HyperClient::builder(TokioExecutor::new())
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector)
}

/// Limit on the number of calls in progress, each of which may take a connection; clones share it.
#[derive(Clone, Debug)]
pub struct CallLimit {
    turns: Arc<Semaphore>,
}

impl CallLimit {
    /// Creates a limit of `calls` at the same time.
    #[must_use]
    pub fn new(calls: usize) -> CallLimit {
        let turns = Semaphore::new(calls.min(Semaphore::MAX_PERMITS));
        CallLimit {
            turns: Arc::new(turns),
        }
    }
}

/// HTTP client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
    connect_timeout: Duration,
    traffic: Arc<Traffic>,
    limit: Option<CallLimit>,
}

impl Client {
    /// Creates a client; `connect_timeout` limits the opening of a connection.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Client {
        Client {
            inner: open_pool(connect_timeout),
            connect_timeout,
            traffic: Arc::default(),
            limit: None,
        }
    }

    /// Returns a client that shares the connections of this one, and whose calls wait for their turn
    /// within `limit`.
    #[must_use]
    pub fn limited(&self, limit: &CallLimit) -> Client {
        Client {
            limit: Some(limit.clone()),
            ..self.clone()
        }
    }

    /// Returns a client without open connections, which shares only the counters. The idle
    /// connections of this client are closed with its last clone.
    #[must_use]
    pub fn reconnecting(&self) -> Client {
        Client {
            inner: open_pool(self.connect_timeout),
            ..self.clone()
        }
    }

    /// Counters of the calls of this client and its clones.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn get(
        &self,
        server: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let call = Call::new(Method::GET, server, path, timeout);
        self.send(call).await
    }

    /// Sends a POST request with `body` as JSON.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn post<T: Serialize + Sync>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let call = Call::new(Method::POST, server, path, timeout).json(body);
        self.send(call).await
    }

    /// Sends a call and reads the complete reply; any HTTP status is a success.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn send(&self, call: Call) -> Result<Reply, CallError> {
        let server = call.server;
        let deadline = tokio::time::Instant::now() + call.timeout;
        let turn = tokio::time::timeout_at(deadline, self.turn()).await;
        let turn = turn.map_err(|_| CallError::Busy { server })?;
        let started = Instant::now();
        self.traffic.sent(call.body.len());
        let reply = match tokio::time::timeout_at(deadline, self.exchange(call)).await {
            Ok(reply) => reply,
            Err(_) => Err(CallError::Lost {
                server,
                reason: TIMEOUT_REASON.to_owned(),
            }),
        };
        match &reply {
            Ok(reply) => self.traffic.answered(reply.body.len(), started.elapsed()),
            Err(_) => self.traffic.lost(),
        }
        drop(turn);
        reply
    }

    /// Waits until the number of calls in progress allows another one; `None` if it is not limited.
    async fn turn(&self) -> Option<SemaphorePermit<'_>> {
        let limit = self.limit.as_ref()?;
        limit.turns.acquire().await.ok()
    }

    async fn exchange(&self, call: Call) -> Result<Reply, CallError> {
        let server = call.server;
        let call_lost = |reason: String| CallError::Lost { server, reason };
        let request = call.into_request()?;
        let response = match self.inner.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Err(CallError::Connect {
                    server,
                    reason: error.to_string(),
                });
            }
            Err(error) => return Err(call_lost(error.to_string())),
        };
        let (head, body) = response.into_parts();
        let limited = Limited::new(body, MAX_REPLY_BYTES);
        let body = limited
            .collect()
            .await
            .map_err(|error| call_lost(error.to_string()))?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// A call to be sent with [`Client::send`].
#[derive(Debug)]
pub struct Call {
    method: Method,
    server: SocketAddr,
    path: String,
    body: Bytes,
    token: Option<String>,
    headers: Vec<(&'static str, String)>,
    timeout: Duration,
}

impl Call {
    /// Creates a call without a body.
    #[must_use]
    pub fn new(method: Method, server: SocketAddr, path: &str, timeout: Duration) -> Call {
        Call {
            method,
            server,
            path: path.to_owned(),
            body: Bytes::new(),
            token: None,
            headers: Vec::new(),
            timeout,
        }
    }

    /// Sets the body to `body` as JSON; the body stays empty if `body` cannot be
    /// serialized.
    #[must_use]
    pub fn json<T: Serialize>(mut self, body: &T) -> Call {
        self.body = serde_json::to_vec(body).unwrap_or_default().into();
        self
    }

    /// Sets the body to the given bytes.
    #[must_use]
    pub fn bytes(mut self, body: Bytes) -> Call {
        self.body = body;
        self
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn token(mut self, token: &str) -> Call {
        self.token = Some(token.to_owned());
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: String) -> Call {
        self.headers.push((name, value));
        self
    }

    fn into_request(self) -> Result<Request<Full<Bytes>>, CallError> {
        let server = self.server;
        let mut builder = Request::builder()
            .method(self.method)
            .uri(format!("http://{server}{}", self.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        builder
            .body(Full::new(self.body))
            .map_err(|error| CallError::Garbled {
                server,
                reason: error.to_string(),
            })
    }
}

/// Percent-encodes a part of a path or query, except for slashes.
#[must_use]
pub fn encode(part: &str) -> String {
    use std::fmt::Write;
    let mut out = String::with_capacity(part.len());
    for byte in part.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~' | b'/') {
            out.push(char::from(byte));
        } else {
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}

/// Decodes percent-encoded text; keeps malformed escapes unchanged.
#[must_use]
pub fn decode(part: &str) -> String {
    let bytes = part.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes
            .get(index + 1..index + 3)
            .and_then(|pair| std::str::from_utf8(pair).ok());
        match hex.and_then(|pair| u8::from_str_radix(pair, 16).ok()) {
            Some(byte) if bytes[index] == b'%' => {
                out.push(byte);
                index += 3;
            }
            _ => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[cfg(test)]
mod tests {
    use super::decode;
    use super::encode;

    #[test]
    fn decoding_restores_the_encoded_text() {
        let text = "a b/ü?=%2";

        assert_eq!(decode(&encode(text)), text);
    }
}
