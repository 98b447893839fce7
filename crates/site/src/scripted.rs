//! What the store does to single transactions, one after the other.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use web::Whole;

/// What the store does to one transaction.
#[derive(Clone, Copy, Debug)]
pub struct ScriptedReply {
    /// It is done.
    pub commit: bool,
    /// Time until the answer.
    pub delay: Duration,
    /// How it is answered.
    pub reply: Reply,
}

/// How a transaction is answered.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    /// With this status.
    Status(u16),
    /// With a body that is not what the protocol says.
    Malformed,
    /// Not at all.
    Lost,
}

impl ScriptedReply {
    pub(crate) async fn reply(self) -> Whole {
        tokio::time::sleep(self.delay).await;
        match self.reply {
            Reply::Status(status) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::IM_A_TEAPOT);
                web::error(status, "as the test says")
            }
            Reply::Malformed => web::json(StatusCode::OK, &json!({})),
            Reply::Lost => std::future::pending().await,
        }
    }
}
