//! Callers that submit jobs at a fixed rate, retry calls that do not succeed, and cancel some of
//! the jobs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hyper::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use site::Caller;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::plan::has_crashes;
use crate::plan::has_late_writes;
use crate::plan::has_repeats;

/// Interval between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(90);

/// Maximum number of tries of a call.
const MAX_TRIES: usize = 5;

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// In a seed with crashes, on average one in this number of jobs has a task that
/// crashes each worker.
const CRASH_RATIO: u32 = 40;

/// In a seed with repeated jobs, on average one in this number of the jobs that neither fail nor
/// crash workers is repeated.
const REPEAT_RATIO: u32 = 12;

/// Rounds of a repeated job.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// Number of rounds.
    pub rounds: u32,
    /// When the first round is due.
    pub first: Instant,
    /// Time between two rounds.
    pub interval: Duration,
}

impl Repeats {
    /// Draws rounds that overlap: a task runs for up to 0.9 s.
    fn draw(rng: &mut StdRng) -> Repeats {
        Repeats {
            rounds: rng.random_range(3..9),
            first: Instant::now() + Duration::from_millis(rng.random_range(0..300)),
            interval: Duration::from_millis(rng.random_range(100..400)),
        }
    }

    /// Adds the rounds to the body of a job.
    fn describe(&self, body: &mut Value) {
        let wall = SystemTime::now() + self.first.saturating_duration_since(Instant::now());
        let wall = wall.duration_since(SystemTime::UNIX_EPOCH);
        body["repeat_count"] = json!(self.rounds);
        body["start_at_ms"] = json!(wall.expect("a time after 1970").as_millis());
        body["interval_ms"] = json!(self.interval.as_millis());
    }
}

/// The outcome of submitting and cancelling a job, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job was accepted.
    Accepted,
    /// The job was accepted, and so was its cancellation.
    Canceled,
    /// Each try to submit the job was answered with a refusal (429 or 503).
    Refused,
    /// No try was accepted, and one got no answer or neither an acceptance nor a refusal; or the
    /// cancellation was not confirmed. The job may have any state.
    Unknown,
}

/// A job that a caller has submitted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the job, as in its path.
    pub id: String,
    /// Path of the job in the HTTP interface.
    pub path: String,
    /// Whether each run of its tasks fails, as its specification says.
    pub fails: bool,
    /// Whether the first task of its first step crashes each worker that runs it.
    pub crashes: bool,
    /// Rounds of the job; `None` if it runs once.
    pub repeats: Option<Repeats>,
    /// Number of tasks in each round.
    pub tasks: u32,
    /// Outcome of the caller's calls to submit and cancel the job.
    pub outcome: Outcome,
    /// When a cancel was answered with 200 or 410.
    pub canceled_at: Option<Instant>,
}

/// Callers that run in the background.
pub struct Traffic {
    stop: watch::Sender<bool>,
    jobs: JoinHandle<Vec<Job>>,
}

impl Traffic {
    /// Starts to submit jobs to `servers`.
    pub fn begin(seed: u64, servers: Vec<SocketAddr>) -> Traffic {
        let (stop, stopped) = watch::channel(false);
        let jobs = tokio::spawn(run_callers(seed, servers, stopped));
        Traffic { stop, jobs }
    }

    /// Submits no more jobs, waits until the callers have finished their calls, and returns all
    /// jobs.
    pub async fn end(self) -> Vec<Job> {
        self.stop.send_replace(true);
        self.jobs.await.expect("callers end")
    }
}

async fn run_callers(
    seed: u64,
    servers: Vec<SocketAddr>,
    stopped: watch::Receiver<bool>,
) -> Vec<Job> {
    // Differs from the random numbers of the plan, which is drawn from `seed`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let caller = Caller::new();
    let mut callers = JoinSet::new();
    let mut number = 0;
    while !*stopped.borrow() {
        number += 1;
        let call_plan = CallPlan::new(&mut rng, &servers, seed);
        callers.spawn(call_plan.submit(caller.clone(), (seed << 32) + number));
        tokio::time::sleep(JOB_INTERVAL).await;
    }
    callers.join_all().await
}

