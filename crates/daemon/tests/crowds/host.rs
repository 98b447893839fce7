//! Real processes of a cell on hosts with little memory and few descriptors, and what they occupy.

use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use site::Caller;
use site::FakeAdvice;
use site::FakeStore;
use site::Fleet;
use site::LoopbackHost;
use site::RunLog;
use site::WAIT_LIMIT;
use site::config;
use site::serve;
use tempfile::TempDir;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::crowd::LARGEST_BODY;

/// Memory of each host, in megabytes.
pub const MEMORY_MB: usize = 64;

/// Descriptors that the process of each host may have open.
pub const DESCRIPTORS: usize = 400;

/// Number of the next cell, which is part of its loopback addresses.
static NEXT_CELL: AtomicU8 = AtomicU8::new(1);

/// Port on which the processes listen for each other.
const PEER_PORT: u16 = 7003;

/// Time between two readings of what a process occupies.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Number of processes of a cell, and what each of their hosts has.
#[derive(Clone, Copy, Debug)]
pub struct CellSize {
    pub processes: usize,
    pub workers: usize,
    /// Memory of each host, in megabytes.
    pub memory: usize,
    /// Descriptors that the process of each host may have open.
    pub descriptors: usize,
    /// Largest request body that the configuration allows, in bytes.
    pub body: usize,
    pub logs: Logs,
}

impl Default for CellSize {
    fn default() -> CellSize {
        CellSize {
            processes: 1,
            workers: 4,
            memory: MEMORY_MB,
            descriptors: DESCRIPTORS,
            body: LARGEST_BODY,
            logs: Logs::Written,
        }
    }
}

/// Most that a process has occupied so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory, and bytes that were received and not read, in bytes.
    pub memory: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// What becomes of the log of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Logs {
    /// It is written to a file.
    Written,
    /// Nobody reads it.
    Blocked,
}

/// A host with a running process.
pub struct Host {
    address: LoopbackHost,
    size: CellSize,
    child: Child,
    peak: Arc<Mutex<Peak>>,
    sampling: JoinHandle<()>,
    log: PathBuf,
}

impl Host {
    fn start(
        address: LoopbackHost,
        settings: &Value,
        folder: &TempDir,
        name: &str,
        size: CellSize,
    ) -> Host {
        let path = folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        let log_path = folder.path().join(format!("{name}.log"));
        let log = File::create(&log_path).expect("log file");
        let child = Command::new(env!("CARGO_BIN_EXE_clovermountd"))
            .arg("--cell")
            .env("CLOVERMOUNT_BOOT", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log file"))
            .stdout(match size.logs {
                Logs::Written => Stdio::from(log),
                Logs::Blocked => Stdio::piped(),
            })
            .kill_on_drop(true)
            .spawn()
            .expect("the process starts");
        let peak: Arc<Mutex<Peak>> = Arc::default();
        let id = child.id().expect("a process id");
        let sampling = watch_peak(id, address.ip(), &peak);
        Host {
            address,
            size,
            child,
            peak,
            sampling,
            log: log_path,
        }
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.address.callers()
    }

    /// Address for readiness checks.
    pub fn ready(&self) -> SocketAddr {
        self.address.ready()
    }

    /// Address that serves the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.address.metrics()
    }

    /// Address for the other processes of the cell.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), PEER_PORT)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("a process that runs");
        let id = i32::try_from(id).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the process exists");
    }

    /// Waits until the process ends by itself; returns its exit code, none if a signal ended it.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let exit = tokio::time::timeout(WAIT_LIMIT, self.child.wait()).await;
        let status = exit.expect("the process ends within a minute");
        status.expect("wait").code()
    }

    /// Whether the process runs.
    pub fn lives(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_none()
    }

    /// Fails if the process has ended, or has occupied more than its host has.
    #[track_caller]
    pub fn assert_bounds(&mut self) {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        assert!(self.lives(), "the process has ended; its log: {log}");
        self.assert_peak();
    }

    /// Fails if the process has occupied more than its host has.
    #[track_caller]
    pub fn assert_peak(&self) {
        let peak = *lock(&self.peak);
        println!("peak: {peak:?}");
        let memory = self.size.memory * 1_000_000;
        let descriptors = self.size.descriptors;
        assert!(
            peak.memory <= memory,
            "memory: found {} bytes, allowed: at most {memory}",
            peak.memory
        );
        assert!(
            peak.descriptors <= descriptors,
            "descriptors: found {}, allowed: at most {descriptors}",
            peak.descriptors
        );
    }

    /// Kills the process.
    async fn close(mut self) {
        self.sampling.abort();
        // Fails if the process has ended.
        let _ = self.child.kill().await;
    }
}

/// A cell of small hosts with the stand-ins of its platform.
pub struct Cell {
    pub hosts: Vec<Host>,
    pub store: Arc<FakeStore>,
    _fleet: Fleet,
    _folder: TempDir,
    /// Stops the stand-ins when it is dropped.
    _serving: watch::Sender<bool>,
}

