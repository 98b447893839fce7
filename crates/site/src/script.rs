//! What the store does to single transactions, one after the other.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use web::HttpResponse;

/// What the store does to one transaction.
#[derive(Clone, Copy, Debug)]
pub struct Act {
    /// It is done.
    pub done: bool,
    /// Time until the answer.
    pub after: Duration,
    /// How it is answered.
    pub answer: Answer,
}

/// How a transaction is answered.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// With this status.
    Status(u16),
    /// With a body that is not what the protocol says.
    Garbled,
    /// Not at all.
    Never,
}

impl Act {
    pub(crate) async fn answer(self) -> HttpResponse {
        tokio::time::sleep(self.after).await;
        match self.answer {
            Answer::Status(status) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::IM_A_TEAPOT);
                web::error(status, "as the test says")
            }
            Answer::Garbled => web::json(StatusCode::OK, &json!({})),
            Answer::Never => std::future::pending().await,
        }
    }
}
