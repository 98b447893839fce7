//! Reports of a link, the connection of a shard's owner to a worker, to the shard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use model::Resources;
use shard::Input;
use shard::LeaseGate;
use shard::Link;
use shard::LinkCommand;
use shard::LinkParams;
use shard::StopMode;
use shard::UnfencedStart;
use shard::WorkerHost;
use store::Host;
use store::HostState;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Limits;
use web::StatusCode;
use worker::ClaimReply;
use worker::Fence;
use worker::PollReply;
use worker::Refusal;
use worker::RefusalReason;
use worker::WorkerClient;

/// Timeout for the next report of a link.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct State {
    /// Number of the current incarnation of the worker.
    incarnation_number: u32,
    /// Whether the current incarnation has been claimed.
    claimed: bool,
    /// Number of start calls received by all incarnations.
    starts: u32,
    /// Number of stop calls received by all incarnations.
    stops: u32,
}

/// A worker that answers the first stop with an error and does not carry it out. With
/// `restarts`, it also carries out the first start, but answers it with an error and restarts.
#[derive(Clone, Debug, Default)]
struct FaultyWorker {
    state: Arc<Mutex<State>>,
    restarts: bool,
}

impl FaultyWorker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn claim(&self) -> HttpResponse {
        let mut state = self.lock();
        state.claimed = true;
        let claimed = ClaimReply {
            incarnation: format!("run-{}", state.incarnation_number),
            reply_number: 1,
            capacity: Resources::default(),
            tasks: Vec::new(),
        };
        web::json(StatusCode::OK, &claimed)
    }

    fn start(&self) -> HttpResponse {
        let mut state = self.lock();
        state.starts += 1;
        if self.restarts && state.starts == 1 {
            state.incarnation_number += 1;
            state.claimed = false;
            return web::error(StatusCode::INTERNAL_SERVER_ERROR, "lost");
        }
        if state.claimed {
            return web::json(StatusCode::OK, &());
        }
        drop(state);
        refused()
    }

    fn stop(&self) -> HttpResponse {
        let mut state = self.lock();
        state.stops += 1;
        if state.stops == 1 {
            return web::error(StatusCode::INTERNAL_SERVER_ERROR, "lost");
        }
        web::json(StatusCode::OK, &())
    }

    /// Answers a poll after 400 ms; refuses it if the worker has restarted in the meantime or has
    /// not been claimed.
    async fn poll(&self) -> HttpResponse {
        let incarnation_number = self.lock().incarnation_number;
        tokio::time::sleep(Duration::from_millis(400)).await;
        let state = self.lock();
        if !state.claimed || state.incarnation_number != incarnation_number {
            drop(state);
            return refused();
        }
        let polled = PollReply {
            reply_number: 2,
            incarnation: format!("run-{}", state.incarnation_number),
            ended: Vec::new(),
            usage: Resources::default(),
        };
        web::json(StatusCode::OK, &polled)
    }
}

/// Refusal of a call to an incarnation that has not been claimed.
fn refused() -> HttpResponse {
    let refusal = Refusal {
        reason: RefusalReason::Unclaimed,
        fence: Fence::default(),
    };
    web::json(StatusCode::CONFLICT, &refusal)
}

impl Handler for FaultyWorker {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        match request.path.as_str() {
            "/v1/claim" => self.claim(),
            "/v1/start" => self.start(),
            "/v1/stop" => self.stop(),
            _ => self.poll().await,
        }
    }
}

/// A link to a [`FaultyWorker`], as seen by the shard that it reports to.
struct TestLink {
    worker: FaultyWorker,
    commands: mpsc::UnboundedSender<LinkCommand>,
    reports: mpsc::UnboundedReceiver<Input>,
    _stop: watch::Sender<bool>,
}

