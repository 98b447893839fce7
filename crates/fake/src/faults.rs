//! Faults that tests inject into a stand-in service while it runs.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use web::HttpResponse;
use web::StatusCode;

/// Delay of a lost reply: longer than any client of the platform waits.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(20);

/// Faults of a stand-in service.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// Delay before each call takes effect.
    pub latency: Duration,
    /// Refuses all calls.
    pub down: bool,
    /// Number of upcoming commits that take effect without a reply in time.
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

    /// Injects the faults that come before a call takes effect; returns the
    /// refusal if the service is down.
    pub(crate) async fn before_call(&self) -> Option<HttpResponse> {
        let plan = *self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        if !plan.latency.is_zero() {
            tokio::time::sleep(plan.latency).await;
        }
        let refusal = || web::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        plan.down.then(refusal)
    }

    /// Delays the reply of a call that took effect if its reply is to be lost.
    pub(crate) async fn after_call(&self) {
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
