//! A whole cell on loopback addresses: fakes of the platform's services, and several cell
//! processes, each on a tokio runtime of its own, so that a test can kill it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell::CellProcess;
use cell::CellSettings;
use job::Mechanism;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;
use web::Handler;
use web::Limits;

use crate::ATTEMPTS;
use crate::DRAIN_BOUND;
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

/// Timeout of the shutdown of a runtime.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two reads of the store.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of the next cell of this test program.
static NEXT_CELL: AtomicU8 = AtomicU8::new(1);

/// A running process of the cell.
struct Member {
    runtime: Runtime,
    /// Starts the planned stop of the process.
    stop: Option<oneshot::Sender<()>>,
    /// Receives a message when the process has stopped.
    stopped: Option<oneshot::Receiver<()>>,
}

/// A cell with fakes of the platform around it.
pub struct TestCell {
    /// Fake of the platform's store.
    pub store: Arc<FakeStore>,
    /// First incarnation of each worker.
    pub workers: Vec<Arc<FakeWorker>>,
    /// Supervisors of the workers, which give access to their current incarnations.
    pub supervisors: Vec<Arc<WorkerSupervisor>>,
    /// Fake of the advice and of the list of machines.
    pub advice: Arc<FakeAdvice>,
    /// Log of the runs on all workers.
    pub log: RunLog,
    /// Proxies between the processes and the store, one for each process.
    pub store_proxies: Vec<Arc<StoreProxy>>,
    /// Address at which the processes reach each worker.
    addresses: Vec<SocketAddr>,
    worker_proxies: Vec<Arc<WorkerProxy>>,
    /// Address of the fake of the advice and of the list of machines.
    services: SocketAddr,
    /// Addresses of the store proxies.
    stores: Vec<SocketAddr>,
    /// Number of the cell in this test program, which is part of its loopback addresses.
    number: u8,
    /// Setting `keep_s`: time for which ended jobs are retained, in seconds.
    keep_s: f64,
    /// Id under which a worker restarts after a crash.
    restart_id: RestartId,
    /// Link to the workers and its rate in megabits per second; none if it is unlimited.
    link: Option<(Arc<LimitedLink>, f64)>,
    /// Number of cores of hosts that differ from the default.
    cores: HashMap<usize, f64>,
    /// Time after which a draining worker may get no more tasks.
    drain_bound: Duration,
    /// Optional mechanisms that are enabled.
    on: Vec<Mechanism>,
    /// Processes of the cell; none for a process that is not running.
    members: Vec<Option<Member>>,
    /// Stops the fakes when it is dropped.
    serving: watch::Sender<bool>,
}

impl TestCell {
    /// Opens a cell of `processes` processes and `workers` workers with four cores each.
    ///
    /// # Panics
    /// Panics if an address cannot be bound.
    pub async fn open(processes: usize, workers: usize) -> TestCell {
        TestCell::open_retaining(processes, workers, 120.0).await
    }

    /// The same as [`TestCell::open`], with ended jobs retained for `keep_s` seconds.
    ///
    /// # Panics
    /// Panics if an address cannot be bound.
    pub async fn open_retaining(processes: usize, workers: usize, keep_s: f64) -> TestCell {
        TestCell::open_with(processes, workers, keep_s, None, RestartId::Changed).await
    }

    /// The same as [`TestCell::open`], with workers that restart under the same id after a
    /// crash.
    ///
    /// # Panics
    /// Panics if an address cannot be bound.
    pub async fn open_stable_ids(processes: usize, workers: usize) -> TestCell {
        TestCell::open_with(processes, workers, 120.0, None, RestartId::Same).await
    }

    /// The same as [`TestCell::open`], with workers that do not report their incarnation.
    ///
    /// # Panics
    /// Panics if an address cannot be bound.
    pub async fn open_without_incarnations(processes: usize, workers: usize) -> TestCell {
        TestCell::open_with(processes, workers, 120.0, None, RestartId::Unreported).await
    }

