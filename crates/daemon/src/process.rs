//! One running process: its start and the supervision of its tasks.
//!
//! [`Process`] owns five tasks: the upload of events, the host list watch, the service for
//! other processes, the shard manager (which owns the shards, each with its journal and its
//! links to workers) and the HTTP server. None of them ends in normal operation; if one does,
//! the whole process stops, and the other processes take over its shards.

use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entry::Api;
use entry::InFlightLimit;
use entry::Metrics;
use entry::Tokens;
use event::Event;
use event::Kind;
use event::Timeline;
use event::wall_millis;
use peer::KeyFiles;
use peer::PeerEndpoint;
use shard::CELL_PARAMS;
use shard::CellId;
use shard::CellParams;
use shard::CellService;
use shard::Context;
use shard::FORMAT;
use shard::LeaseGate;
use shard::Pacer;
use shard::Router;
use shard::ShardManager;
use shard::ShardManagerChannels;
use shard::ShardManagerCommand;
use shard::Timing;
use shard::View;
use shard::decode_row;
use shard::encode_row;
use shard::watch_hosts;
use store::Commit;
use store::HttpHostList;
use store::HttpObjectStore;
use store::HttpTable;
use store::Table;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use worker::WorkerClient;

use crate::DaemonError;
use crate::Settings;
use crate::upload_events;

/// Worker threads of the runtime. Entry hosts are small, and each additional thread costs
/// memory (an allocator arena of its own) and wake-ups.
const WORKER_THREADS: usize = 2;

/// Builds the Tokio runtime of a process.
///
/// # Errors
/// The operating system cannot create the threads.
pub fn make_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(WORKER_THREADS).enable_all().build()
}

/// Timeout of one call to a worker.
const WORKER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before [`CELL_PARAMS`] is read again after the table failed.
const PARAMS_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Context of a process that reaches the platform's services over HTTP.
type HttpContext = Context<HttpTable, HttpObjectStore, HttpHostList>;

/// A running process.
#[derive(Debug)]
pub struct Process {
    pub(crate) context: Arc<HttpContext>,
    pub(crate) node: PeerEndpoint,
    address: SocketAddr,
    pub(crate) shard_manager: mpsc::Sender<ShardManagerCommand>,
    pub(crate) in_flight: InFlightLimit,
    /// Set when a planned stop begins.
    pub(crate) stopping: watch::Sender<bool>,
    /// Set to make the HTTP server accept no more connections and finish.
    pub(crate) stop: watch::Sender<bool>,
    /// Set to send a pending answer to callers that still wait.
    pub(crate) redirect_callers: watch::Sender<bool>,
    pub(crate) tasks: Tasks,
}

/// Essential tasks: if one of them ends, the process stops.
#[derive(Debug)]
pub(crate) struct Tasks {
    hosts: JoinHandle<()>,
    peers: JoinHandle<()>,
    shard_manager: JoinHandle<()>,
    pub(crate) http: JoinHandle<()>,
    upload: JoinHandle<()>,
}

impl Tasks {
    /// Aborts all tasks.
    pub(crate) fn close(self) {
        let tasks = [
            self.hosts,
            self.peers,
            self.shard_manager,
            self.http,
            self.upload,
        ];
        for task in tasks {
            task.abort();
        }
    }
}

impl Process {
    /// Joins the cell and starts the tasks of the process.
    ///
    /// # Errors
    /// See [`DaemonError`].
    pub async fn open(settings: &Settings) -> Result<Process, DaemonError> {
        let mut context = make_context(settings)?;
        context.cell = join_cell(&context).await?;
        let context = Arc::new(context);
        let listen = settings.http.listen;
        let listener = TcpListener::bind(listen).await;
        let listener = listener.map_err(|source| DaemonError::Listen {
            address: listen,
            source,
        })?;
        let address = listener.local_addr().unwrap_or(listen);
        let (host_sender, hosts) = watch::channel(None);
        let (view_sender, view) = watch::channel(Arc::new(View::default()));
        let (shard_manager, commands) = mpsc::channel(64);
        let (stopping, stopping_view) = watch::channel(false);
        let (stop, stop_view) = watch::channel(false);
        let (redirect_callers, redirect_callers_view) = watch::channel(false);
        let in_flight = InFlightLimit::new(settings.http.in_flight);
        let hints = Arc::new(Notify::new());
        let ports = ShardManagerChannels {
            hosts: hosts.clone(),
            view: view_sender,
            hints: hints.clone(),
            commands,
        };
        let api = Api {
            router: Router::new(context.endpoint.clone(), context.shards, view.clone()),
            table: context.table.clone(),
            objects: context.objects.clone(),
            tokens: Tokens::new(settings.tokens.clone()),
            in_flight: in_flight.clone(),
            metrics: Metrics::new()?,
            timeline: context.timeline.clone(),
            hosts,
            shard_manager: shard_manager.clone(),
            gate: context.gate.clone(),
            stopping: stopping_view,
            redirect_callers: redirect_callers_view,
        };
        let service = CellService::new(&context.process, view, hints);
        let node = context.endpoint.clone();
        let tasks = Tasks {
            hosts: tokio::spawn(watch_hosts(context.hosts.clone(), host_sender)),
            peers: tokio::spawn(async move { node.serve(service).await }),
            shard_manager: tokio::spawn(ShardManager::new(context.clone(), ports).run()),
            upload: tokio::spawn(upload_events(
                context.objects.clone(),
                context.timeline.clone(),
            )),
            http: tokio::spawn(web::serve(
                listener,
                Arc::new(api),
                http_limits(settings),
                stop_view,
            )),
        };
        let event = Event::new(Kind::ProcessStarted);
        context
            .timeline
            .record(event.detail(format!("serving callers on {address}")));
        Ok(Process {
            node: context.endpoint.clone(),
            context,
            address,
            shard_manager,
            in_flight,
            stopping,
            stop,
            redirect_callers,
            tasks,
        })
    }

