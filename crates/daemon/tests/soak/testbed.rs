//! A cell of real processes on top of a fake store and fake workers, with a relay that injects
//! faults between each process and the store, and between the processes and each worker.

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

use crate::contact::Contact;
use crate::host::DESCRIPTORS;
use crate::host::MEMORY_MB;
use crate::plan::Event;
use crate::plan::HOSTS;
use crate::plan::WORKERS;
use crate::plan::has_crowds;
use crate::plan::has_restarts;
use crate::plan::has_thin_link;

/// Path of the daemon under test.
const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_clovermountd");

/// Timeout for a process to end after SIGTERM, and to write its first log line. The settings of
/// the processes (`grace_s`) allow 6 s for a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the state of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bandwidth of a thin link, in megabits per second: the messages of a dozen simultaneous starts
/// occupy it for half a second.
const THIN_LINK_MBPS: f64 = 0.15;

/// Number of cores in the settings of host 0 in a seed with a thin link. A process derives from its
/// cores and its bandwidth how many calls per second it can make as the owner.
const SMALL_HOST_CORES: f64 = 0.1;

/// Adapts the settings (JSON) of the process on host `index` to a seed with a thin link.
fn thin_link_settings(text: &str, index: usize) -> String {
    let mut settings: Value = serde_json::from_str(text).expect("settings are JSON");
    settings["link_mbps"] = json!(THIN_LINK_MBPS);
    if index == 0 {
        settings["cores"] = json!(SMALL_HOST_CORES);
    }
    settings.to_string()
}

/// Adapts the settings (JSON) of a process to a seed with crowds.
fn small_host_settings(text: &str) -> String {
    let mut settings: Value = serde_json::from_str(text).expect("settings are JSON");
    settings["memory_mb"] = json!(MEMORY_MB);
    settings["descriptors"] = json!(DESCRIPTORS);
    settings.to_string()
}

/// A host with one process of the cell, which may be killed and started again.
struct Host {
    addresses: LoopbackHost,
    store_relay: Relay,
    settings: PathBuf,
    child: Option<Child>,
    /// Whether SIGTERM was sent to the running process.
    stopping: bool,
    /// Size of the log file in bytes at the last start of the process.
    log_offset: usize,
}

impl Host {
    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().map(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            // Fails if the process has ended unexpectedly, which `check_unexpected_end` reports.
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

    /// Whether the process has written its first log line (code 105) since its last start, or has
    /// ended.
    fn started(&mut self, log: &Path) -> bool {
        // Only lines since the last start count. A process that is killed soon after its start,
        // for example after 36 ms, has written none, so the number of first lines in the log is
        // not the number of starts.
        let text = std::fs::read(log).unwrap_or_default();
        let new_text = text.get(self.log_offset..).unwrap_or_default();
        String::from_utf8_lossy(new_text).contains("\"code\":105") || self.ended()
    }

    fn ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().expect("wait").is_some())
    }
}

/// A cell with the stubs of its platform.
pub struct Testbed {
    /// Log of the runs on all workers.
    pub log: RunLog,
    /// Descriptions of processes that ended unexpectedly or did not end after SIGTERM.
    pub faults: Vec<String>,
    /// Number of times that a process was killed or stopped.
    pub process_ends: usize,
    /// Times at which faults kept processes from being in touch with the platform.
    pub contact: Contact,
    store: Arc<FakeStore>,
    workers: Vec<Arc<WorkerSupervisor>>,
    worker_relays: Vec<Relay>,
    hosts: Vec<Host>,
    folder: TempDir,
    /// Stops the stubs when it is dropped.
    _serving: watch::Sender<bool>,
}