impl TestLink {
    /// Serves the worker and opens a link to it, which claims it.
    async fn open(worker: FaultyWorker) -> TestLink {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(worker.clone());
        tokio::spawn(web::serve(listener, handler, Limits::default(), stopped));
        let (commands, receiver) = mpsc::unbounded_channel();
        let (owner, reports) = mpsc::unbounded_channel();
        tokio::spawn(Link::new(link_params(address), Fence::default(), receiver, owner).run());
        TestLink {
            worker,
            commands,
            reports,
            _stop: stop,
        }
    }

    /// Waits for the next report and returns it; skips lists of ended tasks.
    async fn next(&mut self) -> Input {
        loop {
            let report = tokio::time::timeout(REPORT_TIMEOUT, self.reports.recv()).await;
            let input = report.expect("a report in time").expect("an open link");
            if !matches!(input, Input::Ended(..)) {
                return input;
            }
        }
    }
}

/// Parameters of a link of an owner whose own lease lasts for the whole test.
fn link_params(address: SocketAddr) -> LinkParams {
    let gate = LeaseGate::new();
    gate.extend(Instant::now() + Duration::from_mins(1));
    let host = Host {
        id: "w0".to_owned(),
        address,
        domain: "tacoma".to_owned(),
        rack: "r0".to_owned(),
        state: HostState::Live,
    };
    LinkParams {
        host: WorkerHost { host, assigned: 1 },
        shard: 0,
        lease: Duration::from_secs(10),
        client: WorkerClient::new(Duration::from_secs(1)),
        gate: Arc::new(gate),
    }
}

/// Start of a task on the first incarnation of the worker, `run-0`.
fn start() -> LinkCommand {
    LinkCommand::Start(UnfencedStart {
        attempt: "stores/r1#1.1.0".to_owned(),
        incarnation: "run-0".to_owned(),
        request: "stores/r1".to_owned(),
        needs: Resources::default(),
        payload: String::new(),
        run_millis: 100,
        checkpoint: String::new(),
    })
}

// Guards against a confirmation that runs twice, and a lookup that has run but is answered "not
// run". The worker carries out a start, its answer is lost, and it restarts. The link sends the
// start again, and it is refused, since the new incarnation has not been claimed. This refusal
// does not prove that the first start call started nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_lost_answer_is_not_reported_as_not_started() {
    let worker = FaultyWorker {
        restarts: true,
        ..FaultyWorker::default()
    };
    let mut link = TestLink::open(worker).await;
    let first = link.next().await;

    link.commands.send(start()).expect("an open link");
    let mut inputs = Vec::new();
    while !inputs
        .iter()
        .any(|input| matches!(input, Input::Claimed(..)))
    {
        inputs.push(link.next().await);
    }

    assert!(matches!(first, Input::Claimed(..)), "{first:?}");
    let is_not_started = |input: &Input| matches!(input, Input::NotStarted(..));
    assert!(!inputs.iter().any(is_not_started), "{inputs:?}");
}

// Guards against the event that a worker does not answer (302) when it has answered a poll with
// a refusal, because it has restarted and must be claimed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_refuses_a_poll_is_reported_as_refusing() {
    let worker = FaultyWorker {
        restarts: true,
        ..FaultyWorker::default()
    };
    let mut link = TestLink::open(worker).await;
    link.next().await;

    link.commands.send(start()).expect("an open link");
    let mut inputs = Vec::new();
    while !inputs
        .iter()
        .any(|input| matches!(input, Input::Claimed(..)))
    {
        inputs.push(link.next().await);
    }

    let is_refused = |input: &Input| format!("{input:?}").starts_with("WorkerRefused");
    assert!(inputs.iter().any(is_refused), "{inputs:?}");
}

// Guards against a cancelled task that runs to its end because the call to stop it has failed
// and is not repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_stop_is_sent_again() {
    let mut link = TestLink::open(FaultyWorker::default()).await;
    link.next().await;
    link.commands.send(start()).expect("an open link");
    link.next().await;

    let attempt = "stores/r1#1.1.0".to_owned();
    let stop = LinkCommand::Stop(attempt, StopMode::Kill);
    link.commands.send(stop).expect("an open link");
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(link.worker.lock().stops, 2);
}
