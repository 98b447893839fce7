//! Workers that drain, under real processes on hosts with a small share of a core.
//!
//! `DRAINING=HOSTS,WORKERS,JOBS,SECONDS,MILLICORES` plays another size than that of CI, and keeps the
//! logs: numbers of processes and workers, jobs a second, the time for which callers submit jobs, and
//! the share of a core of each host in thousandths.

use std::fs::File;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use site::Caller;
use site::CpuQuota;
use site::FakeAdvice;
use site::FakeStore;
use site::Fleet;
use site::LimitedLink;
use site::LoopbackHost;
use site::RunLog;
use site::RunSpan;
use site::WorkerEvent;
use site::config;
use site::serve;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::sync::watch;

/// Cell number in the loopback addresses of the hosts.
const CELL_NUMBER: u8 = 240;

/// Rate of the link between the processes and the workers, in megabits per second.
const LINK_MBPS: f64 = 10.0;

/// Time between two waves of workers that drain.
const WAVE_GAP: Duration = Duration::from_secs(6);

/// Time from the drain of a worker until it leaves.
const LEAVE_AFTER: Duration = Duration::from_secs(8);

/// One worker in this number drains in each wave.
const WAVE_RATIO: usize = 7;

/// Longest time for which a caller asks for the state of its job.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two queries of a caller.
const QUERY_GAP: Duration = Duration::from_millis(500);

/// Locked by each run, since all use the same loopback addresses.
static CELL_LOCK: Mutex<()> = Mutex::const_new(());

/// Environment variable with the size of a run.
const SIZE_VARIABLE: &str = "DRAINING";

/// Size of a run.
#[derive(Clone, Copy, Debug)]
struct Size {
    hosts: usize,
    workers: usize,
    /// Jobs a second.
    jobs: u32,
    seconds: u32,
    /// Share of a core of each host, in thousandths.
    millicores: u32,
}

impl Size {
    /// Reads the size from the environment, or returns that of CI.
    fn from_env() -> Size {
        let Ok(text) = std::env::var(SIZE_VARIABLE) else {
            return Size {
                hosts: 3,
                workers: 100,
                jobs: 30,
                seconds: 18,
                millicores: 60,
            };
        };
        let numbers: Vec<u32> = text
            .split(',')
            .map(|number| number.parse().expect("DRAINING: numbers"))
            .collect();
        let [hosts, workers, jobs, seconds, millicores] = numbers[..] else {
            panic!("DRAINING: HOSTS,WORKERS,JOBS,SECONDS,MILLICORES");
        };
        Size {
            hosts: hosts as usize,
            workers: workers as usize,
            jobs,
            seconds,
            millicores,
        }
    }

    /// Share of a core of each host.
    fn cores(self) -> f64 {
        f64::from(self.millicores) / 1000.0
    }
}

/// A cell of real processes with limited processors.
struct Cell {
    log: RunLog,
    fleet: Fleet,
    servers: Vec<SocketAddr>,
    children: Vec<Child>,
    quota: CpuQuota,
    folder: TempDir,
    /// Stops the stand-ins when it is dropped.
    _serving: watch::Sender<bool>,
}

impl Cell {
    async fn open(size: Size) -> Cell {
        let (serving, stop) = watch::channel(false);
        let log = RunLog::default();
        let store = FakeStore::new();
        store.write("op", "config", &config(1));
        let advice = FakeAdvice::new(Vec::new());
        let link = LimitedLink::new(LINK_MBPS);
        let fleet = Fleet::open(size.workers, &store, &advice, &log, Some(&link), &stop).await;
        let store_address = serve(store, &stop).await;
        let services = serve(advice, &stop).await;
        let folder = TempDir::new().expect("folder");
        let hosts: Vec<LoopbackHost> = (0..size.hosts)
            .map(|index| LoopbackHost::new(CELL_NUMBER, index))
            .collect();
        let mut children = Vec::new();
        let mut shares = Vec::new();
        for (index, host) in hosts.iter().enumerate() {
            let text = host.settings(store_address, Some(services));
            let mut settings: Value = serde_json::from_str(&text).expect("JSON");
            settings["cores"] = json!(size.cores());
            settings["link_mbps"] = json!(LINK_MBPS);
            let path = folder.path().join(format!("entry-{index}.json"));
            std::fs::write(&path, settings.to_string()).expect("settings");
            let log = File::create(folder.path().join(format!("entry-{index}.log")));
            let log = log.expect("log file");
            let child = Command::new(env!("CARGO_BIN_EXE_clovermountd"))
                .arg("--cell")
                .env("CLOVERMOUNT_BOOT", &path)
                .stdin(Stdio::null())
                .stderr(log.try_clone().expect("log file"))
                .stdout(log)
                .spawn()
                .expect("the process starts");
            shares.push((child.id(), size.cores()));
            children.push(child);
        }
        let quota = CpuQuota::limit(&shares);
        let caller = Caller::new();
        for host in &hosts {
            caller.wait_status(host.ready(), "/-/readyz", 200).await;
        }
        Cell {
            log,
            fleet,
            servers: hosts.iter().map(|host| host.callers()).collect(),
            children,
            quota,
            folder,
            _serving: serving,
        }
    }

