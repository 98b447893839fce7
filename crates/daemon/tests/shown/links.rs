//! What the link to a worker tells its shard.

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

/// Waits no longer than this for what a link tells.
const WAIT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct State {
    run: u32,
    claimed: bool,
    starts: u32,
    stops: u32,
}

/// A worker that carries out the first start, loses its answer and restarts;
/// the answer to the first stop is lost as well, before it was carried out.
#[derive(Clone, Debug, Default)]
struct Clumsy {
    state: Arc<Mutex<State>>,
    restarts: bool,
}

impl Clumsy {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn claim(&self) -> HttpResponse {
        let mut state = self.lock();
        state.claimed = true;
        let claimed = ClaimReply {
            incarnation: format!("run-{}", state.run),
            turn: 1,
            capacity: Resources::default(),
            tasks: Vec::new(),
        };
        web::json(StatusCode::OK, &claimed)
    }

    fn start(&self) -> HttpResponse {
        let mut state = self.lock();
        state.starts += 1;
        if self.restarts && state.starts == 1 {
            state.run += 1;
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

    async fn poll(&self) -> HttpResponse {
        let run = self.lock().run;
        tokio::time::sleep(Duration::from_millis(400)).await;
        let state = self.lock();
        if !state.claimed || state.run != run {
            drop(state);
            return refused();
        }
        let polled = PollReply {
            turn: 2,
            incarnation: format!("run-{}", state.run),
            ended: Vec::new(),
            usage: Resources::default(),
        };
        web::json(StatusCode::OK, &polled)
    }
}

fn refused() -> HttpResponse {
    let refusal = Refusal {
        reason: RefusalReason::Unclaimed,
        fence: Fence::default(),
    };
    web::json(StatusCode::CONFLICT, &refusal)
}

impl Handler for Clumsy {
    async fn handle(&self, asked: HttpRequest) -> HttpResponse {
        match asked.path.as_str() {
            "/v1/claim" => self.claim(),
            "/v1/start" => self.start(),
            "/v1/stop" => self.stop(),
            _ => self.poll().await,
        }
    }
}

/// A link to a worker, as its shard sees it.
struct Linked {
    worker: Clumsy,
    orders: mpsc::UnboundedSender<LinkCommand>,
    news: mpsc::UnboundedReceiver<Input>,
    _stop: watch::Sender<bool>,
}

impl Linked {
    async fn open(worker: Clumsy) -> Linked {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(worker.clone());
        tokio::spawn(web::serve(listener, handler, Limits::default(), stopped));
        let (orders, receiver) = mpsc::unbounded_channel();
        let (owner, news) = mpsc::unbounded_channel();
        tokio::spawn(Link::new(facts(address), Fence::default(), receiver, owner).run());
        Linked {
            worker,
            orders,
            news,
            _stop: stop,
        }
    }

    /// The next news but those of ended tasks.
    async fn next(&mut self) -> Input {
        loop {
            let news = tokio::time::timeout(WAIT, self.news.recv()).await;
            let input = news.expect("news in time").expect("an open link");
            if !matches!(input, Input::Ended(..)) {
                return input;
            }
        }
    }
}

fn facts(address: SocketAddr) -> LinkParams {
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

// A confirmation ran twice, and a lookup that had run was answered "not run".
// The worker carried out the start, its answer was lost, and it restarted; the
// start was sent again and refused, since the new run was not claimed. The
// refusal speaks of the second message alone, and was taken for a word on
// both: "it was certainly not started".
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_lost_answer_is_no_proof_that_nothing_started() {
    let worker = Clumsy {
        restarts: true,
        ..Clumsy::default()
    };
    let mut linked = Linked::open(worker).await;
    let first = linked.next().await;

    linked.orders.send(start()).expect("an open link");
    let mut told = Vec::new();
    while !told.iter().any(|input| matches!(input, Input::Claimed(..))) {
        told.push(linked.next().await);
    }

    assert!(matches!(first, Input::Claimed(..)), "{first:?}");
    let early = |input: &Input| matches!(input, Input::NotStarted(..));
    assert!(!told.iter().any(early), "{told:?}");
}

// The time line said that a worker does not answer (302), when it had answered
// with a refusal: it had restarted and was to be claimed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_refuses_is_not_said_to_be_silent() {
    let worker = Clumsy {
        restarts: true,
        ..Clumsy::default()
    };
    let mut linked = Linked::open(worker).await;
    linked.next().await;

    linked.orders.send(start()).expect("an open link");
    let mut told = Vec::new();
    while !told.iter().any(|input| matches!(input, Input::Claimed(..))) {
        told.push(linked.next().await);
    }

    let named = |input: &Input| format!("{input:?}").starts_with("WorkerRefused");
    assert!(told.iter().any(named), "{told:?}");
}

// A task that its caller had cancelled ran to its end. The call that stops it
// failed once; it was made once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_that_was_lost_is_sent_again() {
    let mut linked = Linked::open(Clumsy::default()).await;
    linked.next().await;
    linked.orders.send(start()).expect("an open link");
    linked.next().await;

    let attempt = "stores/r1#1.1.0".to_owned();
    let stop = LinkCommand::Stop(attempt, StopMode::Kill);
    linked.orders.send(stop).expect("an open link");
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(linked.worker.lock().stops, 2);
}
