//! Faults that can be set on a stand-in of the platform while it runs.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use web::StatusCode;
use web::Whole;

/// Longer than any client of the platform waits.
const NEVER: Duration = Duration::from_secs(20);

/// Faults of a stand-in.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// Added to each call.
    pub latency: Duration,
    /// Whether each call is refused.
    pub down: bool,
    /// How many of the next calls take effect, but get no answer.
    pub lost_replies: u32,
}

/// Faults of a stand-in, shared with whoever sets them.
#[derive(Debug, Default)]
pub struct Faults {
    plan: Mutex<FaultPlan>,
}

impl Faults {
    /// Changes the plan.
    pub fn update(&self, change: impl FnOnce(&mut FaultPlan)) {
        change(&mut self.plan.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Applied before a call takes effect.
    pub(crate) async fn before(&self) -> Option<Whole> {
        let plan = *self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        if !plan.latency.is_zero() {
            tokio::time::sleep(plan.latency).await;
        }
        let refusal = || web::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        plan.down.then(refusal)
    }

    /// Applied after a call took effect.
    pub(crate) async fn after(&self) {
        let lost = {
            let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
            let lost = plan.lost_replies > 0;
            plan.lost_replies = plan.lost_replies.saturating_sub(1);
            lost
        };
        if lost {
            tokio::time::sleep(NEVER).await;
        }
    }
}
