//! HTTP client with which the owner of a shard calls its workers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use web::CallError;
use web::Client;
use web::StatusCode;

use crate::Claim;
use crate::ClaimReply;
use crate::Poll;
use crate::PollReply;
use crate::Refusal;
use crate::Start;
use crate::Stop;

/// Error of a call to a worker.
#[derive(Debug, Snafu)]
pub enum WorkerError {
    /// The worker refused the call; its state did not change.
    #[snafu(display("the worker refused the call: {refusal:?}"))]
    Refused {
        /// Reason and newest fence, as sent by the worker.
        refusal: Refusal,
    },
    /// The connection to the worker failed, so the call was not sent and had no
    /// effect.
    #[snafu(display("cannot reach the worker: {reason}"))]
    Unreachable {
        /// Description of the cause.
        reason: String,
    },
    /// The call may have been sent, but no valid reply was received; it may have
    /// taken effect.
    #[snafu(display("no valid reply from the worker: {reason}"))]
    NoReply {
        /// Description of the cause.
        reason: String,
    },
}

impl From<CallError> for WorkerError {
    fn from(error: CallError) -> WorkerError {
        let reason = error.to_string();
        match error {
            CallError::Connect { .. } | CallError::Busy { .. } => {
                WorkerError::Unreachable { reason }
            }
            CallError::Lost { .. } | CallError::Garbled { .. } => WorkerError::NoReply { reason },
        }
    }
}

/// HTTP client of all workers; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client,
    timeout: Duration,
}

impl WorkerClient {
    /// Creates a client with a timeout for each call; a poll may take longer by
    /// its `wait_millis`.
    #[must_use]
    pub fn new(timeout: Duration) -> WorkerClient {
        WorkerClient {
            client: Client::new(timeout),
            timeout,
        }
    }

    /// Claims a worker for the owner of a shard.
    ///
    /// # Errors
    /// See [`WorkerError`].
    pub async fn claim(
        &self,
        worker: SocketAddr,
        claim: &Claim,
    ) -> Result<ClaimReply, WorkerError> {
        self.call(worker, "/v1/claim", claim, self.timeout).await
    }

    /// Starts a task. If the attempt was already started, the call succeeds
    /// without effect.
    ///
    /// # Errors
    /// See [`WorkerError`].
    pub async fn start(&self, worker: SocketAddr, start: &Start) -> Result<(), WorkerError> {
        self.call(worker, "/v1/start", start, self.timeout).await
    }

    /// Stops a task. The reply does not wait for the end of the task, which the
    /// reply to a poll reports.
    ///
    /// # Errors
    /// See [`WorkerError`].
    pub async fn stop(&self, worker: SocketAddr, stop: &Stop) -> Result<(), WorkerError> {
        self.call(worker, "/v1/stop", stop, self.timeout).await
    }

    /// Renews the lease of all running tasks, and waits until a task ends or
    /// `wait_millis` have passed.
    ///
    /// # Errors
    /// See [`WorkerError`].
    pub async fn poll(&self, worker: SocketAddr, poll: &Poll) -> Result<PollReply, WorkerError> {
        let wait = Duration::from_millis(poll.wait_millis);
        self.call(worker, "/v1/poll", poll, self.timeout + wait)
            .await
    }

    async fn call<B, R>(
        &self,
        worker: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<R, WorkerError>
    where
        B: Serialize + Sync,
        R: DeserializeOwned,
    {
        let reply = self.client.post(worker, path, body, timeout).await?;
        match reply.status {
            StatusCode::OK => Ok(reply.json(worker)?),
            StatusCode::CONFLICT => Err(WorkerError::Refused {
                refusal: reply.json(worker)?,
            }),
            status => Err(WorkerError::NoReply {
                reason: format!("status {status}: {}", reply.text()),
            }),
        }
    }
}