impl Testbed {
    /// Starts the stubs of the platform, then the processes.
    pub async fn open(seed: u64) -> Testbed {
        let (serving, stop) = watch::channel(false);
        let log = RunLog::default();
        let store = FakeStore::new();
        let store_address = serve(store.clone(), &stop).await;
        let advice = FakeAdvice::new(Vec::new());
        let mut workers = Vec::new();
        let mut worker_relays = Vec::new();
        let restart_id = if has_restarts(seed) {
            RestartId::Alternating
        } else {
            RestartId::Changed
        };
        let link = has_thin_link(seed).then(|| LimitedLink::new(THIN_LINK_MBPS));
        for index in 0..WORKERS {
            let context = WorkerContext {
                store: store.clone(),
                advice: advice.clone(),
                log: log.clone(),
            };
            let worker = WorkerSupervisor::new(&format!("w{index}"), context, restart_id);
            let mut address = serve(worker.clone(), &stop).await;
            if let Some(link) = &link {
                address = link.listen(address, stop.clone()).await;
            }
            let relay = Relay::open(address).await.expect("relay");
            let incarnation = worker.current();
            let entry = registration(relay.address(), incarnation.incarnation);
            store.write("servers", &incarnation.id, &entry);
            tokio::spawn(worker.clone().supervise(relay.address(), stop.clone()));
            workers.push(worker);
            worker_relays.push(relay);
        }
        let services_address = serve(advice, &stop).await;
        store.write("op", "config", &config(1));
        let folder = TempDir::new().expect("folder");
        // Part of the loopback addresses: must differ between seeds that run in parallel.
        let cell_number = u8::try_from(seed % 100).expect("below 100") + 100;
        let mut hosts = Vec::new();
        for index in 0..HOSTS {
            let addresses = LoopbackHost::new(cell_number, index);
            let store_relay = Relay::open(store_address).await.expect("relay");
            let settings = folder.path().join(format!("entry-{index}.json"));
            let mut text = addresses.settings(store_relay.address(), Some(services_address));
            if has_thin_link(seed) {
                text = thin_link_settings(&text, index);
            }
            if has_crowds(seed) {
                text = small_host_settings(&text);
            }
            std::fs::write(&settings, text).expect("settings");
            hosts.push(Host {
                addresses,
                store_relay,
                settings,
                child: None,
                stopping: false,
                log_offset: 0,
            });
        }
        let mut testbed = Testbed {
            log,
            faults: Vec::new(),
            process_ends: 0,
            contact: Contact::default(),
            store,
            workers,
            worker_relays,
            hosts,
            folder,
            _serving: serving,
        };
        for index in 0..HOSTS {
            testbed.start(index).await;
        }
        testbed
    }