impl Cell {
    /// Starts `processes` processes and waits until they are ready and have an owner.
    pub async fn open(processes: usize) -> Cell {
        let size = CellSize {
            processes,
            ..CellSize::default()
        };
        Cell::open_sized(size).await
    }

    /// The same with hosts of another size.
    pub async fn open_sized(size: CellSize) -> Cell {
        let (serving, stop) = watch::channel(false);
        let store = FakeStore::new();
        let mut configuration = config(1);
        configuration["limits"]["max_body_bytes"] = json!(size.body);
        store.write("op", "config", &configuration);
        let advice = FakeAdvice::new(Vec::new());
        let log = RunLog::default();
        let fleet = Fleet::open(size.workers, &store, &advice, &log, None, &stop).await;
        let store_address = serve(store.clone(), &stop).await;
        let services = serve(advice, &stop).await;
        let folder = TempDir::new().expect("folder");
        let number = NEXT_CELL.fetch_add(1, Ordering::Relaxed);
        let hosts = (0..size.processes).map(|index| {
            let address = LoopbackHost::new(number, index);
            let text = address.settings(store_address, Some(services));
            let mut settings: Value = serde_json::from_str(&text).expect("JSON");
            settings["memory_mb"] = json!(size.memory);
            settings["descriptors"] = json!(size.descriptors);
            Host::start(address, &settings, &folder, &format!("entry-{index}"), size)
        });
        let cell = Cell {
            hosts: hosts.collect(),
            store,
            _fleet: fleet,
            _folder: folder,
            _serving: serving,
        };
        let caller = Caller::new();
        for host in &cell.hosts {
            caller.wait_status(host.ready(), "/-/readyz", 200).await;
        }
        cell.serve_ordinary(0).await;
        cell
    }

    /// Submits an ordinary job to any host and waits until it is done. The connections are new ones.
    pub async fn serve_ordinary(&self, number: u64) {
        let servers: Vec<SocketAddr> = self.hosts.iter().map(Host::callers).collect();
        serve_ordinary(&servers, number).await;
    }

    /// Index of the host whose process owns the pool.
    pub fn owner(&self) -> usize {
        let row = self
            .store
            .raw(cell::OWNERSHIP_TABLE, cell::OWNER_PART, "owner");
        let ownership = cell::decode_ownership(&row.expect("a row")).expect("an ownership");
        let ip = ownership.address.ip();
        let mut hosts = self.hosts.iter();
        hosts
            .position(|host| host.address.ip() == ip)
            .expect("an owner among the hosts")
    }

    /// Kills all processes.
    pub async fn close(self) {
        for host in self.hosts {
            host.close().await;
        }
    }
}

/// Submits an ordinary job to one of `servers` and waits until it is done.
pub async fn serve_ordinary(servers: &[SocketAddr], number: u64) {
    let caller = Caller::new();
    let path = format!("/plain/{number:016x}");
    caller.submit(servers, &path, &site::job(1, "10")).await;
    caller.wait_state(servers, &path, "completed").await;
}

/// Records the most that a process occupies until it ends. `ip` is the address of its sockets.
pub fn watch_peak(id: u32, ip: IpAddr, peak: &Arc<Mutex<Peak>>) -> JoinHandle<()> {
    tokio::spawn(sample(id, ip, peak.clone()))
}

async fn sample(id: u32, ip: IpAddr, peak: Arc<Mutex<Peak>>) {
    while !executes_program(id) {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    while let Some(memory) = resident(id) {
        let memory = memory.max(peak_resident(id)) + unread(ip);
        let descriptors = count_descriptors(id);
        {
            let mut peak = lock(&peak);
            peak.memory = peak.memory.max(memory);
            peak.descriptors = peak.descriptors.max(descriptors);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

pub fn lock(peak: &Mutex<Peak>) -> MutexGuard<'_, Peak> {
    peak.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a process executes its own program. Until then it shares the memory of the test program, which the
/// system shows as its own.
fn executes_program(id: u32) -> bool {
    let program = |process: &str| std::fs::read_link(format!("/proc/{process}/exe")).ok();
    program(&id.to_string()) != program("self")
}

/// Resident memory of a process, in bytes; none if it has ended.
fn resident(id: u32) -> Option<usize> {
    status_field(id, "VmRSS:")
}

/// Most resident memory that a process had since its start, in bytes.
fn peak_resident(id: u32) -> usize {
    status_field(id, "VmHWM:").unwrap_or_default()
}

fn status_field(id: u32, name: &str) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

fn count_descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Bytes that the sockets at an address have received and their process has not read.
pub fn unread(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else { return 0 };
    // The table has the address as a number in the byte order of the machine.
    let local = format!("{:08X}", u32::from_ne_bytes(ip.octets()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let address = fields.next()?;
        let state = fields.nth(1)?;
        let (_, received) = fields.next()?.split_once(':')?;
        // In the state of listening the number counts connections.
        let counts = address.starts_with(&local) && state != "0A";
        counts.then(|| usize::from_str_radix(received, 16).ok())?
    });
    queues.sum()
}
