//! Client of workers over HTTP.

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

/// Why a worker did not do what it was asked.
#[derive(Debug, Snafu)]
pub enum WorkerError {
    /// The worker refused; nothing changed there.
    #[snafu(display("the worker refused: {refusal:?}"))]
    Refused {
        /// Its reason.
        refusal: Refusal,
    },
    /// It was certainly not asked.
    #[snafu(display("the worker was not reached: {reason}"))]
    Unreachable {
        /// Text of the cause.
        reason: String,
    },
    /// It may have done it.
    #[snafu(display("the worker's answer was lost: {reason}"))]
    NoReply {
        /// Text of the cause.
        reason: String,
    },
}

impl From<CallError> for WorkerError {
    fn from(error: CallError) -> WorkerError {
        let reason = error.to_string();
        match error {
            CallError::Connect { .. } => WorkerError::Unreachable { reason },
            CallError::Lost { .. } | CallError::Garbled { .. } => WorkerError::NoReply { reason },
        }
    }
}

/// Client of all workers; clones share its connections.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client,
    timeout: Duration,
}

impl WorkerClient {
    /// A client whose calls last `timeout` at most.
    #[must_use]
    pub fn new(timeout: Duration) -> WorkerClient {
        WorkerClient {
            client: Client::new(timeout),
            timeout,
        }
    }

    /// Takes a worker over.
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

    /// Starts a task; a repeated start of the same attempt changes nothing.
    ///
    /// # Errors
    /// See [`WorkerError`].
    pub async fn start(&self, worker: SocketAddr, start: &Start) -> Result<(), WorkerError> {
        self.call(worker, "/v1/start", start, self.timeout).await
    }

    /// Stops a task; its end arrives by poll.
    ///
    /// # Errors
    /// See [`WorkerError`].
    pub async fn stop(&self, worker: SocketAddr, stop: &Stop) -> Result<(), WorkerError> {
        self.call(worker, "/v1/stop", stop, self.timeout).await
    }

    /// Waits for ended tasks and renews all leases.
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
