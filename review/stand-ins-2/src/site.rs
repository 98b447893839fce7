//! A small deployment: the platform's store and list of machines, workers, and the cell.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::cell::Process;
use crate::cell::start_cell;
use crate::http;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::Record;
use crate::store::Store;
use crate::worker::RunHistory;
use crate::worker::Worker;

/// Paths of the queues. The tasks of each queue run in a pool of its own.
pub const PREFIXES: [&str; 2] = ["/desk/", "/lookup/"];
pub const PREFIX: &str = PREFIXES[0];

/// Services, which are pools of workers, in the order of their queues' paths.
pub const SERVICES: [&str; 2] = ["stores-desk", "stores-lookup"];
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Time for all processes to become ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// Time from the kill of a process to its restart by the platform.
pub const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Time for a client's call, as `deadline ms` on the sheet.
pub const CALL_TIME: Duration = Duration::from_millis(3000);

/// What a deployment consists of.
pub struct Size {
    pub processes: u8,
    pub workers: usize,
    /// Number of pools over which the workers are spread evenly, 1 or 2.
    pub pools: usize,
    /// Capacity of each worker, in thousandths of a core and MB.
    pub capacity: (u64, u64),
}

/// A running deployment.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub cell: Vec<Process>,
    folder: PathBuf,
}

