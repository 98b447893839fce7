//! What callers and workers have seen, held against what is promised.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::WorkerEvent;

use crate::blame::may_be_given_up;
use crate::field::Field;
use crate::traffic::Fate;
use crate::traffic::Job;

/// Longest time from the end of all faults until each job has ended.
const PATIENCE: Duration = Duration::from_mins(1);

/// States in which a job has ended: none of them changes any more.
const FINAL: [&str; 3] = ["completed", "failed", "canceled"];

/// Time between two looks at a job.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Most starts of a task that takes each worker down, and one more for each process
/// that was killed or stopped: an owner that dies before it has recorded a first crash
/// takes it along.
const MOST_STARTS: usize = 5;

/// Tasks of one core that a worker of four has room for.
const ROOM: usize = 4;

/// Everything that is wrong, in words.
pub async fn judge(field: &Field, jobs: &[Job]) -> Vec<String> {
    let caller = Caller::new();
    let servers = field.servers();
    let mut wrong = Vec::new();
    let until = tokio::time::Instant::now() + PATIENCE;
    for job in jobs {
        let expected: &[&str] = match (job.fate, job.fails || job.crashes) {
            (Fate::Accepted, false) => &["completed"],
            (Fate::Accepted, true) => &["failed"],
            (Fate::Canceled, _) => &["canceled", "completed", "failed"],
            (Fate::Refused | Fate::Unknown, _) => continue,
        };
        let looks = wait_final(&caller, &servers, &job.path);
        let shown = match tokio::time::timeout_at(until, looks).await {
            Ok(shown) => shown,
            Err(_) => state(&caller, servers[0], &job.path).await,
        };
        let right = expected.iter().any(|state| shown == *state);
        let given_up = || shown == "failed" && may_be_given_up(&field.log, &job.id);
        if !right && !given_up() {
            wrong.push(format!("{}: {:?}, shown as {shown}", job.id, job.fate));
        }
    }
    for job in jobs.iter().filter(|job| job.fate == Fate::Refused) {
        if field.log.starts(&job.id) > 0 {
            wrong.push(format!("{}: was refused, and has run", job.id));
        }
    }
    for job in jobs.iter().filter(|job| job.crashes) {
        let starts = field.log.starts(&format!("{}.0.0.0", job.id));
        if starts > MOST_STARTS + field.ends {
            wrong.push(format!(
                "{}: {starts} starts of a task that crashes",
                job.id
            ));
        }
    }
    wrong.extend(field.log.violations());
    wrong.extend(over_capacity(&field.log.events()));
    wrong
}

/// The state in which a job has ended, once some server shows one.
async fn wait_final(caller: &Caller, servers: &[SocketAddr], path: &str) -> Value {
    for server in servers.iter().cycle() {
        let shown = state(caller, *server, path).await;
        if FINAL.iter().any(|state| shown == *state) {
            return shown;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Value::Null
}

async fn state(caller: &Caller, server: SocketAddr, path: &str) -> Value {
    let (_, body) = caller.send(Method::GET, server, path, &Value::Null).await;
    body["state"].clone()
}

/// Workers that ever ran more tasks than they have cores.
fn over_capacity(deeds: &[WorkerEvent]) -> Vec<String> {
    let mut running: HashMap<&str, usize> = HashMap::new();
    let mut wrong = Vec::new();
    for deed in deeds {
        match deed {
            WorkerEvent::Started(worker, task, _) => {
                let count = running.entry(worker).or_default();
                *count += 1;
                if *count > ROOM {
                    wrong.push(format!("{worker}: {task} is one too many"));
                }
            }
            WorkerEvent::Ended(worker, ..) => {
                let count = running.entry(worker).or_default();
                *count = count.saturating_sub(1);
            }
            WorkerEvent::Discarded(..)
            | WorkerEvent::Acknowledged(..)
            | WorkerEvent::Overbooked(..) => {}
        }
    }
    wrong
}

/// Jobs by what became of them.
pub fn summary(jobs: &[Job]) -> String {
    let count = |fate: Fate| jobs.iter().filter(|job| job.fate == fate).count();
    format!(
        "{} jobs: {} accepted, {} cancelled, {} refused, {} unknown",
        jobs.len(),
        count(Fate::Accepted),
        count(Fate::Canceled),
        count(Fate::Refused),
        count(Fate::Unknown)
    )
}
