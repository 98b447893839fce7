//! The shard manager and the HTTP API of one process, on top of the stubs.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use entry::Api;
use entry::InFlightLimit;
use entry::Metrics;
use entry::Role;
use entry::Token;
use entry::Tokens;
use event::Event;
use event::Timeline;
use peer::KeyFiles;
use peer::PeerEndpoint;
use shard::Context;
use shard::FORMAT;
use shard::LeaseGate;
use shard::LeaseRow;
use shard::LeaseState;
use shard::MemberRow;
use shard::Pacer;
use shard::Router;
use shard::ShardManager;
use shard::ShardManagerChannels;
use shard::ShardManagerCommand;
use shard::Timing;
use shard::View;
use shard::encode_row;
use shard::lease_key;
use shard::member_key;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::sync::watch;
use web::HttpRequest;
use web::Method;
use worker::WorkerClient;

use crate::stubs::StubHosts;
use crate::stubs::StubObjects;
use crate::stubs::StubTable;

/// Access token of the operator.
pub(crate) const OPERATOR_TOKEN: &str = "the-operator";

/// The shard manager and the HTTP API of the process `a-1`, the only one of its cell unless
/// [`Fixture::add_member`] adds another one. The cell has one shard.
pub(crate) struct Fixture {
    pub(crate) table: StubTable,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) api: Api<StubTable, StubObjects>,
    keys: TempDir,
    view_sender: Option<watch::Sender<Arc<View>>>,
    commands: Option<mpsc::Receiver<ShardManagerCommand>>,
    context: Arc<Context<StubTable, StubObjects, StubHosts>>,
}

impl Fixture {
    /// Creates the process; its shard manager does not run until [`Fixture::start_shard_manager`].
    pub(crate) fn new() -> Fixture {
        let keys = tempfile::tempdir().expect("folder");
        peer::generate_keys(&keys.path().join("keys")).expect("keys");
        let table = StubTable::default();
        let timeline = Arc::new(Timeline::new("a-1"));
        let endpoint = open_endpoint(&keys, ([127, 0, 0, 1], 0).into(), timeline.clone());
        let (view_sender, view) = watch::channel(Arc::new(View::default()));
        let (shard_manager, commands) = mpsc::channel(4);
        let gate = Arc::new(LeaseGate::new());
        let api = Api {
            router: Router::new(endpoint.clone(), 1, view.clone()),
            table: table.clone(),
            objects: StubObjects,
            tokens: operator_tokens(),
            in_flight: InFlightLimit::new(8),
            metrics: Metrics::new().expect("metrics"),
            timeline: timeline.clone(),
            hosts: watch::channel(None).1,
            shard_manager,
            gate: gate.clone(),
            stopping: watch::channel(false).1,
            redirect_callers: watch::channel(false).1,
        };
        let context = Context {
            name: "a".to_owned(),
            process: "a-1".to_owned(),
            domain: "tacoma".to_owned(),
            peer: unused_address(),
            http: unused_address(),
            cell: 0,
            shards: 1,
            write_rate: 100,
            reclaim: true,
            timing: Timing::default(),
            table: table.clone(),
            objects: StubObjects,
            hosts: StubHosts,
            workers: WorkerClient::new(Duration::from_secs(1)),
            endpoint,
            timeline: timeline.clone(),
            gate,
            pacer: Pacer::new(100.0),
        };
        Fixture {
            table,
            timeline,
            view,
            api,
            keys,
            view_sender: Some(view_sender),
            commands: Some(commands),
            context: Arc::new(context),
        }
    }

    /// Opens the endpoint of another process of the cell; returns it and its address.
    pub(crate) fn other_endpoint(&self) -> (PeerEndpoint, SocketAddr) {
        let local_address =
            UdpSocket::bind(("127.0.0.1", 0)).and_then(|socket| socket.local_addr());
        let address = local_address.expect("a free address");
        let timeline = Arc::new(Timeline::new("b-1"));
        (open_endpoint(&self.keys, address, timeline), address)
    }

    /// Writes the member and lease rows of another process, `b-1`, which uses version 0 of the
    /// configuration.
    pub(crate) fn add_member(&self, peer: SocketAddr, state: LeaseState) {
        let lease = LeaseRow {
            format: FORMAT,
            state,
            counter: 1,
            config: 0,
        };
        let member = MemberRow {
            format: FORMAT,
            name: "b".to_owned(),
            peer,
            http: unused_address(),
            domain: "tacoma".to_owned(),
        };
        self.table.put(&member_key("b-1"), &encode_row(&member));
        self.table.put(&lease_key("b-1"), &encode_row(&lease));
    }

    /// Starts the shard manager; may be called once.
    pub(crate) fn start_shard_manager(&mut self) {
        let channels = ShardManagerChannels {
            hosts: watch::channel(None).1,
            view: self
                .view_sender
                .take()
                .expect("a shard manager that was not started"),
            hints: Arc::default(),
            commands: self
                .commands
                .take()
                .expect("a shard manager that was not started"),
        };
        tokio::spawn(ShardManager::new(self.context.clone(), channels).run());
    }

    /// The view of the cell that the shard manager published last.
    pub(crate) fn current_view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// The current metrics as text.
    pub(crate) fn metrics(&self) -> String {
        self.api.metrics.render(&self.current_view(), 0.0)
    }

    /// Names of the events recorded so far.
    pub(crate) fn events(&self) -> Vec<String> {
        let events = self.timeline.events_after(0, 1000);
        events
            .iter()
            .map(|event: &Event| event.kind.to_string())
            .collect()
    }

    /// Waits until an event is recorded; returns false if it is not within 8 s.
    pub(crate) async fn wait_for_event(&self, event: &str) -> bool {
        for _ in 0..160 {
            if self.events().iter().any(|name| name == event) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

/// An HTTP request with the operator's token.
pub(crate) fn call(method: Method, path: &str, body: &str) -> HttpRequest {
    HttpRequest {
        method,
        path: path.to_owned(),
        query: String::new(),
        token: Some(OPERATOR_TOKEN.to_owned()),
        host: String::new(),
        headers: hyper::HeaderMap::new(),
        body: body.to_owned().into(),
    }
}

/// An address on which nothing listens.
pub(crate) fn unused_address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn open_endpoint(keys: &TempDir, listen: SocketAddr, timeline: Arc<Timeline>) -> PeerEndpoint {
    let keys = KeyFiles {
        folder: keys.path().join("keys"),
    };
    PeerEndpoint::open(listen, &keys, timeline).expect("endpoint")
}

fn operator_tokens() -> Tokens {
    let token = Token {
        sha256: model::digest(OPERATOR_TOKEN),
        role: Role::Operator,
        team: "stores".to_owned(),
    };
    Tokens::new(vec![token])
}