    /// Addresses on which the processes serve callers.
    pub fn servers(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.addresses.callers()).collect()
    }

    /// Waits until each process reports that it is ready.
    pub async fn wait_ready(&self, limit: Duration) {
        let caller = Caller::new();
        let ready = async {
            for host in &self.hosts {
                let server = host.addresses.ready();
                caller.wait_status(server, "/-/readyz", 200).await;
            }
        };
        let ready = tokio::time::timeout(limit, ready).await;
        assert!(ready.is_ok(), "the cell did not become ready");
    }

    /// Starts a process unless it runs. One that got SIGTERM is awaited first.
    async fn start(&mut self, index: usize) {
        self.check_unexpected_end(index);
        if self.hosts[index].stopping {
            self.wait_stopped(index).await;
        }
        let host = &mut self.hosts[index];
        if host.child.is_some() {
            return;
        }
        let path = self.folder.path().join(format!("entry-{index}.log"));
        let log = File::options().create(true).append(true).open(path);
        let log = log.expect("log file");
        let log_offset = log.metadata().expect("log file").len();
        host.log_offset = usize::try_from(log_offset).expect("a short log");
        let child = Command::new(DAEMON_PATH)
            .arg("--cell")
            .env("CLOVERMOUNT_BOOT", &host.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log file"))
            .stdout(log)
            .spawn();
        host.child = Some(child.expect("the process starts"));
    }

    /// Waits until a process handles signals: until its handlers are installed, a signal ends it.
    /// The process writes its first log line after that.
    async fn wait_started(&mut self, index: usize) {
        let path = self.folder.path().join(format!("entry-{index}.log"));
        let started = async {
            while !self.hosts[index].started(&path) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let started = tokio::time::timeout(STOP_TIMEOUT, started).await;
        assert!(started.is_ok(), "entry-{index} wrote no first log line");
    }

    /// Waits until a process that got SIGTERM has ended; resumes it first, as it may be paused.
    /// If it does not end within [`STOP_TIMEOUT`], records a fault and kills it.
    async fn wait_stopped(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.signal(Signal::SIGCONT);
        let ended = async {
            while !host.ended() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(STOP_TIMEOUT, ended).await.is_err() {
            self.faults.push(format!(
                "entry-{index} did not end within {STOP_TIMEOUT:?} after SIGTERM"
            ));
        }
        self.hosts[index].kill();
    }

    /// Records a fault if a process has ended without being killed or stopped.
    fn check_unexpected_end(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.child.is_some() && !host.stopping && host.ended() {
            self.faults.push(format!(
                "entry-{index} ended, but was neither killed nor stopped"
            ));
            self.hosts[index].kill();
        }
    }

    /// Applies one event of the plan to the cell.
    pub async fn apply(&mut self, event: &Event) {
        self.process_ends += usize::from(matches!(event, Event::Kill(_) | Event::Stop(_)));
        self.contact.record(event);
        match *event {
            Event::Kill(index) => {
                self.check_unexpected_end(index);
                self.hosts[index].kill();
            }
            Event::Stop(index) => {
                self.check_unexpected_end(index);
                self.hosts[index].signal(Signal::SIGTERM);
                self.hosts[index].stopping = self.hosts[index].child.is_some();
            }
            Event::Start(index) => self.start(index).await,
            Event::Pause(index) => self.hosts[index].signal(Signal::SIGSTOP),
            Event::Resume(index) => self.hosts[index].signal(Signal::SIGCONT),
            Event::Reload(index) => {
                self.wait_started(index).await;
                self.hosts[index].signal(Signal::SIGHUP);
            }
            Event::StoreRelay(index, plan) => self.hosts[index].store_relay.set_plan(plan),
            Event::WorkerRelay(index, plan) => self.worker_relays[index].set_plan(plan),
            Event::Store(faults) => self.store.set_faults(faults),
            Event::DropHistory => self.store.drop_history(),
            Event::LoseStarts(index, count) => {
                self.workers[index].current().lose_start_replies(count);
            }
            Event::Resize(index, cores) => self.resize(index, cores),
            Event::Drain(index) => self.drain(index),
            Event::Restart(index, restart) => {
                let worker = self.workers[index].clone();
                tokio::spawn(async move { worker.restart(restart).await });
            }
            Event::Configure(version) => self.store.write("op", "config", &config(version)),
        }
    }

    /// Registers a worker as draining. One that is down cannot register.
    fn drain(&self, index: usize) {
        let worker = self.workers[index].current();
        if worker.dead() {
            return;
        }
        worker.drain();
        let draining = worker.registration_row(self.worker_relays[index].address());
        self.store.write("servers", &worker.id, &draining);
    }

    /// Changes the capacity of a worker, and registers it in the store.
    fn resize(&self, index: usize, cores: usize) {
        let worker = self.workers[index].current();
        // A worker that is down cannot register its capacity; it restarts with the full one.
        if worker.dead() {
            return;
        }
        worker.set_cores(cores);
        let mut resized = worker.registration_row(self.worker_relays[index].address());
        resized["capacity"]["cpu"] = json!(cores * 1000);
        self.store.write("servers", &worker.id, &resized);
    }

    /// Ends all faults and starts the processes that do not run.
    pub async fn end_faults(&mut self) {
        self.store.set_faults(StoreFaults::default());
        for relay in &self.worker_relays {
            relay.set_plan(RelayPlan::default());
        }
        for index in 0..HOSTS {
            self.hosts[index].store_relay.set_plan(RelayPlan::default());
            self.hosts[index].signal(Signal::SIGCONT);
            self.start(index).await;
        }
    }

    /// Kills the processes and deletes their logs.
    pub fn close(mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
    }

    /// Kills the processes, keeps their logs and returns the folder.
    pub fn close_keeping_logs(mut self) -> PathBuf {
        for host in &mut self.hosts {
            host.kill();
        }
        self.folder.keep()
    }
}
