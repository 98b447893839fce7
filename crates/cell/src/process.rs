//! One process: its start, its tasks and its stop.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use job::Config;
use platform::OPERATOR_TABLE;
use platform::decode_config;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Limits;

use crate::CallerHandler;
use crate::CellError;
use crate::CellSettings;
use crate::Change;
use crate::Context;
use crate::Follower;
use crate::MetricsHandler;
use crate::OwnerClient;
use crate::OwnerPort;
use crate::PeerHandler;
use crate::SeatKeeper;
use crate::SeatView;
use crate::error::ListenSnafu;
use crate::help_owner;
use crate::supervise_owner;

/// Longest wait of the feed of the configuration. A feed may go silent; this
/// bounds how old the configuration can be.
const CONFIG_WAIT: Duration = Duration::from_millis(800);

/// Pause after a failed read of the configuration.
const CONFIG_PAUSE: Duration = Duration::from_millis(150);

/// The store's silence after which this process is not ready: others may
/// reach it.
const SILENT: Duration = Duration::from_millis(1200);

/// Time for which a stopping process goes on serving: the balancer notices
/// after two checks, one second apart.
const DRAIN: Duration = Duration::from_millis(2600);

/// Part of the grace that is left when the process has ended its requests: the
/// kill must not come first.
const SPARE: Duration = Duration::from_millis(1500);

/// Time within the grace for open requests to end after the owner has.
const FINISH: Duration = Duration::from_millis(500);

/// A running process.
pub struct CellProcess {
    stop: watch::Sender<bool>,
    close: watch::Sender<bool>,
    servers: JoinSet<()>,
    /// Time between the signal to stop and the kill.
    grace: Duration,
    owner: tokio::task::JoinHandle<()>,
    _tasks: JoinSet<()>,
}

impl CellProcess {
    /// Starts all tasks of a process.
    ///
    /// # Errors
    /// An address cannot be listened on.
    pub async fn open(settings: CellSettings) -> Result<CellProcess, CellError> {
        let (config_tx, config) = watch::channel(None);
        let (seat_tx, seat) = watch::channel(SeatView::default());
        let (stop, stop_rx) = watch::channel(false);
        let (close, close_rx) = watch::channel(false);
        let (slot, slot_rx) = watch::channel(None);
        let context = Context::new(settings, config, seat, stop_rx);
        let port = OwnerPort::new(slot_rx);
        let client = OwnerClient::new(context.clone(), port.clone());
        let listen = &context.settings.listen;
        let callers = bind(listen.callers).await?;
        let ready = bind(listen.ready).await?;
        let metrics = bind(listen.metrics).await?;
        let peers = bind(context.settings.peer_address()).await?;
        let mut servers = JoinSet::new();
        let limits = Limits::default();
        let handler = CallerHandler::new(context.clone(), client.clone());
        servers.spawn(web::serve(callers, handler, limits, close_rx.clone()));
        let handler = ReadyHandler::new(context.clone());
        servers.spawn(web::serve(ready, handler, limits, close_rx.clone()));
        let handler = PeerHandler::new(port, context.clone());
        servers.spawn(web::serve(peers, handler, limits, close_rx.clone()));
        let handler = MetricsHandler::new(context.metrics.clone());
        servers.spawn(web::serve(metrics, handler, limits, close_rx));
        let mut tasks = JoinSet::new();
        tasks.spawn(follow_config(context.clone(), config_tx));
        tasks.spawn(SeatKeeper::new(context.clone(), seat_tx).run());
        tasks.spawn(help_owner(context.clone(), client));
        log::info!(
            code = 100, node = context.settings.node.as_str(), zone = context.settings.zone.as_str(),
            incarnation = context.incarnation; "started"
        );
        let grace = context.settings.grace();
        let owner = tokio::spawn(supervise_owner(context, slot));
        Ok(CellProcess {
            stop,
            close,
            servers,
            grace,
            owner,
            _tasks: tasks,
        })
    }

    /// Stops: gives the pool up at once, serves until the balancer sends no
    /// more callers, then lets open requests finish.
    pub async fn close(mut self) {
        log::info!(code = 101; "stopping");
        let end = Instant::now() + self.grace.saturating_sub(SPARE);
        self.stop.send_replace(true);
        // The owner ends by itself on a stop; one that cannot is left behind.
        let left = end.saturating_duration_since(Instant::now());
        let owner = tokio::time::timeout(left.saturating_sub(FINISH), &mut self.owner);
        let (owner, ()) = tokio::join!(owner, tokio::time::sleep(DRAIN));
        if owner.is_err() {
            log::error!(code = 106; "the owner does not stop");
            self.owner.abort();
        }
        self.close.send_replace(true);
        let finish = async { while self.servers.join_next().await.is_some() {} };
        let left = end.saturating_duration_since(Instant::now());
        let whole = tokio::time::timeout(left, finish).await.is_ok();
        log::info!(code = 102, whole = whole; "stopped");
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, CellError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Reads the settings file again and tells what has changed.
pub fn reload_settings(path: &Path, known: &mut CellSettings) {
    match CellSettings::load(path) {
        Ok(settings) if settings == *known => {}
        Ok(settings) => {
            log::info!(code = 103, settings:? = settings; "settings changed");
            *known = settings;
        }
        Err(error) => log::error!(code = 104, error:% = error; "settings not reloaded"),
    }
}

async fn follow_config(context: Context, config: watch::Sender<Option<Arc<Config>>>) {
    let mut follower = Follower::new(&context.store, OPERATOR_TABLE, false);
    loop {
        let begun = context.now();
        match follower.next(CONFIG_WAIT).await {
            Ok(Change::Full(rows) | Change::Some(rows)) => {
                let mut whole = true;
                for decoded in rows.iter().filter_map(decode_config) {
                    match decoded {
                        Ok(newer) => {
                            let version = i64::try_from(newer.version).unwrap_or(i64::MAX);
                            context.metrics.config.set(version);
                            take_config(&config, newer);
                        }
                        Err(error) => {
                            whole = false;
                            log::error!(code = 201, error:% = error; "configuration unreadable");
                        }
                    }
                }
                if whole {
                    context.confirm_config(begun);
                }
            }
            Err(_) => tokio::time::sleep(CONFIG_PAUSE).await,
        }
    }
}

/// Takes a newer version; versions never go back.
fn take_config(config: &watch::Sender<Option<Arc<Config>>>, newer: Config) {
    config.send_if_modified(|known| {
        let version = known.as_ref().map_or(0, |known| known.version);
        if newer.version <= version {
            return false;
        }
        log::info!(code = 200, version = newer.version, former = version, queues = newer.queues.len(); "configuration in force");
        *known = Some(Arc::new(newer));
        true
    });
}

/// Tells the balancer whether to send callers here.
struct ReadyHandler {
    context: Context,
}

impl ReadyHandler {
    fn new(context: Context) -> Arc<ReadyHandler> {
        Arc::new(ReadyHandler { context })
    }

    fn ready(&self) -> bool {
        let now = self.context.now();
        let view = self.context.seat.borrow();
        let silent = view
            .silent
            .is_some_and(|since| now.saturating_sub(since) > SILENT);
        let configured = self.context.config.borrow().is_some();
        configured && !silent && !self.context.stopping()
    }
}

impl Handler for ReadyHandler {
    async fn handle(&self, _: HttpRequest) -> HttpResponse {
        if self.ready() {
            web::text(StatusCode::OK, "ready")
        } else {
            web::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
