//! A whole cell on loopback: stand-ins of the platform and several processes,
//! each on a runtime of its own that can be killed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell::CellProcess;
use cell::CellSettings;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;
use web::Handler;
use web::Limits;

use crate::ATTEMPTS;
use crate::FakeAdvice;
use crate::FakeStore;
use crate::FakeWorker;
use crate::LimitedLink;
use crate::LoopbackHost;
use crate::Restart;
use crate::RestartId;
use crate::RunLog;
use crate::StoreProxy;
use crate::WAIT_LIMIT;
use crate::WorkerContext;
use crate::WorkerSupervisor;
use crate::worker_proxy::WorkerProxy;

/// Time for a runtime to end its tasks.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two looks at the store.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Tells apart the cells of one test program.
static CELLS: AtomicU8 = AtomicU8::new(1);

/// A process of the cell.
struct Member {
    runtime: Runtime,
    stop: Option<oneshot::Sender<()>>,
    stopped: Option<oneshot::Receiver<()>>,
}

/// A whole cell.
pub struct TestCell {
    /// The platform's store.
    pub store: Arc<FakeStore>,
    /// The first life of each worker.
    pub workers: Vec<Arc<FakeWorker>>,
    /// Where the workers live.
    pub supervisors: Vec<Arc<WorkerSupervisor>>,
    /// Advice and machines.
    pub advice: Arc<FakeAdvice>,
    /// What the workers have done.
    pub log: RunLog,
    /// Each process's way to the store.
    pub store_proxies: Vec<Arc<StoreProxy>>,
    addresses: Vec<SocketAddr>,
    worker_proxies: Vec<Arc<WorkerProxy>>,
    services: SocketAddr,
    stores: Vec<SocketAddr>,
    /// Tells its addresses apart from those of other cells.
    net: u8,
    keep_s: f64,
    restart_id: RestartId,
    /// Link to the workers, and its megabits a second; none if it has no bound.
    link: Option<(Arc<LimitedLink>, f64)>,
    /// Cores of hosts that are not of the usual size.
    cores: HashMap<usize, f64>,
    members: Vec<Option<Member>>,
    serving: watch::Sender<bool>,
}

impl TestCell {
    /// Opens a cell of `processes` processes and `workers` workers of four
    /// cores each.
    ///
    /// # Panics
    /// An address cannot be bound.
    pub async fn open(processes: usize, workers: usize) -> TestCell {
        TestCell::open_retaining(processes, workers, 120.0).await
    }

    /// The same, with jobs that are known for `keep_s` after their end.
    ///
    /// # Panics
    /// An address cannot be bound.
    pub async fn open_retaining(processes: usize, workers: usize, keep_s: f64) -> TestCell {
        TestCell::open_with(processes, workers, keep_s, None, RestartId::Changed).await
    }

    /// The same as [`TestCell::open`], with workers that come back under the id that they
    /// had.
    ///
    /// # Panics
    /// An address cannot be bound.
    pub async fn open_stable_ids(processes: usize, workers: usize) -> TestCell {
        TestCell::open_with(processes, workers, 120.0, None, RestartId::Same).await
    }

    /// The same as [`TestCell::open`], with workers that name no life.
    ///
    /// # Panics
    /// An address cannot be bound.
    pub async fn open_without_incarnations(processes: usize, workers: usize) -> TestCell {
        TestCell::open_with(processes, workers, 120.0, None, RestartId::Unreported).await
    }

    /// The same as [`TestCell::open`], with a link of `mbps` megabits a second between
    /// all processes and all workers.
    ///
    /// # Panics
    /// An address cannot be bound.
    pub async fn open_limited(mbps: f64, processes: usize, workers: usize) -> TestCell {
        let link = (LimitedLink::new(mbps), mbps);
        let restart_id = RestartId::Changed;
        TestCell::open_with(processes, workers, 120.0, Some(link), restart_id).await
    }

    async fn open_with(
        processes: usize,
        workers: usize,
        keep_s: f64,
        link: Option<(Arc<LimitedLink>, f64)>,
        restart_id: RestartId,
    ) -> TestCell {
        let (serving, stop) = watch::channel(false);
        let store = FakeStore::new();
        let mut store_proxies = Vec::new();
        let mut stores = Vec::new();
        for _ in 0..processes {
            let proxy = StoreProxy::new(store.clone());
            stores.push(serve(proxy.clone(), &stop).await);
            store_proxies.push(proxy);
        }
        let log = RunLog::default();
        let advice = FakeAdvice::new(Vec::new());
        let services = serve(advice.clone(), &stop).await;
        store.write("op", "config", &config(1));
        let mut cell = TestCell {
            store,
            workers: Vec::new(),
            supervisors: Vec::new(),
            restart_id,
            advice,
            log,
            store_proxies,
            addresses: Vec::new(),
            worker_proxies: Vec::new(),
            services,
            stores,
            net: CELLS.fetch_add(1, Ordering::Relaxed),
            keep_s,
            link,
            cores: HashMap::new(),
            members: Vec::new(),
            serving,
        };
        for _ in 0..workers {
            cell.add_worker().await;
        }
        for at in 0..processes {
            cell.members.push(None);
            cell.start(at).await;
        }
        cell
    }

