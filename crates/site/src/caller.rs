//! A caller, which submits jobs to the processes of a cell and queries their status.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use web::Call;
use web::Client;

/// Timeout of one call.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time that a test waits for a condition.
pub const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// Time between two calls of a poll.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An HTTP client in the role of a caller.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    /// Value of the `Authorization` header of each request; none if it is empty.
    authorization: String,
}

impl Caller {
    /// Creates a caller without open connections.
    #[must_use]
    pub fn new() -> Caller {
        Caller {
            // The timeout of opening a connection.
            client: Client::new(Duration::from_secs(1)),
            authorization: String::new(),
        }
    }

    /// Creates a caller that sends this `Authorization` header.
    #[must_use]
    pub fn authorized(authorization: &str) -> Caller {
        Caller {
            authorization: authorization.to_owned(),
            ..Caller::new()
        }
    }

    /// Sends one request; returns the HTTP status and the body, or status 0 if there was no
    /// reply. The body is sent as JSON, also if it is null.
    pub async fn send(
        &self,
        method: Method,
        server: SocketAddr,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        // The queue of a request is selected by its path and by this host, which all queues of
        // `crate::config` name.
        let call = self.call(method, server, path, body);
        match self.client.send(call).await {
            Ok(reply) => {
                let body = serde_json::from_slice(&reply.body).unwrap_or_default();
                (reply.status.as_u16(), body)
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Sends one request; returns the HTTP status and the `Retry-After` header of the reply, or status
    /// 0 if there was no reply.
    pub async fn retry_after(
        &self,
        method: Method,
        server: SocketAddr,
        path: &str,
        body: &Value,
    ) -> (u16, Option<String>) {
        let call = self.call(method, server, path, body);
        self.header(call, "retry-after").await
    }

    /// The same with the `Connection` header.
    pub async fn connection(
        &self,
        method: Method,
        server: SocketAddr,
        path: &str,
        body: &Value,
    ) -> (u16, Option<String>) {
        let call = self.call(method, server, path, body);
        self.header(call, "connection").await
    }

    async fn header(&self, call: Call, name: &str) -> (u16, Option<String>) {
        let Ok(reply) = self.client.send(call).await else {
            return (0, None);
        };
        let header = reply.headers.get(name);
        let header = header.and_then(|value| value.to_str().ok());
        (reply.status.as_u16(), header.map(str::to_owned))
    }

    fn call(&self, method: Method, server: SocketAddr, path: &str, body: &Value) -> Call {
        let call = Call::new(method, server, path, REPLY_TIMEOUT)
            .header("host", "desk.example".to_owned())
            .json(body);
        if self.authorization.is_empty() {
            return call;
        }
        call.header("authorization", self.authorization.clone())
    }

    /// Returns the body of a GET request as text, empty if there was no reply.
    pub async fn text(&self, server: SocketAddr, path: &str) -> String {
        let reply = self.client.get(server, path, REPLY_TIMEOUT).await;
        reply.map(|reply| reply.text()).unwrap_or_default()
    }

    /// Returns the HTTP status of a GET request, or 0 if there was no reply.
    pub async fn status(&self, server: SocketAddr, path: &str) -> u16 {
        let reply = self.client.get(server, path, REPLY_TIMEOUT).await;
        reply.map_or(0, |reply| reply.status.as_u16())
    }

    /// Waits until a GET request returns the HTTP status `status`.
    ///
    /// # Panics
    /// Panics if none does within a minute.
    pub async fn wait_status(&self, server: SocketAddr, path: &str, status: u16) {
        let polling = async {
            while self.status(server, path).await != status {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let reached = tokio::time::timeout(WAIT_LIMIT, polling).await;
        assert!(
            reached.is_ok(),
            "{path} did not return HTTP status {status} within a minute"
        );
    }

    /// Submits a job to each of `servers`, again and again, until one accepts it. The path contains
    /// the job's id, so a repeated submission creates no second job.
    ///
    /// # Panics
    /// Panics if none accepts it within a minute.
    pub async fn submit(&self, servers: &[SocketAddr], path: &str, body: &Value) {
        let attempts = async {
            for server in servers.iter().cycle() {
                let (status, _) = self.send(Method::POST, *server, path, body).await;
                if status == 200 {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let accepted = tokio::time::timeout(WAIT_LIMIT, attempts).await;
        assert!(
            accepted.is_ok(),
            "{path}: no server accepted the job within a minute"
        );
    }

    /// Waits until any of `servers` reports that the job has the state `state`.
    ///
    /// # Panics
    /// Panics if none does within a minute.
    pub async fn wait_state(&self, servers: &[SocketAddr], path: &str, state: &str) {
        let mut last = Value::Null;
        let polling = async {
            for server in servers.iter().cycle() {
                let (_, body) = self.send(Method::GET, *server, path, &Value::Null).await;
                last = body["state"].clone();
                if last == state {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let reported = tokio::time::timeout(WAIT_LIMIT, polling).await;
        assert!(
            reported.is_ok(),
            "{path}: job state was last {last}, expected {state}"
        );
    }
}

impl Default for Caller {
    fn default() -> Caller {
        Caller::new()
    }
}