    /// Lets one worker in [`WAVE_RATIO`] drain in each wave, and leave later.
    async fn drain_in_waves(&self, until: Instant) {
        let mut leaving: Vec<(Instant, usize)> = Vec::new();
        for wave in 0..WAVE_RATIO - 1 {
            tokio::time::sleep(WAVE_GAP).await;
            if Instant::now() >= until {
                return;
            }
            leaving.retain(|&(at, index)| {
                let due = Instant::now() >= at;
                if due {
                    self.fleet.leave(index);
                }
                !due
            });
            for index in (wave..self.fleet.len()).step_by(WAVE_RATIO) {
                self.fleet.drain(index);
                leaving.push((Instant::now() + LEAVE_AFTER, index));
            }
        }
    }

    /// Ends the processes, and keeps their logs if `keep` is set.
    fn close(mut self, keep: bool) {
        self.quota.close();
        for child in &mut self.children {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
        if keep {
            println!("logs in {}", self.folder.keep().display());
        }
    }
}

/// Submits a job and asks for its state until it has ended.
async fn call(caller: Caller, servers: Arc<Vec<SocketAddr>>, first: usize, number: u64) {
    let (queue, count, millis) = match number % 100 {
        0..4 => ("advised", 20, 3000),
        4..13 => ("plain", 25, 2000),
        _ => ("advised", 3, 680),
    };
    let body = json!({
        "spec": millis.to_string(),
        "steps": [{"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": millis}],
    });
    let path = format!("/{queue}/{number:016x}");
    let server = |attempt: usize| servers[(first + attempt) % servers.len()];
    for attempt in 0..4 {
        let (status, _) = caller
            .send(Method::POST, server(attempt), &path, &body)
            .await;
        if status == 200 {
            break;
        }
    }
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        tokio::time::sleep(QUERY_GAP).await;
        let (_, reply) = caller
            .send(Method::GET, server(0), &path, &Value::Null)
            .await;
        if reply["state"] == "completed" {
            return;
        }
    }
}

async fn submit_jobs(servers: Vec<SocketAddr>, jobs: u32, until: Instant) {
    let mut rng = StdRng::seed_from_u64(1);
    let servers = Arc::new(servers);
    let caller = Caller::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let first = rng.random_range(0..servers.len());
        tokio::spawn(call(caller.clone(), servers.clone(), first, number));
        tokio::time::sleep(Duration::from_secs(1) / jobs).await;
    }
}

/// Plays a run. Returns the late starts on draining workers, and the first time of [`WAVE_GAP`] in which
/// no run began.
async fn play() -> (Vec<WorkerEvent>, Option<Duration>) {
    let _lock = CELL_LOCK.lock().await;
    let size = Size::from_env();
    let cell = Cell::open(size).await;
    let begin = Instant::now();
    let until = begin + Duration::from_secs(size.seconds.into());

    let submits = submit_jobs(cell.servers.clone(), size.jobs, until);
    tokio::join!(submits, cell.drain_in_waves(until));

    let spans = cell.log.spans("");
    let mut late = cell.log.events();
    late.retain(|event| matches!(event, WorkerEvent::StartedDraining(..)));
    println!("{} starts, {} on draining workers", spans.len(), late.len());
    let idle = idle_window(&spans, begin, until);
    cell.close(!late.is_empty() || idle.is_some() || std::env::var(SIZE_VARIABLE).is_ok());
    assert!(!spans.is_empty(), "no task has started");
    (late, idle)
}

/// Returns the first time of [`WAVE_GAP`] in which no run began.
fn idle_window(spans: &[RunSpan], begin: Instant, until: Instant) -> Option<Duration> {
    let mut from = begin;
    while from + WAVE_GAP <= until {
        let window = from..from + WAVE_GAP;
        if !spans.iter().any(|span| window.contains(&span.begin)) {
            return Some(from - begin);
        }
        from += WAVE_GAP;
    }
    None
}

/// Guards against tasks that start on workers long after these have registered as draining, since the
/// owner's host is too slow to read the registrations in time.
#[tokio::test(flavor = "multi_thread")]
async fn draining_workers_get_no_tasks_from_a_slow_host() {
    let (late, _) = play().await;

    assert!(late.is_empty(), "late starts: {late:#?}");
}

/// Guards against a slow host that starts nothing for seconds while callers submit jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_host_goes_on_starting_tasks() {
    let (_, idle) = play().await;

    assert_eq!(idle, None, "a time in which no task has started");
}