    /// Adds a worker of four cores, which registers, and comes back if a task takes it
    /// down.
    ///
    /// # Panics
    /// No address can be bound.
    pub async fn add_worker(&mut self) {
        let at = self.workers.len();
        let context = WorkerContext {
            store: self.store.clone(),
            advice: self.advice.clone(),
            log: self.log.clone(),
        };
        let supervisor = WorkerSupervisor::new(&format!("w{at}"), context, self.restart_id);
        let stop = self.serving.subscribe();
        let proxy = WorkerProxy::new(supervisor.clone());
        let address = serve(proxy.clone(), &stop).await;
        self.worker_proxies.push(proxy);
        let exposed = match &self.link {
            Some((link, _)) => link.listen(address, stop.clone()).await,
            None => address,
        };
        self.addresses.push(exposed);
        self.workers.push(supervisor.current());
        self.supervisors.push(supervisor.clone());
        tokio::spawn(supervisor.supervise(address, stop));
        self.register(at);
    }

    /// Starts are on their way to a worker for so long from now on, and reach the life
    /// that is there then.
    pub fn delay_starts(&self, at: usize, delay: Duration) {
        self.worker_proxies[at].set_start_delay(delay);
    }

    /// Acknowledgements that came to a worker while a start was on its way.
    #[must_use]
    pub fn overlapping_acks(&self, at: usize) -> usize {
        self.worker_proxies[at].overlapping_acks()
    }

    /// A worker starts again while the next acknowledgement of its ends is on its way, which
    /// reaches the new life after that has ended a run; returns when the new life has begun.
    ///
    /// # Panics
    /// No end is acknowledged for a minute.
    pub async fn restart_before_ack(&self, at: usize) {
        let mut begun = self.worker_proxies[at].arm_restart();
        begun.mark_unchanged();
        let begun = tokio::time::timeout(WAIT_LIMIT, begun.changed()).await;
        assert!(begun.is_ok(), "no end is acknowledged");
    }

