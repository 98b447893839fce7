//! Helper of the pool's owner: makes advice calls on its behalf.
//!
//! The advice service answers one call at a time for each host, so the calls are spread over all
//! hosts. An idle helper polls the owner for an advice call.

use std::time::Duration;

use job::StepKey;
use job::WorkerId;
use platform::AdviceClient;
use platform::AdviceReply;

use crate::AdviceResult;
use crate::Context;
use crate::DelegatedCall;
use crate::HelperPoll;
use crate::OwnerClient;

/// Pause before the next poll when the owner did not answer.
const NO_OWNER_PAUSE: Duration = Duration::from_millis(100);

/// Time allowed for an advice call beyond twice the expected time of the service.
const ADVICE_SLACK: Duration = Duration::from_millis(400);

/// Polls the owner for advice calls, makes them, and delivers each result with the next poll,
/// until the process stops.
pub async fn run_helper(context: Context, owner: OwnerClient) {
    let Some(server) = context.settings.advice_address() else {
        log::info!(code = 321; "no advice service configured; this process makes no advice calls");
        return;
    };
    let advice = AdviceClient::new(context.client.clone(), server);
    let mut result = None;
    loop {
        let sent = context.now();
        let answered_at = Some(context.store_answered_at()).filter(|at| !at.is_zero());
        let request = HelperPoll {
            node: context.settings.node.clone(),
            result: result.take(),
            forecast: true,
            store_age: answered_at.map(|at| sent.saturating_sub(at)),
        };
        let Ok(reply) = owner.poll(request).await else {
            tokio::time::sleep(NO_OWNER_PAUSE).await;
            continue;
        };
        if let Some(forecast) = reply.forecast {
            context.forecast.record(forecast, sent, reply.held);
        }
        if let Some(delegated) = reply.call {
            result = Some(call(&advice, delegated).await);
        }
    }
}

async fn call(advice: &AdviceClient, delegated: DelegatedCall) -> AdviceResult {
    let timeout = delegated.cost * 2 + ADVICE_SLACK;
    let reply = advice
        .request_tickets(delegated.step, &delegated.workers, timeout)
        .await;
    match reply {
        Ok(AdviceReply::Tickets(tickets, valid)) => {
            let good = tickets.into_iter();
            let good = good.map(|ticket| (ticket.worker, ticket.text)).collect();
            result(delegated.step, delegated.workers, Some(good), valid)
        }
        Ok(AdviceReply::Refused(status)) => {
            log::warn!(
                code = 322, step:% = delegated.step, status = status;
                "advice call about a step refused; the owner schedules another after a pause"
            );
            result(delegated.step, delegated.workers, None, None)
        }
        Err(error) => {
            log::warn!(
                code = 323, step:% = delegated.step, error:% = error;
                "advice service did not answer about a step; the owner schedules another call"
            );
            result(delegated.step, delegated.workers, None, None)
        }
    }
}

fn result(
    step: StepKey,
    workers: Vec<WorkerId>,
    good: Option<Vec<(WorkerId, String)>>,
    valid: Option<Duration>,
) -> AdviceResult {
    AdviceResult {
        step,
        workers,
        good,
        valid,
        age: Duration::ZERO,
    }
}