    /// The address on which the process serves callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until an essential task has ended, closes the gate so that the shards decide
    /// nothing more, and returns the error that names the task.
    pub async fn wait_for_failure(&mut self) -> DaemonError {
        let task = tokio::select! {
            _ = &mut self.tasks.hosts => "hosts",
            _ = &mut self.tasks.peers => "peers",
            _ = &mut self.tasks.shard_manager => "keeper",
            _ = &mut self.tasks.http => "http",
            _ = &mut self.tasks.upload => "upload",
        };
        self.context.gate.revoke();
        let event = Event::new(Kind::TaskCrashed).detail(task);
        self.context.timeline.record(event);
        DaemonError::TaskEnded { task }
    }
}

fn http_limits(settings: &Settings) -> web::Limits {
    web::Limits {
        body_bytes: settings.http.body_bytes,
        head_bytes: settings.http.head_bytes,
        idle: Duration::from_millis(settings.http.idle_millis),
        connections: settings.http.connections,
    }
}

fn make_context(settings: &Settings) -> Result<HttpContext, DaemonError> {
    let process = format!("{}-{:x}", settings.name, wall_millis());
    let timeline = Arc::new(Timeline::new(&process));
    let keys = KeyFiles {
        folder: settings.peer.keys.clone(),
    };
    let endpoint = PeerEndpoint::open(settings.peer.listen, &keys, timeline.clone())?;
    let timeout = Duration::from_millis(settings.platform.timeout_millis);
    Ok(Context {
        name: settings.name.clone(),
        process,
        domain: settings.domain.clone(),
        peer: settings.peer.advertise.unwrap_or(settings.peer.listen),
        http: settings.http.listen,
        shards: settings.cell.shards,
        cell: 0,
        write_rate: settings.cell.write_rate,
        reclaim: settings.lease.reclaim,
        timing: Timing::from(&settings.lease),
        table: HttpTable::new(settings.platform.table, timeout),
        objects: HttpObjectStore::new(settings.platform.objects, timeout),
        hosts: HttpHostList::new(settings.platform.hosts, timeout),
        workers: WorkerClient::new(WORKER_TIMEOUT),
        endpoint,
        timeline,
        gate: Arc::new(LeaseGate::new()),
        pacer: Pacer::new(f64::from(settings.cell.write_rate) / 8.0),
    })
}

/// Checks the settings against the cell's parameters in the table and returns the cell's id; the
/// first process of a cell writes the parameters and chooses the id.
///
/// The number of shards is fixed from then on. A process with another number would route
/// requests to other shards, and the same request id could run twice.
async fn join_cell(context: &HttpContext) -> Result<CellId, DaemonError> {
    let params = CellParams {
        format: FORMAT,
        shards: context.shards,
        cell: RandomState::new().build_hasher().finish(),
    };
    let commit = Commit::default()
        .check(CELL_PARAMS, 0)
        .put(CELL_PARAMS, encode_row(&params));
    loop {
        match context.table.get(CELL_PARAMS).await {
            Ok(Some(row)) => {
                let existing: CellParams = decode_row(&row)?;
                if (existing.format, existing.shards) == (params.format, params.shards) {
                    return Ok(existing.cell);
                }
                return Err(DaemonError::ShardCount {
                    found: params.shards,
                    allowed: existing.shards,
                });
            }
            Ok(None) => {
                // Other processes may write the row at the same time: the next read returns
                // the one that was committed.
                let _ = context.table.commit(&commit).await;
            }
            Err(error) => {
                log::warn!("cannot read the parameters of the cell, retrying: {error}");
                tokio::time::sleep(PARAMS_RETRY_DELAY).await;
            }
        }
    }
}
