//! Stand-in of a worker, as PROTOCOL.md describes it: leases, fencing tokens, runs and their ends.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::Record;
use crate::store::Store;

/// `hold_max_ms` and `stop_grace_ms` of the settings in DEPLOY.md, the latter halved: a stop takes
/// at most that long.
const HOLD_MAX: Duration = Duration::from_millis(6000);
const STOP_TIME: Duration = Duration::from_millis(100);

/// Longest wait of a hold, and most ends in one reply, by PROTOCOL.md.
const MAX_WAIT: Duration = Duration::from_millis(2000);
const MAX_ENDS: usize = 500;

/// `heartbeat_ms` of the settings in DEPLOY.md.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Time between two checks of the runs.
const TICK: Duration = Duration::from_millis(5);

/// What happened to a run on a worker, as the worker saw it.
#[derive(Clone, Debug)]
pub struct RunHistory {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub started: Duration,
    /// Time of the end and how the run ended.
    pub ended: Option<(Duration, &'static str)>,
    /// When a hold acknowledged the end; `None` also if the lease lapsed before that.
    pub noted: Option<Duration>,
}

struct Running {
    run: u64,
    started: Duration,
    ends_at: Duration,
    /// The run is that of a task that lasts.
    lasts: bool,
    /// The run ends `failed`.
    fails: bool,
    stops_at: Option<Duration>,
    /// Position in the history.
    at: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    at: usize,
}

impl Running {
    /// Progress at `now`; 100 for a task that lasts.
    fn percent(&self, now: Duration) -> u64 {
        if self.lasts {
            return 100;
        }
        let (worked, work) = (
            now.saturating_sub(self.started),
            self.ends_at - self.started,
        );
        let percent = worked.as_millis() * 100 / work.as_millis().max(1);
        u64::try_from(percent).unwrap_or(100).min(99)
    }
}

/// What a run does, as the text of its job says: `ms=FROM-TO` (ends `done` after a time in this
/// range, which differs from run to run; one figure is enough), `lasts` (a task that lasts) or
/// `fails=FROM-TO` (a task that lasts, and ends `failed` after such a time). Times in milliseconds.
struct Work {
    time: Duration,
    fails: bool,
    lasts: bool,
}

impl Work {
    fn parse(spec: &str, task: &str, run: u64) -> Work {
        let millis = |text: &str| text.parse().map_or(Duration::ZERO, Duration::from_millis);
        let (kind, range) = spec.split_once('=').unwrap_or((spec, "3600000"));
        let (from, to) = range.split_once('-').unwrap_or((range, range));
        let (from, to) = (millis(from), millis(to));
        let mut hasher = DefaultHasher::new();
        (task, run).hash(&mut hasher);
        let share = (hasher.finish() % 1000) as f64 / 1000.0;
        Work {
            time: from + to.saturating_sub(from).mul_f64(share),
            fails: kind == "fails",
            lasts: kind != "ms",
        }
    }
}

#[derive(Default)]
struct State {
    token: u64,
    deadline: Duration,
    running: BTreeMap<String, Running>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was started, stopped or has ended here.
    highest: BTreeMap<String, u64>,
    history: Vec<RunHistory>,
}

/// A worker; clones share the state.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub capacity: (u64, u64),
    state: Arc<(Mutex<State>, Condvar)>,
    up: Arc<AtomicBool>,
    record: Record,
}

