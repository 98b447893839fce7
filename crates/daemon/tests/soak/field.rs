//! A cell of real processes, with a relay on each of their ways.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use fake::Relay;
use fake::RelayPlan;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use site::Caller;
use site::FakeAdvice;
use site::FakeStore;
use site::LimitedLink;
use site::LoopbackHost;
use site::RestartId;
use site::RunLog;
use site::StoreFaults;
use site::WorkerContext;
use site::WorkerSupervisor;
use site::config;
use site::registration;
use site::serve;
use tempfile::TempDir;
use tokio::sync::watch;

use crate::plan::Event;
use crate::plan::HOSTS;
use crate::plan::WORKERS;
use crate::plan::lasting;
use crate::plan::thin;

/// The program under test.
const DAEMON: &str = env!("CARGO_BIN_EXE_clovermountd");

/// Time that a process has to end after it was asked to: its settings say 6 s.
const GRACE: Duration = Duration::from_secs(8);

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Rate of a thin link, in megabits a second: a dozen starts at once fill it for half a
/// second.
const THIN_MBPS: f64 = 0.15;

/// Part of a core that the first host has beside a thin link.
const SMALL_CORES: f64 = 0.1;

/// Settings of a host beside a thin link.
fn thin_settings(text: &str, at: usize) -> String {
    let mut settings: Value = serde_json::from_str(text).expect("settings are JSON");
    settings["link_mbps"] = json!(THIN_MBPS);
    if at == 0 {
        settings["cores"] = json!(SMALL_CORES);
    }
    settings.to_string()
}

struct Host {
    place: LoopbackHost,
    store_way: Relay,
    settings: PathBuf,
    child: Option<Child>,
    /// It was asked to stop.
    stopping: bool,
    /// Bytes in its log when it was started last.
    logged: usize,
}

impl Host {
    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().map(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            // It may have ended by itself; that is noticed elsewhere.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
        self.stopping = false;
    }

    /// Whether it runs and has written its first line, or does not run.
    fn begun(&mut self, log: &Path) -> bool {
        // Of this start alone: one that was killed 36 ms after its start had written
        // none, and counted over all starts the next one seemed to say nothing.
        let text = std::fs::read(log).unwrap_or_default();
        let since = text.get(self.logged..).unwrap_or_default();
        String::from_utf8_lossy(since).contains("\"code\":105") || self.ended()
    }

    fn ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().expect("wait").is_some())
    }
}

/// The cell and everything around it.
pub struct Field {
    pub log: RunLog,
    /// What processes did that they must not.
    pub faults: Vec<String>,
    /// How often a process was killed or stopped.
    pub ends: usize,
    store: Arc<FakeStore>,
    workers: Vec<Arc<WorkerSupervisor>>,
    worker_ways: Vec<Relay>,
    hosts: Vec<Host>,
    folder: TempDir,
    /// Ends the stand-ins when it is dropped.
    _serving: watch::Sender<bool>,
}

impl Field {
    /// Opens the stand-ins and starts the processes.
    pub async fn open(seed: u64) -> Field {
        let (serving, stop) = watch::channel(false);
        let log = RunLog::default();
        let store = FakeStore::new();
        let store_address = serve(store.clone(), &stop).await;
        let advice = FakeAdvice::new(Vec::new());
        let mut workers = Vec::new();
        let mut worker_ways = Vec::new();
        let comes_back = if lasting(seed) {
            RestartId::Alternating
        } else {
            RestartId::Changed
        };
        let link = thin(seed).then(|| LimitedLink::new(THIN_MBPS));
        for at in 0..WORKERS {
            let around = WorkerContext {
                store: store.clone(),
                advice: advice.clone(),
                log: log.clone(),
            };
            let worker = WorkerSupervisor::new(&format!("w{at}"), around, comes_back);
            let mut address = serve(worker.clone(), &stop).await;
            if let Some(link) = &link {
                address = link.listen(address, stop.clone()).await;
            }
            let way = Relay::open(address).await.expect("relay");
            let first = worker.current();
            let entry = registration(way.address(), first.incarnation);
            store.write("servers", &first.id, &entry);
            tokio::spawn(worker.clone().supervise(way.address(), stop.clone()));
            workers.push(worker);
            worker_ways.push(way);
        }
        let services = serve(advice, &stop).await;
        store.write("op", "config", &config(1));
        let folder = TempDir::new().expect("folder");
        let net = u8::try_from(seed % 100).expect("below 100") + 100;
        let mut hosts = Vec::new();
        for at in 0..HOSTS {
            let place = LoopbackHost::new(net, at);
            let store_way = Relay::open(store_address).await.expect("relay");
            let settings = folder.path().join(format!("entry-{at}.json"));
            let mut text = place.settings(store_way.address(), Some(services));
            if thin(seed) {
                text = thin_settings(&text, at);
            }
            std::fs::write(&settings, text).expect("settings");
            hosts.push(Host {
                place,
                store_way,
                settings,
                child: None,
                stopping: false,
                logged: 0,
            });
        }
        let mut field = Field {
            log,
            faults: Vec::new(),
            ends: 0,
            store,
            workers,
            worker_ways,
            hosts,
            folder,
            _serving: serving,
        };
        for at in 0..HOSTS {
            field.start(at).await;
        }
        field
    }

