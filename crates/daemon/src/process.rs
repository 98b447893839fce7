//! A process that serves requests: its start and the supervision of its async tasks.
//!
//! [`Process`] runs five async tasks: the upload of events, the poll of the host list, the
//! service for other processes, the shard manager (which runs the shards that this process
//! owns, each with its journal and its links to workers) and the HTTP server. None of them ends
//! before a planned stop; if one does, the whole process stops, and the other processes take
//! over its shards.

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
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use worker::WorkerClient;

use crate::DaemonError;
use crate::Settings;
use crate::upload_events;

/// Worker threads of the runtime. The hosts of the processes are small, and each additional
/// thread costs memory (an allocator arena of its own) and wake-ups.
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

/// Delay before the row [`CELL_PARAMS`] is read again after a failed read.
const PARAMS_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Context of a process that reaches the platform's services over HTTP.
type HttpContext = Context<HttpTable, HttpObjectStore, HttpHostList>;

/// A running process that serves requests.
#[derive(Debug)]
pub struct Process {
    pub(crate) context: Arc<HttpContext>,
    /// Transport to the other processes.
    pub(crate) endpoint: PeerEndpoint,
    /// Address on which the process serves callers.
    address: SocketAddr,
    /// Commands to the shard manager.
    pub(crate) shard_manager: mpsc::Sender<ShardManagerCommand>,
    /// Counts and limits the requests of callers in progress.
    pub(crate) in_flight: InFlightLimit,
    /// Set when a planned stop begins; the health check fails from then on.
    pub(crate) stopping: watch::Sender<bool>,
    /// Set to make the HTTP server accept no more connections and end with the open ones.
    pub(crate) stop_http: watch::Sender<bool>,
    /// Set to answer all waiting callers at once, without a final result; they can then ask
    /// another process.
    pub(crate) redirect_callers: watch::Sender<bool>,
    pub(crate) tasks: Tasks,
}

/// Async tasks of a process; if one of them ends, the process stops.
#[derive(Debug)]
pub(crate) struct Tasks {
    /// Polls the host list.
    hosts: JoinHandle<()>,
    /// Answers calls of the other processes.
    peers: JoinHandle<()>,
    /// Runs the shards of this process and renews its lease.
    shard_manager: JoinHandle<()>,
    /// Serves callers and operators; also ends after [`Process::stop_http`] was set.
    pub(crate) http: JoinHandle<()>,
    /// Uploads events to the object store.
    upload: JoinHandle<()>,
}

impl Tasks {
    pub(crate) fn abort(self) {
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
    /// Checks the settings against those of the cell and starts the async tasks of the process.
    /// While the table cannot be read, it waits and tries again.
    ///
    /// # Errors
    /// See [`DaemonError`].
    pub async fn open(settings: &Settings) -> Result<Process, DaemonError> {
        let mut context = make_context(settings)?;
        context.cell = join_cell(&context).await?;
        let context = Arc::new(context);
        let listen = settings.http.listen;
        let limits = http_limits(settings);
        let listener = web::listen(listen, &limits).map_err(|source| DaemonError::Listen {
            address: listen,
            source,
        })?;
        let address = listener.local_addr().unwrap_or(listen);
        // `None` until the host list has been read for the first time.
        let (host_sender, hosts) = watch::channel(None);
        let (view_sender, view) = watch::channel(Arc::new(View::default()));
        let (shard_manager, commands) = mpsc::channel(64);
        let (stopping, stopping_view) = watch::channel(false);
        let (stop_http, http_stopped) = watch::channel(false);
        let (redirect_callers, redirect_callers_view) = watch::channel(false);
        let in_flight = InFlightLimit::new(settings.http.in_flight);
        // Makes the shard manager read the table at once, because another process has changed it.
        let hints = Arc::new(Notify::new());
        let channels = ShardManagerChannels {
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
        let endpoint = context.endpoint.clone();
        let tasks = Tasks {
            hosts: tokio::spawn(watch_hosts(context.hosts.clone(), host_sender)),
            peers: tokio::spawn(async move { endpoint.serve(service).await }),
            shard_manager: tokio::spawn(ShardManager::new(context.clone(), channels).run()),
            upload: tokio::spawn(upload_events(
                context.objects.clone(),
                context.timeline.clone(),
            )),
            http: tokio::spawn(web::serve(listener, Arc::new(api), limits, http_stopped)),
        };
        let event = Event::new(Kind::ProcessStarted);
        context
            .timeline
            .record(event.detail(format!("serving callers on {address}")));
        Ok(Process {
            endpoint: context.endpoint.clone(),
            context,
            address,
            shard_manager,
            in_flight,
            stopping,
            stop_http,
            redirect_callers,
            tasks,
        })
    }

    /// The address on which the process serves callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until an async task of the process has ended, revokes the process's right to act
    /// under its lease, so that its shards decide nothing more, and returns the error that names
    /// the task.
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
        receive: Duration::from_millis(settings.http.receive_millis),
        connections: settings.http.connections,
        queue: settings.http.connections / 2,
        memory: settings.http.memory(),
        ..web::Limits::default()
    }
}

fn make_context(settings: &Settings) -> Result<HttpContext, DaemonError> {
    // The incarnation of the process: its name, and its start time in hexadecimal milliseconds.
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
        // Replaced by the id in the row `CELL_PARAMS` when the process joins the cell.
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
        // An eighth of the cell's write rate, until the shard manager has counted the live
        // processes and sets the rate.
        pacer: Pacer::new(f64::from(settings.cell.write_rate) / 8.0),
    })
}

/// Checks the settings against the cell's parameters in the table and returns the cell's id. The
/// first process of a cell writes the parameters, with a random id.
///
/// The number of shards is fixed from then on. A process with another number would route
/// requests to other shards, and the same request id could run twice.
async fn join_cell(context: &HttpContext) -> Result<CellId, DaemonError> {
    let params = CellParams {
        format: FORMAT,
        shards: context.shards,
        cell: RandomState::new().build_hasher().finish(),
    };
    let create = Commit::default()
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
                // Another process may create the row at the same time, so the result is ignored:
                // the next read returns the row that was committed.
                let _ = context.table.commit(&create).await;
            }
            Err(error) => {
                log::warn!(
                    "cannot read row {CELL_PARAMS} (parameters of the cell) from the table, next try in {PARAMS_RETRY_DELAY:?}: {error}"
                );
                tokio::time::sleep(PARAMS_RETRY_DELAY).await;
            }
        }
    }
}
