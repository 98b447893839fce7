//! Scripted handling of single store transactions.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use web::HttpResponse;

/// How the store handles one transaction.
#[derive(Clone, Copy, Debug)]
pub struct ScriptedReply {
    /// Whether the transaction is carried out.
    pub commit: bool,
    /// Delay of the reply.
    pub delay: Duration,
    /// Kind of reply.
    pub reply: Reply,
}

/// Reply to a transaction.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    /// An error with this status.
    Status(u16),
    /// An empty JSON object, which lacks the version that a reply to a transaction contains.
    Malformed,
    /// No reply.
    Lost,
}

impl ScriptedReply {
    pub(crate) async fn reply(self) -> HttpResponse {
        tokio::time::sleep(self.delay).await;
        match self.reply {
            Reply::Status(status) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::IM_A_TEAPOT);
                web::error(status, "status set by the test")
            }
            Reply::Malformed => web::json(StatusCode::OK, &json!({})),
            Reply::Lost => std::future::pending().await,
        }
    }
}
