//! A process of the cell: its start, its tasks and its shutdown.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use job::Config;
use platform::OPERATOR_TABLE;
use platform::StoreError;
use platform::decode_config;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Limits;
use web::Refusal;

use crate::CallerHandler;
use crate::CellError;
use crate::CellSettings;
use crate::Change;
use crate::Context;
use crate::Follower;
use crate::ListenerLimits;
use crate::MetricsHandler;
use crate::OwnerClient;
use crate::OwnerElection;
use crate::OwnerHandle;
use crate::OwnershipView;
use crate::PeerHandler;
use crate::StopPhase;
use crate::StopTimes;
use crate::error::ListenSnafu;
use crate::run_helper;
use crate::supervise_owner;

/// Longest wait of the configuration's change feed. A feed may stop delivering without an error;
/// this bounds the age of the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(800);

/// Pause after a failed read of the configuration.
const CONFIG_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time without a reply of the store after which this process reports that it is not ready; other
/// processes may still reach the store.
const UNREADY_AFTER: Duration = Duration::from_millis(1200);

/// A running process.
pub struct CellProcess {
    /// Tells all tasks how far the stop of the process is.
    stop: watch::Sender<StopPhase>,
    /// Asks the servers to accept no more requests.
    close: watch::Sender<bool>,
    /// HTTP servers for callers, readiness checks, peers and metrics.
    servers: JoinSet<()>,
    /// Times of a planned stop.
    times: StopTimes,
    /// Task that runs the owner while this process owns the pool.
    owner: tokio::task::JoinHandle<()>,
    /// Tasks that follow the configuration and the ownership, and the advice helper.
    _tasks: JoinSet<()>,
}

impl CellProcess {
    /// Starts all tasks of a process.
    ///
    /// # Errors
    /// Fails if the process cannot listen on one of its addresses.
    #[allow(clippy::unused_async)] // needs a runtime
    pub async fn open(settings: CellSettings) -> Result<CellProcess, CellError> {
        let (config_tx, config) = watch::channel(None);
        let (ownership_tx, ownership) = watch::channel(OwnershipView::default());
        let (stop, stop_rx) = watch::channel(StopPhase::Running);
        let (close, close_rx) = watch::channel(false);
        let (owner_slot, owner_slot_rx) = watch::channel(None);
        let context = Context::new(settings, config, ownership, stop_rx);
        let owner_handle = OwnerHandle::new(owner_slot_rx);
        let client = OwnerClient::new(context.clone(), owner_handle.clone());
        let addresses = &context.settings.listen;
        let limits = ListenerLimits::new(&context.settings);
        let callers = listen(addresses.callers, &limits.callers)?;
        let ready = listen(addresses.ready, &limits.small)?;
        let metrics = listen(addresses.metrics, &limits.small)?;
        let peers = listen(context.settings.peer_address(), &limits.peers)?;
        let mut servers = JoinSet::new();
        let handler = CallerHandler::new(context.clone(), client.clone());
        servers.spawn(web::serve(
            callers,
            handler,
            limits.callers,
            close_rx.clone(),
        ));
        let handler = ReadyHandler::new(context.clone());
        servers.spawn(web::serve(ready, handler, limits.small, close_rx.clone()));
        let handler = PeerHandler::new(owner_handle, context.clone());
        servers.spawn(web::serve(peers, handler, limits.peers, close_rx.clone()));
        let handler = MetricsHandler::new(context.metrics.clone());
        servers.spawn(web::serve(metrics, handler, limits.small, close_rx));
        let mut tasks = JoinSet::new();
        tasks.spawn(follow_config(context.clone(), config_tx));
        tasks.spawn(OwnerElection::new(context.clone(), ownership_tx).run());
        tasks.spawn(run_helper(context.clone(), client));
        log::info!(
            code = 100, node = context.settings.node.as_str(), zone = context.settings.zone.as_str(),
            incarnation = context.incarnation; "process started; serving callers and peers"
        );
        let times = StopTimes::new(context.settings.grace());
        let owner = tokio::spawn(supervise_owner(context, owner_slot));
        Ok(CellProcess {
            stop,
            close,
            servers,
            times,
            owner,
            _tasks: tasks,
        })
    }

    /// Shuts down: releases the pool at once, serves until the balancer sends no more requests,
    /// then lets open requests finish.
    pub async fn close(mut self) {
        log::info!(
            code = 101;
            "process stopping; releasing the pool if owned, then finishing open requests"
        );
        let started = Instant::now();
        let times = self.times;
        self.stop.send_replace(StopPhase::Stopping);
        let drained = tokio::time::sleep_until(started + times.drain);
        // The owner task ends by itself on a stop; one that hangs is aborted.
        let owner = tokio::time::timeout_at(started + times.owner, &mut self.owner);
        let (owner, ()) = tokio::join!(owner, drained);
        if owner.is_err() {
            log::error!(code = 106; "owner task did not stop in time; aborting it");
            self.owner.abort();
        }
        self.close.send_replace(true);
        if !self.finish(started + times.answer).await {
            self.stop.send_replace(StopPhase::Ending);
        }
        let finished = self.finish(started + times.end).await;
        log::info!(
            code = 102, whole = finished;
            "process stopped; if not whole, open requests were cut off"
        );
    }

