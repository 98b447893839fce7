//! Callers: they submit jobs all the while, repeat what got no answer, and
//! withdraw some.

use std::net::SocketAddr;
use std::time::Duration;

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

use crate::plan::rough;

/// Time between two jobs.
const JOB_EVERY: Duration = Duration::from_millis(90);

/// Tries of a caller before it gives up.
const TRIES: usize = 5;

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// One job in so many has a task that takes each worker down, in a rough seed.
const CRASHES_ONE_IN: u32 = 40;

/// What became of a job, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was accepted.
    Accepted,
    /// It was accepted, and its cancel too.
    Canceled,
    /// Each try was told that it was not accepted.
    Refused,
    /// Some try got no certain answer.
    Unknown,
}

/// A job that a caller has submitted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id, as callers write it.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its tasks fail each time.
    pub fails: bool,
    /// Its first task takes each worker down.
    pub crashes: bool,
    /// What became of it.
    pub fate: Fate,
}

/// Callers at work.
pub struct Traffic {
    stop: watch::Sender<bool>,
    calling: JoinHandle<Vec<Job>>,
}

impl Traffic {
    /// Begins to submit jobs to `servers`.
    pub fn begin(seed: u64, servers: Vec<SocketAddr>) -> Traffic {
        let (stop, stopped) = watch::channel(false);
        let calling = tokio::spawn(call(seed, servers, stopped));
        Traffic { stop, calling }
    }

    /// Ends it; gives all jobs, once their callers have an answer or gave up.
    pub async fn end(self) -> Vec<Job> {
        self.stop.send_replace(true);
        self.calling.await.expect("callers end")
    }
}

async fn call(seed: u64, servers: Vec<SocketAddr>, stopped: watch::Receiver<bool>) -> Vec<Job> {
    let mut random = StdRng::seed_from_u64(!seed);
    let caller = Caller::new();
    let mut callers = JoinSet::new();
    let mut number = 0;
    while !*stopped.borrow() {
        number += 1;
        let draw = Draw::new(&mut random, &servers, rough(seed));
        callers.spawn(draw.submit(caller.clone(), (seed << 32) + number));
        tokio::time::sleep(JOB_EVERY).await;
    }
    callers.join_all().await
}

/// What one caller is going to do.
struct Draw {
    body: Value,
    fails: bool,
    crashes: bool,
    /// Time after which an accepted job is withdrawn.
    cancel: Option<Duration>,
    servers: Vec<SocketAddr>,
}

impl Draw {
    fn new(random: &mut StdRng, servers: &[SocketAddr], rough: bool) -> Draw {
        let fails = random.random_range(0..20) == 0;
        let crashes = rough && !fails && random.random_range(0..CRASHES_ONE_IN) == 0;
        let text = if fails {
            "fail".to_owned()
        } else if crashes {
            // At once, or after a while.
            let after = [10, 400][random.random_range(0..2)];
            format!("crash 0 300 {after}")
        } else {
            random.random_range(20..900).to_string()
        };
        let step =
            |count: u32| json!({"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300});
        let mut steps = vec![step(random.random_range(1..4))];
        if random.random_range(0..4) == 0 {
            let mut second = step(1);
            second["after"] = json!([0]);
            steps.push(second);
        }
        let cancel = random.random_range(0..10) == 0;
        let cancel = cancel.then(|| Duration::from_millis(random.random_range(0..600)));
        let mut servers = servers.to_vec();
        let first = random.random_range(0..servers.len());
        servers.rotate_left(first);
        Draw {
            body: json!({"spec": text, "steps": steps}),
            fails,
            crashes,
            cancel,
            servers,
        }
    }

    async fn submit(self, caller: Caller, number: u64) -> Job {
        let id = format!("{number:016x}");
        let path = format!("/plain/{id}");
        let mut fate = Fate::Refused;
        for server in self.servers.iter().cycle().take(TRIES) {
            let (status, _) = caller.send(Method::POST, *server, &path, &self.body).await;
            match status {
                200 => fate = Fate::Accepted,
                429 | 503 => {}
                _ => fate = Fate::Unknown,
            }
            if status == 200 {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if let (Some(after), Fate::Accepted) = (self.cancel, fate) {
            tokio::time::sleep(after).await;
            fate = self.cancel(&caller, &path).await;
        }
        Job {
            id,
            path,
            fails: self.fails,
            crashes: self.crashes,
            fate,
        }
    }

    async fn cancel(&self, caller: &Caller, path: &str) -> Fate {
        for server in self.servers.iter().cycle().take(TRIES) {
            let send = caller.send(Method::DELETE, *server, path, &Value::Null);
            if send.await.0 == 200 {
                return Fate::Canceled;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        // It may have been cancelled: no state of it is wrong.
        Fate::Unknown
    }
}