/// The job that one caller submits, and whether and when it cancels the job.
struct CallPlan {
    body: Value,
    fails: bool,
    crashes: bool,
    repeats: Option<Repeats>,
    tasks: u32,
    /// Time from the acceptance of the job to its cancellation; `None` if it is not cancelled.
    cancel: Option<Duration>,
    /// The job is cancelled if no try to submit it was answered with 200, 429 or 503.
    withdraws: bool,
    /// Number of tries to submit the job.
    tries: usize,
    /// All servers, in the order in which the caller tries them.
    servers: Vec<SocketAddr>,
}

impl CallPlan {
    fn new(rng: &mut StdRng, servers: &[SocketAddr], seed: u64) -> CallPlan {
        let fails = rng.random_range(0..20) == 0;
        let crashes = has_crashes(seed) && !fails && rng.random_range(0..CRASH_RATIO) == 0;
        let spec = if fails {
            "fail".to_owned()
        } else if crashes {
            // Task 0 crashes its worker 10 ms or 400 ms after its start; the others run for
            // 300 ms.
            let after = [10, 400][rng.random_range(0..2)];
            format!("crash 0 300 {after}")
        } else {
            // The run time of each task in milliseconds.
            rng.random_range(20..900).to_string()
        };
        let step =
            |count: u32| json!({"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300});
        let mut tasks = rng.random_range(1..4);
        let mut steps = vec![step(tasks)];
        if rng.random_range(0..4) == 0 {
            tasks += 1;
            let mut second = step(1);
            second["after"] = json!([0]);
            steps.push(second);
        }
        let cancel = rng.random_range(0..10) == 0;
        let cancel = cancel.then(|| Duration::from_millis(rng.random_range(0..600)));
        let may_repeat = has_repeats(seed) && !fails && !crashes;
        let repeats = may_repeat && rng.random_range(0..REPEAT_RATIO) == 0;
        let repeats = repeats.then(|| Repeats::draw(rng));
        let mut body = json!({"spec": spec, "steps": steps});
        if let Some(repeats) = repeats {
            repeats.describe(&mut body);
        }
        let withdraws = has_late_writes(seed);
        let tries = if withdraws && rng.random_range(0..2) == 0 {
            1
        } else {
            MAX_TRIES
        };
        let mut servers = servers.to_vec();
        let first = rng.random_range(0..servers.len());
        servers.rotate_left(first);
        CallPlan {
            body,
            fails,
            crashes,
            repeats,
            tasks,
            cancel,
            withdraws,
            tries,
            servers,
        }
    }

    /// Submits the job, and cancels it if the plan says so. `number` becomes the id of the job.
    async fn submit(self, caller: Caller, number: u64) -> Job {
        let id = format!("{number:016x}");
        let path = format!("/plain/{id}");
        let mut outcome = Outcome::Refused;
        for server in self.servers.iter().cycle().take(self.tries) {
            let (status, _) = caller.send(Method::POST, *server, &path, &self.body).await;
            match status {
                200 => outcome = Outcome::Accepted,
                429 | 503 => {}
                _ => outcome = Outcome::Unknown,
            }
            if status == 200 {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if let (Some(after), Outcome::Accepted) = (self.cancel, outcome) {
            tokio::time::sleep(after).await;
            outcome = self.cancel(&caller, &path, 200).await;
        }
        let mut canceled_at = (outcome == Outcome::Canceled).then(Instant::now);
        if self.withdraws && outcome == Outcome::Unknown {
            let canceled = self.cancel(&caller, &path, 410).await;
            canceled_at = (canceled == Outcome::Canceled).then(Instant::now);
        }
        Job {
            id,
            path,
            fails: self.fails,
            crashes: self.crashes,
            repeats: self.repeats,
            tasks: self.tasks,
            outcome,
            canceled_at,
        }
    }

    /// Cancels the job through one server after the other until one confirms it, with 200 or with
    /// `also`.
    async fn cancel(&self, caller: &Caller, path: &str, also: u16) -> Outcome {
        for server in self.servers.iter().cycle().take(MAX_TRIES) {
            let send = caller.send(Method::DELETE, *server, path, &Value::Null);
            let (status, _) = send.await;
            if status == 200 || status == also {
                return Outcome::Canceled;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        // The job may have been cancelled or not, so any state is allowed.
        Outcome::Unknown
    }
}