    /// The same as [`TestCell::open`], with a link of `mbps` megabits per second between all
    /// processes and all workers.
    ///
    /// # Panics
    /// Panics if an address cannot be bound.
    pub async fn open_limited(mbps: f64, processes: usize, workers: usize) -> TestCell {
        let link = (LimitedLink::new(mbps), mbps);
        let restart_id = RestartId::Changed;
        TestCell::open_with(processes, workers, 120.0, Some(link), restart_id).await
    }

    /// The same as [`TestCell::open`], with these optional mechanisms enabled.
    ///
    /// # Panics
    /// Panics if an address cannot be bound.
    pub async fn open_enabling(on: &[Mechanism], processes: usize, workers: usize) -> TestCell {
        let mut cell = TestCell::open(0, workers).await;
        cell.on = on.to_vec();
        for _ in 0..processes {
            cell.add_process().await;
        }
        cell
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
            store_proxies: Vec::new(),
            addresses: Vec::new(),
            worker_proxies: Vec::new(),
            services,
            stores: Vec::new(),
            number: NEXT_CELL.fetch_add(1, Ordering::Relaxed),
            keep_s,
            link,
            cores: HashMap::new(),
            drain_bound: DRAIN_BOUND,
            on: Vec::new(),
            members: Vec::new(),
            serving,
        };
        for _ in 0..workers {
            cell.add_worker().await;
        }
        for _ in 0..processes {
            cell.add_process().await;
        }
        cell
    }

    /// Adds a process and its proxy to the store, and starts the process.
    ///
    /// # Panics
    /// Panics if an address cannot be bound.
    pub async fn add_process(&mut self) {
        let proxy = StoreProxy::new(self.store.clone());
        let stop = self.serving.subscribe();
        self.stores.push(serve(proxy.clone(), &stop).await);
        self.store_proxies.push(proxy);
        self.members.push(None);
        self.start(self.members.len() - 1).await;
    }

    /// Adds a worker with four cores, which registers, and restarts if a task crashes it.
    ///
    /// # Panics
    /// Panics if no address can be bound.
    pub async fn add_worker(&mut self) {
        let index = self.workers.len();
        let context = WorkerContext {
            store: self.store.clone(),
            advice: self.advice.clone(),
            log: self.log.clone(),
        };
        let supervisor = WorkerSupervisor::new(&format!("w{index}"), context, self.restart_id);
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
        self.register(index);
    }

    /// Delays start commands to a worker. A delayed command reaches the incarnation that is
    /// current after the delay.
    pub fn delay_starts(&self, index: usize, delay: Duration) {
        self.worker_proxies[index].set_start_delay(delay);
    }

    /// Returns the number of acknowledgements of ended runs that reached a worker while a start
    /// command to it was delayed.
    #[must_use]
    pub fn overlapping_acks(&self, index: usize) -> usize {
        self.worker_proxies[index].overlapping_acks()
    }

    /// Restarts a worker while the next acknowledgement of its ended runs is in transit. The
    /// acknowledgement reaches the new incarnation after a run of this incarnation has ended.
    /// Returns when the new incarnation has started.
    ///
    /// # Panics
    /// Panics if no ended run is acknowledged within a minute.
    pub async fn restart_before_ack(&self, index: usize) {
        let mut started = self.worker_proxies[index].arm_restart();
        started.mark_unchanged();
        let started = tokio::time::timeout(WAIT_LIMIT, started.changed()).await;
        assert!(
            started.is_ok(),
            "no ended run was acknowledged within a minute"
        );
    }

    /// Returns the epoch in the pool's ownership row in the store; none if there is no such row or
    /// it cannot be decoded.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        let row = self
            .store
            .raw(cell::OWNERSHIP_TABLE, cell::OWNER_PART, "owner")?;
        cell::decode_ownership(&row)
            .ok()
            .map(|ownership| ownership.epoch)
    }

    /// Restarts a worker under the same id at another address.
    ///
    /// # Panics
    /// Panics if no address can be bound.
    pub async fn move_worker(&mut self, index: usize, restart: Restart) {
        let supervisor = self.supervisors[index].clone();
        self.worker_proxies[index].close();
        let proxy = WorkerProxy::new(supervisor.clone());
        self.addresses[index] = serve(proxy.clone(), &self.serving.subscribe()).await;
        self.worker_proxies[index] = proxy;
        supervisor.set_address(self.addresses[index]);
        supervisor.restart(restart).await;
    }

    /// Writes the registration of the first incarnation of a worker.
    pub fn register(&self, index: usize) {
        let worker = &self.workers[index];
        let registration_row = worker.registration_row(self.addresses[index]);
        self.store.write("servers", &worker.id, &registration_row);
    }

    /// Changes the number of cores of a worker and rewrites its registration accordingly.
    pub fn resize(&self, index: usize, cores: usize) {
        self.workers[index].set_cores(cores);
        let mut resized = self.workers[index].registration_row(self.addresses[index]);
        resized["capacity"]["cpu"] = json!(cores * 1000);
        self.store
            .write("servers", &self.workers[index].id, &resized);
    }

    /// Registers a worker as draining.
    pub fn drain(&self, index: usize) {
        let worker = self.supervisors[index].current();
        worker.drain();
        let draining = worker.registration_row(self.addresses[index]);
        self.store.write("servers", &worker.id, &draining);
    }

    /// Removes a worker's registration.
    pub fn unregister(&self, index: usize) {
        self.store.remove("servers", &self.workers[index].id);
    }

    fn host(&self, index: usize) -> LoopbackHost {
        LoopbackHost::new(self.number, index)
    }

    /// Returns the address at which a process serves callers.
    #[must_use]
    pub fn server(&self, index: usize) -> SocketAddr {
        self.host(index).callers()
    }

    /// Returns the address at which a process serves its readiness.
    #[must_use]
    pub fn ready(&self, index: usize) -> SocketAddr {
        self.host(index).ready()
    }

    /// Returns the address at which a process serves its metrics.
    #[must_use]
    pub fn metrics(&self, index: usize) -> SocketAddr {
        self.host(index).metrics()
    }

    /// Returns the addresses at which the processes serve callers.
    #[must_use]
    pub fn servers(&self) -> Vec<SocketAddr> {
        (0..self.members.len())
            .map(|index| self.server(index))
            .collect()
    }

    /// Starts a process that is not running.
    ///
    /// # Panics
    /// Panics if the process cannot start.
    pub async fn start(&mut self, index: usize) {
        let settings = self.settings(index);
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
            // An error means that the process is killed, which drops the sender.
            if stop_rx.await.is_ok() {
                process.close().await;
                let _ = stopped_tx.send(());
            }
        });
        opened.await.expect("process starts");
        self.members[index] = Some(Member {
            runtime,
            stop: Some(stop),
            stopped: Some(stopped),
        });
    }

    /// Kills a process without a planned stop: all its async tasks end and its connections close.
    pub async fn kill(&mut self, index: usize) {
        if let Some(member) = self.members[index].take() {
            shut_down(member.runtime).await;
        }
    }

    /// Freezes a process: none of its async tasks runs for `time`, while its connections stay open.
    pub fn freeze(&self, index: usize, time: Duration) {
        if let Some(member) = &self.members[index] {
            // Blocks the only thread of the runtime.
            member
                .runtime
                .spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Stops a process as planned and waits until it has ended.
    pub async fn stop(&mut self, index: usize) {
        self.stop_within(index, WAIT_LIMIT).await;
    }

    /// Stops a process, and kills it if that takes longer than `grace`; returns whether it
    /// stopped in time.
    pub async fn stop_within(&mut self, index: usize, grace: Duration) -> bool {
        let Some(mut member) = self.members[index].take() else {
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

    /// Returns the index of the process that owns the pool according to the ownership row in the
    /// store; none if no process of the cell does, or if the owner has released the pool.
    #[must_use]
    pub fn owner(&self) -> Option<usize> {
        let row = self
            .store
            .raw(cell::OWNERSHIP_TABLE, cell::OWNER_PART, "owner")?;
        let ownership = cell::decode_ownership(&row).ok()?;
        let index =
            (0..self.members.len()).find(|&index| self.host(index).ip() == ownership.address.ip());
        index.filter(|_| !ownership.released)
    }

    /// Sets the number of cores of a host, from the next start of its process.
    pub fn set_cores(&mut self, index: usize, cores: f64) {
        self.cores.insert(index, cores);
    }

    /// Enables optional mechanisms, from the next start of each process.
    pub fn enable(&mut self, on: &[Mechanism]) {
        self.on = on.to_vec();
    }

    /// Sets the time after which a draining worker may get no more tasks, from the next start of each
    /// process.
    pub fn set_drain_bound(&mut self, bound: Duration) {
        self.drain_bound = bound;
    }

    fn settings(&self, index: usize) -> CellSettings {
        let text = self
            .host(index)
            .settings(self.stores[index], Some(self.services));
        let mut settings = CellSettings::parse(&text).expect("settings");
        settings.bounds.keep_s = self.keep_s;
        settings.on.clone_from(&self.on);
        settings.bounds.drain_ms = u64::try_from(self.drain_bound.as_millis()).ok();
        settings.cores = self.cores.get(&index).copied().unwrap_or(settings.cores);
        if let Some((_, mbps)) = self.link {
            settings.link_mbps = mbps;
        }
        settings
    }

    /// Waits until `accepts` returns true for the index of the stored owner; returns the index.
    ///
    /// # Panics
    /// Panics if it does not within a minute.
    pub async fn wait_owner(&self, accepts: impl Fn(usize) -> bool) -> usize {
        let polling = async {
            loop {
                if let Some(owner) = self.owner().filter(|&owner| accepts(owner)) {
                    return owner;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let found = tokio::time::timeout(WAIT_LIMIT, polling).await;
        found.expect("an accepted owner within a minute")
    }

    /// Kills all processes.
    pub async fn close(mut self) {
        for index in 0..self.members.len() {
            self.kill(index).await;
        }
    }
}

/// Shuts down a runtime with all its tasks, and waits until its sockets are closed.
async fn shut_down(runtime: Runtime) {
    let ended = tokio::task::spawn_blocking(move || runtime.shutdown_timeout(SHUTDOWN_TIMEOUT));
    // The only possible error is a panic during the shutdown, which is ignored.
    let _ = ended.await;
}

/// Serves a fake on a free loopback port; returns the address.
///
/// # Panics
/// Panics if no port can be bound.
pub async fn serve<H: Handler>(handler: Arc<H>, stop: &watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let serving = web::serve(listener, handler, Limits::default(), stop.clone());
    tokio::spawn(serving);
    address
}

/// Returns a configuration with the queue `plain`, whose steps need no advice, and the queue
/// `advised`, whose steps do. A version above 1 also has the queue `added`.
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

/// Returns the same configuration with organisations. Each has a name, keys, and a number of cores
/// that it may have running, 0 for no limit. The queue `plain` and all others need a key, but
/// `advised` is public.
#[must_use]
pub fn organisations_config(version: u64, organisations: &[(&str, &[&str], u64)]) -> Value {
    let mut config = config(version);
    config["routes"][1]["public"] = true.into();
    let organisations = organisations.iter().map(|(name, keys, cores)| {
        json!({
            "name": name, "api_keys": keys, "weight": 1.0,
            "max_count": {"cpu": cores * 1000, "mem_mb": 0, "gpu": 0},
        })
    });
    config["tenants"] = organisations.collect();
    config
}

/// Returns a job of one step with `count` tasks. `payload` determines how they end: it is
/// `fail`, a run time in milliseconds, or `crash INDEX RUN_TIME CRASH_TIME`, with which the task
/// with this index crashes its worker after the crash time and the others succeed after the run
/// time, both in milliseconds.
#[must_use]
pub fn job(count: u32, payload: &str) -> Value {
    json!({
        "spec": payload,
        "steps": [{"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": 100}],
    })
}
