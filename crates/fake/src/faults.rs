//! Faults that tests inject into a stand-in service while it runs.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use web::HttpResponse;
use web::StatusCode;

/// Delay of the reply to a commit whose reply is to be lost: longer than the
/// timeout of any client of the platform.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(20);

/// Faults of a stand-in service.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// Delay before each call takes effect.
    pub latency: Duration,
    /// Refuses all calls with status 503.
    pub down: bool,
    /// Number of upcoming commits that take effect, but whose replies arrive after
    /// the client's timeout.
    pub lost_replies: u32,
}

/// Faults of a stand-in service, shared with the test that sets them.
#[derive(Debug, Default)]
pub struct Faults {
    plan: Mutex<FaultPlan>,
}

impl Faults {
    /// Changes the fault plan.
    pub fn update(&self, change: impl FnOnce(&mut FaultPlan)) {
        change(&mut self.plan.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Waits for the latency of a call before it takes effect; returns the refusal
    /// if the service is down.
    pub(crate) async fn before_call(&self) -> Option<HttpResponse> {
        let plan = *self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        if !plan.latency.is_zero() {
            tokio::time::sleep(plan.latency).await;
        }
        let refusal = || web::error(StatusCode::SERVICE_UNAVAILABLE, "injected outage");
        plan.down.then(refusal)
    }

    /// Delays the reply to a commit until its client has timed out, if the plan still has a
    /// reply to lose, and counts it. Called after the commit has taken effect.
    pub(crate) async fn delay_lost_reply(&self) {
        let lost = {
            let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
            let lost = plan.lost_replies > 0;
            plan.lost_replies = plan.lost_replies.saturating_sub(1);
            lost
        };
        if lost {
            tokio::time::sleep(LOST_REPLY_DELAY).await;
        }
    }
}
