//! Helper of the owner: makes advice calls on its behalf.
//!
//! The service answers one call at a time for each host, so the calls are
//! spread over all hosts. A helper asks for work when it is idle.

use std::time::Duration;

use job::StepKey;
use job::WorkerId;
use platform::AdviceClient;
use platform::AdviceReply;

use crate::AdviceQuery;
use crate::AdviceResult;
use crate::Context;
use crate::HelperPoll;
use crate::OwnerClient;

/// Pause when no owner answers.
const NO_OWNER_PAUSE: Duration = Duration::from_millis(100);

/// Time for an answer beyond what the service needs itself.
const ADVICE_SLACK: Duration = Duration::from_millis(400);

/// Makes advice calls until the process stops.
pub async fn run_helper(context: Context, owner: OwnerClient) {
    let Some(server) = context.settings.advice_address() else {
        log::info!(code = 321; "no advice service");
        return;
    };
    let advice = AdviceClient::new(context.client.clone(), server);
    let mut result = None;
    loop {
        let request = HelperPoll {
            node: context.settings.node.clone(),
            result: result.take(),
        };
        match owner.help(request).await {
            Ok(Some(query)) => result = Some(call(&advice, query).await),
            Ok(None) => {}
            Err(_) => tokio::time::sleep(NO_OWNER_PAUSE).await,
        }
    }
}

async fn call(advice: &AdviceClient, query: AdviceQuery) -> AdviceResult {
    let timeout = query.cost * 2 + ADVICE_SLACK;
    let reply = advice.ask(query.step, &query.workers, timeout).await;
    match reply {
        Ok(AdviceReply::Good(tickets, valid)) => {
            let good = tickets.into_iter();
            let good = good.map(|ticket| (ticket.worker, ticket.text)).collect();
            result(query.step, query.workers, Some(good), valid)
        }
        Ok(AdviceReply::Refused(status)) => {
            log::warn!(code = 322, step:% = query.step, status = status; "advice refused");
            result(query.step, query.workers, None, None)
        }
        Err(error) => {
            log::warn!(code = 323, step:% = query.step, error:% = error; "advice did not answer");
            result(query.step, query.workers, None, None)
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
