//! The link (the connection of a shard's owner to a worker) of a new owner, when tasks end just
//! after the new owner has claimed the worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fake::FakeWorker;
use fake::RunLog;
use model::Resources;
use shard::Input;
use shard::LeaseGate;
use shard::Link;
use shard::LinkParams;
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
use worker::Claim;
use worker::Fence;
use worker::Poll;
use worker::Start;
use worker::WorkerClient;

/// Run time of the task.
const TASK_TIME: Duration = Duration::from_millis(200);

/// Lease of the worker's tasks: they are stopped if no poll renews it for this time.
const TASK_LEASE: Duration = Duration::from_secs(10);

/// A worker that handles the polls of one epoch only after its tasks have ended.
#[derive(Clone, Debug)]
struct DelayedPolls {
    worker: FakeWorker,
    epoch: u64,
}

impl Handler for DelayedPolls {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let poll = serde_json::from_slice::<Poll>(&request.body);
        let delayed = poll.is_ok_and(|poll| poll.fence.epoch == self.epoch);
        while delayed && self.worker.running_count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.worker.handle(request).await
    }
}

fn make_worker() -> FakeWorker {
    let capacity = Resources {
        cpu_milli: 1000,
        slots: 1,
        ..Resources::default()
    };
    FakeWorker::new("w1", capacity, RunLog::default())
}

/// Serves a worker that delays the polls of `epoch`, until the returned sender is dropped.
async fn serve_delayed(worker: &FakeWorker, epoch: u64) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (stop, stopped) = watch::channel(false);
    let handler = Arc::new(DelayedPolls {
        worker: worker.clone(),
        epoch,
    });
    tokio::spawn(web::serve(listener, handler, Limits::default(), stopped));
    (address, stop)
}

/// Fence of the shard's owner of this epoch. The worker's assignment to the shard (number 1) stays
/// the same.
fn fence(epoch: u64) -> Fence {
    Fence { assigned: 1, epoch }
}

/// Claims the worker for the owner of epoch 1 and starts a task on it.
async fn start_task(client: &WorkerClient, address: SocketAddr) {
    let claim = Claim {
        fence: fence(1),
        shard: 0,
        lease_millis: 10_000,
    };
    let claimed = client.claim(address, &claim).await.expect("claim");
    let poll = Poll {
        fence: fence(1),
        reply_number: claimed.reply_number,
        ended: Vec::new(),
        wait_millis: 0,
    };
    let polled = client.poll(address, &poll).await.expect("poll");
    let start = Start {
        fence: fence(1),
        incarnation: claimed.incarnation,
        reply_number: polled.reply_number,
        attempt: "stores/r1#1.1.0".to_owned(),
        request: "stores/r1".to_owned(),
        needs: Resources::default(),
        payload: "r1".to_owned(),
        run_millis: u64::try_from(TASK_TIME.as_millis()).expect("millis"),
        checkpoint: String::new(),
    };
    client.start(address, &start).await.expect("start");
}

/// Opens a link to the worker for the owner of epoch 2.
fn open_link(client: WorkerClient, address: SocketAddr) -> TestLink {
    let host = Host {
        id: "w1".to_owned(),
        address,
        domain: "tacoma".to_owned(),
        rack: "r1".to_owned(),
        state: HostState::Live,
    };
    let gate = Arc::new(LeaseGate::new());
    gate.extend(Instant::now() + Duration::from_mins(1));
    let params = LinkParams {
        host: WorkerHost { host, assigned: 1 },
        shard: 0,
        lease: TASK_LEASE,
        client,
        gate,
    };
    let (commands, receiver) = mpsc::unbounded_channel();
    let (sender, inputs) = mpsc::unbounded_channel();
    tokio::spawn(Link::new(params, fence(2), receiver, sender).run());
    TestLink { commands, inputs }
}

/// A link, as seen by the shard that it reports to.
struct TestLink {
    /// The link ends when this sender is dropped.
    commands: mpsc::UnboundedSender<shard::LinkCommand>,
    inputs: mpsc::UnboundedReceiver<Input>,
}

impl TestLink {
    /// Waits for the first report that lists an ended task, and returns the task.
    async fn first_end(&mut self) -> Option<worker::Task> {
        while let Some(input) = self.inputs.recv().await {
            if let Input::Ended(_, tasks) = input
                && let Some(task) = tasks.into_iter().next()
            {
                return Some(task);
            }
        }
        None
    }

    fn close(self) {
        drop(self.commands);
    }
}

// Guards against a restock that is never answered because it ends while its shard changes
// owners. The new owner claims the worker, whose reply lists the task as running; the task ends;
// the reply to the first poll after the claim reports the end. If the link uses only the number
// of this reply and ignores the ended tasks, its next poll acknowledges them, and the
// worker does not report them again.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_end_just_after_a_claim_is_reported() {
    let worker = make_worker();
    let (address, stop) = serve_delayed(&worker, 2).await;
    let client = WorkerClient::new(Duration::from_secs(1));
    start_task(&client, address).await;

    let mut link = open_link(client, address);
    let end = tokio::time::timeout(Duration::from_secs(5), link.first_end()).await;

    let end = end
        .expect("the end was never reported")
        .expect("an open link");
    assert_eq!(end.request, "stores/r1");
    assert_eq!(worker.running_count(), 0);
    link.close();
    stop.send_replace(true);
}