    /// Where callers reach the processes.
    pub fn servers(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.place.callers()).collect()
    }

    /// Waits until each process says that it is ready.
    pub async fn wait_serving(&self, most: Duration) {
        let caller = Caller::new();
        let ready = async {
            for host in &self.hosts {
                let server = host.place.ready();
                caller.wait_status(server, "/-/readyz", 200).await;
            }
        };
        let ready = tokio::time::timeout(most, ready).await;
        assert!(ready.is_ok(), "the cell does not get ready");
    }

    async fn start(&mut self, at: usize) {
        self.check_ended(at);
        if self.hosts[at].stopping {
            self.wait_stopped(at).await;
        }
        let host = &mut self.hosts[at];
        if host.child.is_some() {
            return;
        }
        let path = self.folder.path().join(format!("entry-{at}.log"));
        let log = File::options().create(true).append(true).open(path);
        let log = log.expect("log file");
        let logged = log.metadata().expect("log file").len();
        host.logged = usize::try_from(logged).expect("a short log");
        let child = Command::new(DAEMON)
            .arg("--cell")
            .env("CLOVERMOUNT_BOOT", &host.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log file"))
            .stdout(log)
            .spawn();
        host.child = Some(child.expect("the process starts"));
    }

    /// Waits until a process heeds signals, as its first line says: no program
    /// can before its handlers are installed.
    async fn wait_begun(&mut self, at: usize) {
        let path = self.folder.path().join(format!("entry-{at}.log"));
        let begun = async {
            while !self.hosts[at].begun(&path) {
                tokio::time::sleep(LOOK_EVERY).await;
            }
        };
        let begun = tokio::time::timeout(GRACE, begun).await;
        assert!(begun.is_ok(), "entry-{at} says nothing");
    }

    /// A process that was asked to stop must have ended within its grace.
    async fn wait_stopped(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.signal(Signal::SIGCONT);
        let ended = async {
            while !host.ended() {
                tokio::time::sleep(LOOK_EVERY).await;
            }
        };
        if tokio::time::timeout(GRACE, ended).await.is_err() {
            self.faults.push(format!("entry-{at} does not stop"));
        }
        self.hosts[at].kill();
    }

    /// A process must not end unless it was asked to.
    fn check_ended(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if host.child.is_some() && !host.stopping && host.ended() {
            self.faults.push(format!("entry-{at} ended by itself"));
            self.hosts[at].kill();
        }
    }

    /// Does one thing to the cell.
    pub async fn apply(&mut self, event: &Event) {
        self.ends += usize::from(matches!(event, Event::Kill(_) | Event::Stop(_)));
        match *event {
            Event::Kill(at) => {
                self.check_ended(at);
                self.hosts[at].kill();
            }
            Event::Stop(at) => {
                self.check_ended(at);
                self.hosts[at].signal(Signal::SIGTERM);
                self.hosts[at].stopping = self.hosts[at].child.is_some();
            }
            Event::Start(at) => self.start(at).await,
            Event::Pause(at) => self.hosts[at].signal(Signal::SIGSTOP),
            Event::Resume(at) => self.hosts[at].signal(Signal::SIGCONT),
            Event::Reload(at) => {
                self.wait_begun(at).await;
                self.hosts[at].signal(Signal::SIGHUP);
            }
            Event::StoreWay(at, plan) => self.hosts[at].store_way.set(plan),
            Event::WorkerWay(at, plan) => self.worker_ways[at].set(plan),
            Event::Store(faults) => self.store.set_faults(faults),
            Event::Forget => self.store.forget(),
            Event::LoseStarts(at, count) => self.workers[at].current().lose_start_replies(count),
            Event::Resize(at, cores) => self.resize(at, cores),
            Event::Restart(at, restart) => {
                let worker = self.workers[at].clone();
                tokio::spawn(async move { worker.restart(restart).await });
            }
            Event::Configure(version) => self.store.write("op", "config", &config(version)),
        }
    }

    fn resize(&self, at: usize, cores: usize) {
        let worker = self.workers[at].current();
        // One that is down has nothing to say; it comes back at its usual size.
        if worker.dead() {
            return;
        }
        worker.set_cores(cores);
        let mut resized = registration(self.worker_ways[at].address(), worker.incarnation);
        resized["capacity"]["cpu"] = json!(cores * 1000);
        self.store.write("servers", &worker.id, &resized);
    }

    /// Ends all faults.
    pub async fn heal(&mut self) {
        self.store.set_faults(StoreFaults::default());
        for way in &self.worker_ways {
            way.set(RelayPlan::default());
        }
        for at in 0..HOSTS {
            self.hosts[at].store_way.set(RelayPlan::default());
            self.hosts[at].signal(Signal::SIGCONT);
            self.start(at).await;
        }
    }

    /// Ends the processes and removes their logs.
    pub fn close(mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
    }

    /// Ends the processes and keeps their logs; gives the folder.
    pub fn keep(mut self) -> PathBuf {
        for host in &mut self.hosts {
            host.kill();
        }
        self.folder.keep()
    }
}