    /// Number of the newest ownership of the pool, by the store.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        let row = self
            .store
            .raw(cell::OWNERSHIP_TABLE, cell::OWNER_PART, "owner")?;
        cell::decode_ownership(&row)
            .ok()
            .map(|ownership| ownership.epoch)
    }

    /// A worker goes down and starts again under its id, at another address.
    ///
    /// # Panics
    /// No address can be bound.
    pub async fn move_worker(&mut self, at: usize, restart: Restart) {
        let supervisor = self.supervisors[at].clone();
        self.worker_proxies[at].close();
        let proxy = WorkerProxy::new(supervisor.clone());
        self.addresses[at] = serve(proxy.clone(), &self.serving.subscribe()).await;
        self.worker_proxies[at] = proxy;
        supervisor.set_address(self.addresses[at]);
        supervisor.restart(restart).await;
    }

    /// A worker registers, or registers again.
    pub fn register(&self, at: usize) {
        let worker = &self.workers[at];
        let registration_row = worker.registration_row(self.addresses[at]);
        self.store.write("servers", &worker.id, &registration_row);
    }

    /// A worker has so many cores from now on, and says so.
    pub fn resize(&self, at: usize, cores: usize) {
        self.workers[at].set_cores(cores);
        let mut resized = self.workers[at].registration_row(self.addresses[at]);
        resized["capacity"]["cpu"] = json!(cores * 1000);
        self.store.write("servers", &self.workers[at].id, &resized);
    }

    /// A worker's registration vanishes.
    pub fn unregister(&self, at: usize) {
        self.store.remove("servers", &self.workers[at].id);
    }

    fn host(&self, at: usize) -> LoopbackHost {
        LoopbackHost::new(self.net, at)
    }

    /// Where callers reach a process.
    #[must_use]
    pub fn server(&self, at: usize) -> SocketAddr {
        self.host(at).callers()
    }

    /// Where a process tells whether it is ready.
    #[must_use]
    pub fn ready(&self, at: usize) -> SocketAddr {
        self.host(at).ready()
    }

    /// Where a process serves its metrics.
    #[must_use]
    pub fn metrics(&self, at: usize) -> SocketAddr {
        self.host(at).metrics()
    }

    /// Where callers reach the processes.
    #[must_use]
    pub fn servers(&self) -> Vec<SocketAddr> {
        (0..self.members.len()).map(|at| self.server(at)).collect()
    }

    /// Starts a process that is not running.
    ///
    /// # Panics
    /// It cannot start.
    pub async fn start(&mut self, at: usize) {
        let settings = self.settings(at);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let (stop, stop_rx) = oneshot::channel();
        let (stopped_tx, stopped) = oneshot::channel();
        let (opened_tx, opened) = oneshot::channel();
        runtime.spawn(async move {
            let process = CellProcess::open(settings).await.expect("process starts");
            let _ = opened_tx.send(());
            // A dropped sender means that the process is killed.
            if stop_rx.await.is_ok() {
                process.close().await;
                let _ = stopped_tx.send(());
            }
        });
        opened.await.expect("process starts");
        self.members[at] = Some(Member {
            runtime,
            stop: Some(stop),
            stopped: Some(stopped),
        });
    }

    /// Kills a process: nothing of it goes on, its connections are reset.
    pub async fn kill(&mut self, at: usize) {
        if let Some(member) = self.members[at].take() {
            shut_down(member.runtime).await;
        }
    }

    /// Freezes a process: nothing of it goes on for a while, its connections
    /// stay open.
    pub fn freeze(&self, at: usize, time: Duration) {
        if let Some(member) = &self.members[at] {
            // The runtime has one thread.
            member
                .runtime
                .spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Asks a process to stop, and waits until it has.
    pub async fn stop(&mut self, at: usize) {
        self.stop_within(at, WAIT_LIMIT).await;
    }

    /// Asks a process to stop, and kills it if that takes longer than `grace`; gives
    /// whether it has stopped in time.
    pub async fn stop_within(&mut self, at: usize, grace: Duration) -> bool {
        let Some(mut member) = self.members[at].take() else {
            return true;
        };
        let mut in_time = false;
        if let (Some(stop), Some(stopped)) = (member.stop.take(), member.stopped.take()) {
            let _ = stop.send(());
            in_time = tokio::time::timeout(grace, stopped).await.is_ok();
        }
        shut_down(member.runtime).await;
        in_time
    }

    /// Index of the process that owns the pool, by the store.
    #[must_use]
    pub fn owner(&self) -> Option<usize> {
        let row = self
            .store
            .raw(cell::OWNERSHIP_TABLE, cell::OWNER_PART, "owner")?;
        let ownership = cell::decode_ownership(&row).ok()?;
        let at = (0..self.members.len()).find(|&at| self.host(at).ip() == ownership.address.ip());
        at.filter(|_| !ownership.released)
    }

    /// A host has so many cores, from the next start of its process on.
    pub fn set_cores(&mut self, at: usize, cores: f64) {
        self.cores.insert(at, cores);
    }

    fn settings(&self, at: usize) -> CellSettings {
        let text = self.host(at).settings(self.stores[at], Some(self.services));
        let mut settings = CellSettings::parse(&text).expect("settings");
        settings.bounds.keep_s = self.keep_s;
        settings.cores = self.cores.get(&at).copied().unwrap_or(settings.cores);
        if let Some((_, mbps)) = self.link {
            settings.link_mbps = mbps;
        }
        settings
    }

    /// Waits until the store names an owner such as `is` wants; gives it.
    ///
    /// # Panics
    /// It does not for a minute.
    pub async fn wait_owner(&self, accepts: impl Fn(usize) -> bool) -> usize {
        let poll = async {
            loop {
                if let Some(owner) = self.owner().filter(|&owner| accepts(owner)) {
                    return owner;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let found = tokio::time::timeout(WAIT_LIMIT, poll).await;
        found.expect("no such owner")
    }

    /// Ends all processes.
    pub async fn close(mut self) {
        for at in 0..self.members.len() {
            self.kill(at).await;
        }
    }
}

/// Ends a runtime with all its tasks, and waits until its sockets are closed.
async fn shut_down(runtime: Runtime) {
    let ended = tokio::task::spawn_blocking(move || runtime.shutdown_timeout(SHUTDOWN_TIMEOUT));
    // Only a panic within the shutdown is lost here; the test shows the rest.
    let _ = ended.await;
}

/// Serves a stand-in on a free loopback port.
///
/// # Panics
/// None can be bound.
pub async fn serve<H: Handler>(handler: Arc<H>, stop: &watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let serving = web::serve(listener, handler, Limits::default(), stop.clone());
    tokio::spawn(serving);
    address
}

/// A configuration: queue `plain` has no advice, `advised` has, and a version
/// above 1 brings `added`.
#[must_use]
pub fn config(version: u64) -> Value {
    let queue = |name: &str| {
        json!({
            "name": name, "host": "desk.example", "prefix": format!("/{name}/"),
            "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 500, "priority": 0,
            "service": "desk", "max_attempts": ATTEMPTS, "stretch": 2.0,
        })
    };
    let mut advised = queue("advised");
    advised["advice"] = json!({"decide_ms": 10.0, "each_ms": 0.5, "valid_ms": 1500});
    let mut routes = vec![queue("plain"), advised];
    if version > 1 {
        routes.push(queue("added"));
    }
    json!({
        "version": version, "routes": routes,
        "services": [{"name": "desk", "rejects_overload": false, "spare": false}],
        "limits": {"max_body_bytes": 4096},
    })
}

/// A job of one step; `text` says how its tasks end.
#[must_use]
pub fn job(count: u32, text: &str) -> Value {
    json!({
        "spec": text,
        "steps": [{"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": 100}],
    })
}