impl Worker {
    /// Starts a worker on a free port of `ip`, with a capacity in thousandths of a core and MB.
    pub fn start(
        (id, service, ip): (&str, &str, IpAddr),
        capacity: (u64, u64),
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Worker> {
        let listener = TcpListener::bind((ip, 0))?;
        let worker = Worker {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            capacity,
            state: Arc::default(),
            up: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
        };
        let served = worker.clone();
        http::serve(listener, move |request| served.answer(request));
        let ticking = worker.clone();
        thread::spawn(move || {
            while ticking.is_up() {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            let mut seq = 0;
            while beating.is_up() {
                seq += 1;
                // A crash during the write is followed by the removal of the row.
                store.write("servers", &beating.id, &beating.registration(seq));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    /// Whether the worker is running.
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    /// Crashes the worker for good: all that runs on it ends, and nothing answers any more. Its
    /// registration is removed after three heartbeats of silence.
    pub fn crash(&self, store: &Store) {
        self.up.store(false, Ordering::Relaxed);
        let now = self.record.now();
        let mut state = self.lock();
        let State {
            running, history, ..
        } = &mut *state;
        for running in std::mem::take(running).into_values() {
            history[running.at].ended = Some((now, "lost"));
        }
        drop(state);
        self.record.line(format!("{}: crashed", self.id));
        let (store, id) = (store.clone(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &id);
        });
    }

    /// Number of runs at this moment.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// The runs so far.
    pub fn history(&self) -> Vec<RunHistory> {
        self.lock().history.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no holder panics")
    }

    fn registration(&self, seq: u64) -> Json {
        let (cpu, memory) = self.capacity;
        let capacity = [
            ("cpu", number(cpu)),
            ("mem_mb", number(memory)),
            ("gpu", number(0)),
        ];
        object(&[
            ("service", text(&self.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text("hall")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_left_ms", number(0)),
            ("seq", number(seq)),
            ("capacity", object(&capacity)),
            ("labels", Json::List(vec![text("a"), text("r1-1")])),
        ])
    }

    /// Ends the runs whose time has come, and all of them if the lease has lapsed.
    fn tick(&self) {
        let now = self.record.now();
        let mut state = self.lock();
        let lapsed = state.deadline <= now;
        if lapsed && !(state.running.is_empty() && state.ends.is_empty()) {
            // An end that is acknowledged only after a lapse does not count as taken note of.
            let State { ends, history, .. } = &mut *state;
            for end in ends.iter() {
                history[end.at].noted = Some(Duration::MAX);
            }
        }
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, running)| {
                let how = match running.stops_at {
                    _ if lapsed => "lapsed",
                    Some(stops_at) if stops_at <= now => "stopped",
                    _ if running.ends_at <= now && running.fails => "failed",
                    _ if running.ends_at <= now => "done",
                    _ => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in &due {
            self.end(&mut state, task, how);
        }
        drop(state);
        if !due.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(Running { run, at, .. }) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let number = state.last_end;
        state.history[at].ended = Some((self.record.now(), how));
        state.ends.push(End {
            number,
            task: task.to_owned(),
            run,
            how,
            at,
        });
        self.record.line(format!(
            "{}: run {task} {run} ended {how}, number {number}",
            self.id
        ));
    }

    /// Answers a call, unless the worker crashes before that.
    fn answer(&self, request: &Request) -> Reply {
        let reply = self.handle(request);
        while !self.is_up() {
            thread::sleep(HEARTBEAT);
        }
        reply
    }

    fn handle(&self, request: &Request) -> Reply {
        let target = request.header("Target-Instance");
        if !target.is_empty() && target != self.id {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reply(&self, status: u16, fields: &[(&str, Json)]) -> Reply {
        let clock = u64::try_from(self.record.now().as_millis()).unwrap_or(u64::MAX);
        let mut all = vec![("clock_ms", number(clock))];
        all.extend_from_slice(fields);
        (status, object(&all).to_string())
    }

    fn rejection(&self, reason: &str) -> Reply {
        self.reply(409, &[("reason", text(reason))])
    }

    fn reject_start(&self, task: &str, run: u64, reason: &str) -> Reply {
        let id = &self.id;
        self.record
            .line(format!("{id}: start of {task} {run} rejected: {reason}"));
        self.rejection(reason)
    }

    /// Accepts the fencing token of a call; false if it is too low.
    fn accept_token(state: &mut State, body: &Json) -> bool {
        let token = body.number("fencing_token").unwrap_or(0);
        let accepted = token >= state.token;
        state.token = state.token.max(token);
        accepted
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(deadline) = body.number("deadline_ms") {
            let longest = self.record.now() + HOLD_MAX;
            state.deadline = state
                .deadline
                .max(Duration::from_millis(deadline).min(longest));
        }
    }

    fn start_run(&self, body: &Json) -> Reply {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
        let now = self.record.now();
        let mut state = self.lock();
        if !self.is_up() {
            return self.reply(503, &[]);
        }
        if !Worker::accept_token(&mut state, body) {
            return self.reject_start(&task, run, "fence");
        }
        if Duration::from_millis(body.number("deadline_ms").unwrap_or(0)) <= now {
            return self.reject_start(&task, run, "late");
        }
        self.extend(&mut state, body);
        if state
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return self.reply(200, &[]);
        }
        let highest = state.highest.get(&task).copied().unwrap_or(0);
        if run <= highest || state.running.contains_key(&task) {
            return self.reject_start(&task, run, "old");
        }
        state.highest.insert(task.clone(), run);
        let work = Work::parse(&body.text("spec"), &task, run);
        let at = state.history.len();
        state.history.push(RunHistory {
            task: task.clone(),
            run,
            worker: self.id.clone(),
            started: now,
            ended: None,
            noted: None,
        });
        let ends_at = now + work.time;
        let Work { fails, lasts, .. } = work;
        let running = Running {
            run,
            started: now,
            ends_at,
            lasts,
            fails,
            stops_at: None,
            at,
        };
        state.running.insert(task.clone(), running);
        self.record
            .line(format!("{}: run {task} {run} started", self.id));
        self.reply(200, &[])
    }

    fn stop_run(&self, body: &Json) -> Reply {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
        let stops_at = self.record.now() + STOP_TIME;
        let mut state = self.lock();
        if !Worker::accept_token(&mut state, body) {
            return self.rejection("fence");
        }
        self.record
            .line(format!("{}: stop of {task} {run} accepted", self.id));
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        if let Some(running) = state.running.get_mut(&task)
            && running.run <= run
        {
            running.stops_at.get_or_insert(stops_at);
        }
        self.reply(200, &[])
    }

    fn hold(&self, body: &Json) -> Reply {
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let until = Instant::now() + wait;
        let mut state = self.lock();
        if !Worker::accept_token(&mut state, body) {
            return self.rejection("fence");
        }
        let seen = body.number("seen_upto").unwrap_or(0);
        let now = self.record.now();
        let State { ends, history, .. } = &mut *state;
        for end in ends.iter().filter(|end| end.number <= seen) {
            history[end.at].noted.get_or_insert(now);
            self.record.line(format!(
                "{}: end {} of run {} {} taken note of",
                self.id, end.number, end.task, end.run
            ));
        }
        ends.retain(|end| end.number > seen);
        self.extend(&mut state, body);
        while state.ends.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .expect("no holder panics")
                .0;
        }
        let running = state.running.iter().map(|(task, running)| {
            let percent = running.percent(self.record.now());
            Json::List(vec![
                text(task),
                number(running.run),
                text(""),
                number(percent),
            ])
        });
        let running = Json::List(running.collect());
        let ends = state.ends.iter().take(MAX_ENDS).map(|end| {
            let End {
                number: count,
                task,
                run,
                how,
                ..
            } = end;
            Json::List(vec![
                number(*count),
                text(task),
                number(*run),
                text(how),
                text(""),
            ])
        });
        let ends = Json::List(ends.collect());
        self.reply(200, &[("running", running), ("ended_runs", ends)])
    }
}
