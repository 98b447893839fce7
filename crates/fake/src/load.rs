//! Open-loop load on a cell: requests are sent_at at a steady rate, whatever
//! becomes of the earlier ones, and retried as a careful caller would.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use entry::AnswerBody;
use model::Family;
use model::Request;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::CellClient;

/// Pause of a caller before it asks again through another process.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What is sent_at, and how.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second.
    pub rate: u32,
    /// Number of requests.
    pub count: u32,
    /// Makes the request with a number.
    pub request: fn(u32) -> Request,
    /// Processes, asked in turn.
    pub servers: Vec<SocketAddr>,
    /// How long a caller asks again for a final answer.
    pub answer_timeout: Duration,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: Request,
    /// Final answer; none if there was none within the answer_timeout.
    pub answer: Option<AnswerBody>,
    /// When it was first sent_at, since the load began.
    pub sent_at: Duration,
    /// Time until its final answer.
    pub latency: Duration,
    /// Calls made for it.
    pub calls: u32,
}

impl Outcome {
    /// Family of the final answer, pending without one.
    #[must_use]
    pub fn family(&self) -> Family {
        self.answer
            .as_ref()
            .map_or(Family::Pending, |answer| answer.family)
    }
}

/// Sends all requests and waits for what becomes of them.
pub async fn run_load(client: &CellClient, plan: LoadPlan) -> Vec<Outcome> {
    let plan = Arc::new(plan);
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..plan.count {
        let due = began + Duration::from_secs_f64(f64::from(number) / f64::from(plan.rate));
        tokio::time::sleep_until(due.into()).await;
        let (client, plan) = (client.clone(), plan.clone());
        callers.spawn(async move { call(&client, &plan, number, began).await });
    }
    callers.join_all().await
}

/// Sends all requests while something else goes on.
#[must_use]
pub fn spawn_load(client: &CellClient, plan: LoadPlan) -> JoinHandle<Vec<Outcome>> {
    let client = client.clone();
    tokio::spawn(async move { run_load(&client, plan).await })
}

async fn call(client: &CellClient, plan: &LoadPlan, number: u32, began: Instant) -> Outcome {
    let request = (plan.request)(number);
    let sent_at = began.elapsed();
    let start = Instant::now();
    let mut calls = 0;
    let mut answer = None;
    while start.elapsed() < plan.answer_timeout && answer.is_none() {
        let turn = usize::try_from(number + calls).unwrap_or_default();
        let server = plan.servers[turn % plan.servers.len()];
        calls += 1;
        let left = plan.answer_timeout.saturating_sub(start.elapsed());
        match client.submit(server, &request, left).await {
            Ok(body) if body.answer.code.is_final() => answer = Some(body),
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    Outcome {
        request,
        answer,
        sent_at,
        latency: start.elapsed(),
        calls,
    }
}