    /// Waits until the servers have no more open requests, at most until `end`; returns whether
    /// they have none.
    async fn finish(&mut self, end: Instant) -> bool {
        let finish = async { while self.servers.join_next().await.is_some() {} };
        tokio::time::timeout_at(end, finish).await.is_ok()
    }
}

fn listen(address: SocketAddr, limits: &Limits) -> Result<TcpListener, CellError> {
    web::listen(address, limits).context(ListenSnafu { address })
}

/// Reads the settings file again and logs a change. The change itself takes effect at the next
/// start of the process.
pub fn reload_settings(path: &Path, current: &mut CellSettings) {
    match CellSettings::load(path) {
        Ok(settings) if settings == *current => {}
        Ok(settings) => {
            log::info!(
                code = 103, settings:? = settings;
                "settings file changed; the change takes effect at the next start of the process"
            );
            *current = settings;
        }
        Err(error) => log::error!(
            code = 104, error:% = error;
            "settings file cannot be reloaded; the settings in use stay"
        ),
    }
}

/// Follows the operator's table and publishes each newer configuration. A read in which a
/// configuration cannot be decoded does not confirm that the one in force is the newest.
async fn follow_config(context: Context, config: watch::Sender<Option<Arc<Config>>>) {
    let mut follower = Follower::new(&context.store, OPERATOR_TABLE, false);
    let mut unreadable = 0;
    loop {
        let read = follower.next(CONFIG_WAIT);
        match context.abandon_on_recovery(read).await {
            Ok(Change::Snapshot(rows) | Change::Delta(rows)) => {
                context.record_store_reply();
                if let Some(version) = follower.version() {
                    context.versions.record(context.now(), version);
                }
                let mut all_decoded = true;
                for row in &rows {
                    match decode_config(row) {
                        None => {}
                        Some(Ok(newer)) => {
                            let version = i64::try_from(newer.version).unwrap_or(i64::MAX);
                            context.metrics.config_version.set(version);
                            apply_config(&config, newer);
                        }
                        Some(Err(error)) => {
                            all_decoded = false;
                            if std::mem::replace(&mut unreadable, row.version) != row.version {
                                log::error!(
                                    code = 201, error:% = error;
                                    "configuration cannot be decoded; the last readable one stays in use"
                                );
                            }
                        }
                    }
                }
                if all_decoded {
                    context.confirm_config(context.current_at(&follower));
                }
            }
            // The store answers again, and may never answer the read that was sent before.
            Err(StoreError::Abandoned) => {}
            Err(_) => tokio::time::sleep(CONFIG_RETRY_PAUSE).await,
        }
    }
}

/// Publishes a configuration if its version is newer; the version never goes back.
fn apply_config(config: &watch::Sender<Option<Arc<Config>>>, newer: Config) {
    config.send_if_modified(|current| {
        let version = current.as_ref().map_or(0, |current| current.version);
        if newer.version <= version {
            return false;
        }
        log::info!(
            code = 200, version = newer.version, former = version, queues = newer.queues.len(),
            organisations = newer.organisations.len(), keys = newer.keys.len();
            "configuration applied"
        );
        for entry in &newer.skipped {
            log::error!(
                code = 202, version = newer.version, kind:% = entry.kind, index = entry.index,
                error = entry.reason.as_str();
                "entry of the configuration cannot be decoded; the others are in force without it"
            );
        }
        *current = Some(Arc::new(newer));
        true
    });
}

/// Answers the balancer's readiness checks.
struct ReadyHandler {
    context: Context,
}

impl ReadyHandler {
    fn new(context: Context) -> Arc<ReadyHandler> {
        Arc::new(ReadyHandler { context })
    }

    fn ready(&self) -> bool {
        let now = self.context.now();
        let view = self.context.ownership.borrow();
        let unreachable = view
            .unreachable_since
            .is_some_and(|since| now.saturating_sub(since) > UNREADY_AFTER);
        let configured = self.context.config.borrow().is_some();
        configured && !unreachable && !self.context.stopping()
    }
}

impl Handler for ReadyHandler {
    fn record(&self, refusal: Refusal) {
        self.context.metrics.record_refusal("ready", refusal);
    }

    async fn handle(&self, _: HttpRequest) -> HttpResponse {
        if self.ready() {
            web::text(StatusCode::OK, "ready")
        } else {
            web::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
