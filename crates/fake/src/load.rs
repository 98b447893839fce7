//! Open-loop load on a cell: requests are sent at a fixed rate, independent of
//! the answers to earlier ones, and each is retried until its final answer.

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

/// Delay before a caller retries a request through the next process.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests sent per second.
    pub rate: u32,
    /// Total number of requests.
    pub count: u32,
    /// Creates the request with the given sequence number.
    pub request: fn(u32) -> Request,
    /// Addresses of the entry processes. The first call of request N goes to server N,
    /// modulo their number, and each retry to the next one.
    pub servers: Vec<SocketAddr>,
    /// Time during which a caller retries until it has a final answer.
    pub answer_timeout: Duration,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request that was sent.
    pub request: Request,
    /// Final answer; `None` if there was none within the answer timeout.
    pub answer: Option<AnswerBody>,
    /// Time of the first call, counted from the start of the load.
    pub sent_at: Duration,
    /// Time from the first call to the final answer or the answer timeout.
    pub latency: Duration,
    /// Number of calls made for the request.
    pub calls: u32,
}

impl Outcome {
    /// Family of the final answer; [`Family::Pending`] if there is none.
    #[must_use]
    pub fn family(&self) -> Family {
        self.answer
            .as_ref()
            .map_or(Family::Pending, |answer| answer.family)
    }
}

/// Sends all requests and waits for their outcomes.
pub async fn run_load(client: &CellClient, plan: LoadPlan) -> Vec<Outcome> {
    let plan = Arc::new(plan);
    let load_start = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..plan.count {
        let due = load_start + Duration::from_secs_f64(f64::from(number) / f64::from(plan.rate));
        tokio::time::sleep_until(due.into()).await;
        let (client, plan) = (client.clone(), plan.clone());
        callers.spawn(async move { send_request(&client, &plan, number, load_start).await });
    }
    callers.join_all().await
}

/// Runs the load in a background task.
#[must_use]
pub fn spawn_load(client: &CellClient, plan: LoadPlan) -> JoinHandle<Vec<Outcome>> {
    let client = client.clone();
    tokio::spawn(async move { run_load(&client, plan).await })
}

async fn send_request(
    client: &CellClient,
    plan: &LoadPlan,
    number: u32,
    load_start: Instant,
) -> Outcome {
    let request = (plan.request)(number);
    let sent_at = load_start.elapsed();
    let start = Instant::now();
    let mut calls = 0;
    let mut answer = None;
    while start.elapsed() < plan.answer_timeout && answer.is_none() {
        let index = usize::try_from(number + calls).unwrap_or_default();
        let server = plan.servers[index % plan.servers.len()];
        calls += 1;
        let remaining = plan.answer_timeout.saturating_sub(start.elapsed());
        match client.submit(server, &request, remaining).await {
            Ok(body) if body.answer.code.is_final() => answer = Some(body),
            _ => tokio::time::sleep(RETRY_DELAY).await,
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
