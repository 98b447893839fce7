//! Callers' jobs: accepted here, or by the owner of the pool if the store turns
//! this host away.

use hyper::StatusCode;
use job::Config;
use job::JobId;
use job::Mechanism;
use job::Queue;
use platform::decode_job;
use web::HttpRequest;
use web::HttpResponse;

use crate::Acceptance;
use crate::AcceptedJob;
use crate::CallerHandler;
use crate::callers::Empty;
use crate::callers::TRY_SHARE;
use crate::callers::longest;
use crate::callers::no_answer;
use crate::callers::unavailable;
use crate::hex;

impl CallerHandler {
    /// Takes a caller's job.
    pub(crate) async fn submit(
        &self,
        config: &Config,
        queue: &Queue,
        id: JobId,
        asked: &HttpRequest,
    ) -> HttpResponse {
        if asked.body.len() > config.body_bytes {
            let reason = format!("body: allowed: at most {} bytes", config.body_bytes);
            return web::error(StatusCode::PAYLOAD_TOO_LARGE, &reason);
        }
        let spec = match decode_job(&asked.body, queue, self.context.wall()) {
            Ok(spec) => spec,
            Err(error) => return web::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let job = AcceptedJob { id, spec };
        let end = self.context.now() + longest(queue).mul_f64(TRY_SHARE);
        let mut acceptance = self.acceptor.accept(&job, end).await;
        let passes = self.context.settings.has(Mechanism::PassOn);
        if passes && matches!(acceptance, Acceptance::Refused(_)) {
            // The store may turn this host away alone.
            let left = end.saturating_sub(self.context.now());
            let reply = self.owner.accept(&job, left).await;
            acceptance = reply.unwrap_or(acceptance);
        }
        match acceptance {
            Acceptance::Accepted { first: true } => {
                self.tell_owner(job);
                web::json(StatusCode::OK, &Empty {})
            }
            Acceptance::Accepted { first: false } => web::json(StatusCode::OK, &Empty {}),
            Acceptance::Refused(reason) => unavailable(&reason),
            Acceptance::Unknown(reason) => no_answer(&reason),
        }
    }

    /// Tells the owner without making the caller wait; what it misses, the
    /// feed brings.
    fn tell_owner(&self, job: AcceptedJob) {
        let owner = self.owner.clone();
        tokio::spawn(async move {
            let id = job.id;
            if owner.accepted(job).await.is_err() {
                log::debug!(code = 404, job:% = hex(id); "owner not told of a job");
            }
        });
    }
}