impl Site {
    /// Starts everything and waits until all processes are ready; an error means that the case
    /// could not run.
    pub fn start(size: &Size, record: Record) -> Result<Site, String> {
        let failed = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("clovermount-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let (store, address) = Store::start(LOOPBACK, &record).map_err(failed)?;
        store.write("op", "config", &config(size.pools));
        let mut workers = Vec::new();
        for at in 0..size.workers {
            let id = format!("i-{:010x}", 0x96_ae0a_6f00_u64 + at as u64 * 257);
            let named = (id.as_str(), SERVICES[at % size.pools], LOOPBACK);
            workers.push(Worker::start(named, size.capacity, &store, &record).map_err(failed)?);
        }
        let machines = TcpListener::bind((LOOPBACK, 0)).map_err(failed)?;
        let machines_address = machines.local_addr().map_err(failed)?;
        let listed = workers.clone();
        http::serve(machines, move |_| (200, list_machines(&listed)));
        let services = (address, machines_address);
        let cell = start_cell(size.processes, services, &folder, &record).map_err(failed)?;
        let site = Site {
            record,
            store,
            workers,
            cell,
            folder,
        };
        let end = site.record.now() + READY_TIME;
        while !(site.cell.iter().all(Process::ready) && site.leader().is_some()) {
            if site.record.now() > end {
                return Err("the processes are not ready in time".to_owned());
            }
            thread::sleep(Duration::from_millis(200));
        }
        site.record.line("platform: all processes are ready");
        Ok(site)
    }

    /// Position of the process that gives the orders to the workers.
    pub fn leader(&self) -> Option<usize> {
        self.cell.iter().position(Process::leads)
    }

    /// Kills the process that gives the orders, and starts it again after the platform's delay.
    pub fn kill_leader(&mut self) -> Result<(), String> {
        let leader = self.leader().ok_or("no process gives orders")?;
        self.cell[leader].kill();
        thread::sleep(RESTART_DELAY);
        self.cell[leader].start().map_err(|error| error.to_string())
    }

    /// Sends a client's call to the processes in turn, until one replies otherwise than with 502,
    /// 503 or 504, at most `attempts` times.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        attempts: usize,
    ) -> Option<(u16, Json)> {
        let mut last = None;
        for process in self.cell.iter().cycle().take(attempts) {
            last = process.call(method, path, body, CALL_TIME);
            if last
                .as_ref()
                .is_some_and(|(status, _)| ![502, 503, 504].contains(status))
            {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Submits a job; fails unless it is accepted.
    pub fn submit(&self, id: &str, body: &str) -> Result<(), String> {
        self.submit_to(PREFIX, id, body)
    }

    /// Submits a job to the queue with this path; fails unless it is accepted.
    pub fn submit_to(&self, prefix: &str, id: &str, body: &str) -> Result<(), String> {
        let answer = self.call("POST", &format!("{prefix}{id}"), body, self.cell.len());
        let accepted = answer.is_some_and(|(status, _)| status == 200);
        let refused = || format!("job {id} was not accepted");
        accepted.then_some(()).ok_or_else(refused)
    }

    /// State of a job as a client sees it; empty without an answer.
    pub fn state(&self, id: &str) -> String {
        self.state_in(PREFIX, id)
    }

    /// State of a job of the queue with this path.
    pub fn state_in(&self, prefix: &str, id: &str) -> String {
        let answer = self.call("GET", &format!("{prefix}{id}"), "", 2 * self.cell.len());
        answer.map_or_else(String::new, |(status, reply)| match status {
            200 => reply.text("state"),
            status => status.to_string(),
        })
    }

    /// The worker with the most runs.
    pub fn busiest(&self) -> Option<&Worker> {
        let up = self.workers.iter().filter(|worker| worker.is_up());
        up.max_by_key(|worker| worker.running())
    }

    /// Records what runs on each worker that is up, and returns the share of a service's capacity in
    /// use, and the largest room on one of its workers. `cpu` returns what a task needs.
    pub fn use_of(&self, service: &str, cpu: impl Fn(&str) -> u64) -> (f64, u64) {
        let (mut used, mut total, mut room) = (0, 0, 0);
        for worker in self.workers.iter().filter(|worker| worker.is_up()) {
            let history = worker.history();
            let running = history.iter().filter(|run| run.ended.is_none());
            let busy: u64 = running.map(|run| cpu(&run.task)).sum();
            let (id, all) = (&worker.id, worker.capacity.0);
            self.record.line(format!(
                "judged: {id} of {} uses {busy} of {all} thousandths of a core",
                worker.service
            ));
            if worker.service == service {
                used += busy;
                total += all;
                room = room.max(all.saturating_sub(busy));
            }
        }
        (used as f64 / total.max(1) as f64, room)
    }

    /// The runs of each task on all workers, in the order of their starts.
    pub fn runs(&self) -> BTreeMap<String, Vec<RunHistory>> {
        let mut runs: BTreeMap<String, Vec<RunHistory>> = BTreeMap::new();
        for run in self.workers.iter().flat_map(Worker::history) {
            runs.entry(run.task.clone()).or_default().push(run);
        }
        for of_task in runs.values_mut() {
            of_task.sort_by_key(|run| run.started);
        }
        runs
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.cell.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            // A folder that cannot be removed does not change the verdict.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn config(pools: usize) -> Json {
    let route = |(service, prefix): (&&str, &str)| {
        object(&[
            ("name", text(&format!("queue-of-{service}"))),
            ("host", text("desk.example")),
            ("prefix", text(prefix)),
            ("service", text(service)),
            ("timeout_ms", number(3000)),
            ("priority", number(0)),
            ("max_attempts", number(4)),
            ("stretch", Json::Number(2.2)),
            ("slo_ms", number(1000)),
        ])
    };
    let service = |name: &&str| {
        let guards = ("rejects_overload", Json::Bool(false));
        object(&[("name", text(name)), guards])
    };
    let used = &SERVICES[..pools];
    let routes = used.iter().zip(PREFIXES).map(route);
    object(&[
        ("version", number(3)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(used.iter().map(service).collect())),
        ("limits", object(&[])),
    ])
}

fn list_machines(workers: &[Worker]) -> String {
    let machines = workers.iter().enumerate().map(|(at, worker)| {
        let state = if worker.is_up() { "up" } else { "down" };
        object(&[
            ("machine", text(&format!("m-{at}"))),
            ("pool", text(&worker.service)),
            ("state", text(state)),
            ("zone", text("hall")),
            ("id", text(&worker.id)),
        ])
    });
    object(&[
        ("machines", Json::List(machines.collect())),
        ("next_token", text("")),
    ])
    .to_string()
}

/// Creates the record in the folder of a case.
pub fn open_record(folder: &Path) -> Result<Record, String> {
    Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())
}
