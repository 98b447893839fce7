//! Submission of jobs: rejected if they would be done too late, otherwise accepted by this process, or by the owner of the pool if the store refuses
//! this host.

use hyper::StatusCode;
use job::Config;
use job::ExcessiveStep;
use job::JobId;
use job::JobSpec;
use job::Mechanism;
use job::Organisation;
use platform::JobError;
use platform::decode_job;
use platform::request_key;
use tokio::sync::OwnedSemaphorePermit;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Refusal;

use crate::Acceptance;
use crate::AcceptedJob;
use crate::CallerHandler;
use crate::callers::ATTEMPT_SHARE;
use crate::callers::Admitted;
use crate::callers::EmptyBody;
use crate::callers::caller_timeout;
use crate::callers::outcome_unknown;
use crate::callers::refusal;
use crate::callers::service_unavailable;
use crate::encode_row;
use crate::hex;
use crate::peers::Forwarded;
use crate::rejection::new_attempt;
use crate::retry::RefusalScope;

impl CallerHandler {
    /// Accepts a caller's job and replies.
    pub(crate) async fn submit(
        &self,
        config: &Config,
        admitted: &Admitted<'_>,
        id: JobId,
        request: &HttpRequest,
    ) -> HttpResponse {
        if request.body.len() > config.body_bytes {
            let reason = format!("body: allowed: at most {} bytes", config.body_bytes);
            return web::error(StatusCode::PAYLOAD_TOO_LARGE, &reason);
        }
        let Admitted { queue, viewer, .. } = *admitted;
        let mut spec = match decode_job(&request.body, queue, self.context.wall_time()) {
            Ok(spec) => spec,
            Err(error) => return malformed(&error),
        };
        if let Some(organisation) = viewer.organisation() {
            if let Some(excessive) = organisation.excessive_step(&spec) {
                return self.over_limit(organisation, excessive);
            }
            spec.organisation = Some(organisation.clone());
        }
        let room = match self.reserve(&spec) {
            Ok(room) => room,
            Err(response) => return *response,
        };
        let key = request_key(&request.headers).ok();
        let job = AcceptedJob {
            id,
            spec,
            key,
            known: self.context.versions.before_request(self.context.now()),
            attempt: new_attempt(),
        };
        let deadline = self.context.now() + caller_timeout(queue).mul_f64(ATTEMPT_SHARE);
        if self.context.settings.has(Mechanism::Admission)
            && let Some(rejected) = self.reject(&job).await
        {
            return rejected;
        }
        let mut acceptance = self.acceptor.accept(&job, deadline).await;
        let forwards = self.context.settings.has(Mechanism::ForwardToOwner);
        let mut scope = RefusalScope::Cell;
        if forwards && matches!(acceptance, Acceptance::Refused(_)) {
            // The store may refuse only this host.
            let remaining = deadline.saturating_sub(self.context.now());
            match self.owner.forward_job(&job, remaining).await {
                Forwarded::Replied(reply) => acceptance = reply,
                Forwarded::OwnerSilent if self.context.store_unreachable() => {
                    scope = RefusalScope::Host;
                }
                Forwarded::OwnerSilent | Forwarded::NoOtherOwner => {}
            }
        }
        match acceptance {
            Acceptance::Accepted { first: true } => {
                self.notify_owner(job, room);
                web::json(StatusCode::OK, &EmptyBody {})
            }
            Acceptance::Accepted { first: false } => web::json(StatusCode::OK, &EmptyBody {}),
            Acceptance::Taken => web::error(StatusCode::CONFLICT, "id of the job is in use"),
            Acceptance::Refused(reason) => refusal(&reason, scope),
            Acceptance::Unknown(reason) => outcome_unknown(&reason),
        }
    }

    /// Rejects a job that the limit of its organisation never lets start. Only a current
    /// configuration shows that the limit has not been raised.
    fn over_limit(&self, organisation: &Organisation, excessive: ExcessiveStep) -> HttpResponse {
        if self.context.config_age() > self.context.settings.config_ages().current {
            return service_unavailable(
                "the configuration of this host is too old to check limits",
            );
        }
        let ExcessiveStep { step, need } = excessive;
        let limit = organisation.limit.0;
        let reason = format!(
            "steps: step {step} needs {need} at the same time, allowed for organisation {:?}: {limit}",
            organisation.name
        );
        web::error(StatusCode::UNPROCESSABLE_ENTITY, &reason)
    }

    /// Reserves the memory of a job. Rejects one whose row the store does not take, and refuses one for
    /// which no memory is left.
    fn reserve(&self, spec: &JobSpec) -> Result<OwnedSemaphorePermit, Box<HttpResponse>> {
        let found = encode_row(spec).len();
        let allowed = self.context.settings.row_limit();
        if found > allowed {
            let reason = format!("job: found {found} bytes in a row, allowed: at most {allowed}");
            let response = web::error(StatusCode::PAYLOAD_TOO_LARGE, &reason);
            return Err(Box::new(response));
        }
        self.memory.reserve(spec, found).ok_or_else(|| {
            self.record(Refusal::Memory);
            Box::new(self.refuse("no memory for the job on this host"))
        })
    }

    /// Notifies the owner without delaying the caller. If the message is lost, the owner reads
    /// the job from the change feed.
    fn notify_owner(&self, mut job: AcceptedJob, room: OwnedSemaphorePermit) {
        job.key = None;
        let owner = self.owner.clone();
        tokio::spawn(async move {
            let id = job.id;
            if owner.notify_accepted(job).await.is_err() {
                log::debug!(
                    code = 404, job:% = hex(id);
                    "owner not notified of an accepted job; it reads the job from the change feed"
                );
            }
            drop(room);
        });
    }
}

/// Response to a job that cannot be decoded or is not allowed.
fn malformed(error: &JobError) -> HttpResponse {
    let status = if error.too_large() {
        StatusCode::PAYLOAD_TOO_LARGE
    } else {
        StatusCode::BAD_REQUEST
    };
    web::error(status, &error.to_string())
}
