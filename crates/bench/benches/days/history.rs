//! Reconstructs the history of each job of a day from the log lines of all
//! processes. One process at a time, the owner, plans all jobs of the worker pool; a
//! take-over makes another process (the successor) the owner. The owner makes advice
//! calls to an external service, which says on which workers a step of a job may run.

use std::collections::BTreeMap;

use serde_json::Value;

/// Times, properties and counters of one job. Times are in seconds of the log.
#[derive(Clone, Debug, Default)]
pub struct JobHistory {
    /// Time of the first log line that names the job.
    pub first_seen: f64,
    /// Time at which a process first logged that the job was accepted.
    pub accepted: Option<f64>,
    pub queue: String,
    /// Time of the first reply to an advice call that named a suitable worker.
    pub advised: Option<f64>,
    /// Time at which the owner first started a task of the job.
    pub started: Option<f64>,
    /// Time of the latest start of a task that had been started before.
    pub restarted: Option<f64>,
    /// Time of the latest start of any task.
    pub last_start: f64,
    /// Time at which a worker last reported the end of a task.
    pub tasks_ended: Option<f64>,
    /// Time at which the owner logged the end of the job.
    pub ended: Option<f64>,
    /// How the job ended: `completed`, `failed` or `canceled`; empty before the end.
    pub outcome: String,
    pub priority: usize,
    /// Time after `first_seen` within which the job should end, in seconds.
    pub objective: f64,
    /// Length of the critical path through the steps of the job, from the declared
    /// run times of the tasks, in seconds.
    pub critical_path: f64,
    /// Declared work, in core-seconds.
    pub work: f64,
    /// Number of runs that were preempted.
    pub preemptions: u32,
    /// Number of runs stopped because another member of their gang ended or was
    /// lost.
    pub gang_breaks: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// Names of the tasks that were started at least once.
    started_tasks: Vec<String>,
}

/// Job histories and pool events of a logged day.
#[derive(Debug, Default)]
pub struct DayLog {
    /// Histories by job id.
    pub jobs: BTreeMap<String, JobHistory>,
    /// Load reports of the owner: time, and processors of all usable workers in
    /// cores.
    pub cores: Vec<(f64, f64)>,
    /// Beginnings and ends of the take-overs: from the last log line of the former
    /// owner until no run of the former owner can continue without being reported
    /// to the successor, which may then start its tasks again.
    pub take_overs: Vec<(f64, f64)>,
    /// Time of the newest log line that only the owner writes.
    owner_logged: f64,
}

impl DayLog {
    /// Reads lines of the form `TIME NODE JSON`, with the time in seconds, and skips
    /// all others.
    pub fn read(text: &str) -> DayLog {
        let mut log = DayLog::default();
        for line in text.lines() {
            let mut words = line.trim_start().splitn(3, ' ');
            let time = words.next().and_then(|word| word.parse::<f64>().ok());
            let (Some(time), Some(_), Some(rest)) = (time, words.next(), words.next()) else {
                continue;
            };
            if let Ok(fields) = serde_json::from_str::<Value>(rest.trim_start()) {
                log.apply_line(time, &fields);
            }
        }
        log
    }

    /// Applies one log line, depending on its event number (`code`).
    fn apply_line(&mut self, time: f64, fields: &Value) {
        let text = |name: &str| fields[name].as_str().unwrap_or_default();
        let number = |name: &str| fields[name].as_f64().unwrap_or_default();
        let code = fields["code"].as_u64().unwrap_or_default();
        match code {
            // 401: job accepted; 402: job refused; 403: acceptance unknown.
            401..=403 => {
                let history = self.history(text("job"), time);
                if code == 401 && history.accepted.is_none() {
                    history.accepted = Some(time);
                }
                if !text("queue").is_empty() {
                    text("queue").clone_into(&mut history.queue);
                }
            }
            // Reply to an advice call that names a suitable worker.
            320 if number("good") > 0.0 => {
                let history = self.history(job_id(text("step")), time);
                history.advised.get_or_insert(time);
            }
            // The owner starts a run of a task.
            350 => self.record_start(time, text("task")),
            // The owner stops a run.
            352 => {
                let history = self.history(job_id(text("task")), time);
                history.preemptions += u32::from(text("reason") == "preempted");
                history.gang_breaks += u32::from(text("reason") == "gang_broken");
            }
            // A worker reported the end of a run.
            354 => {
                let history = self.history(job_id(text("task")), time);
                history.failures += u32::from(text("how") == "failed");
                history.tasks_ended = Some(time);
            }
            // Job ended.
            362 => {
                let history = self.history(text("job"), time);
                history.ended = Some(time);
                text("outcome").clone_into(&mut history.outcome);
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let priority = number("priority") as usize;
                history.priority = priority;
                text("queue").clone_into(&mut history.queue);
                history.objective = number("objective_ms") / 1000.0;
                history.critical_path = number("chain_ms") / 1000.0;
                history.work = number("work_ms") / 1000.0;
            }
            // Take-over finished.
            333 => self.take_overs.push((self.owner_logged, time)),
            // Load report of the owner.
            370 => self.cores.push((time, number("cpu") / 1000.0)),
            _ => {}
        }
        if matches!(code, 350 | 354 | 362 | 370) {
            self.owner_logged = time;
        }
    }

    /// Records the start of a run; the same task may have run before.
    fn record_start(&mut self, time: f64, task: &str) {
        let history = self.history(job_id(task), time);
        history.started.get_or_insert(time);
        history.last_start = time;
        if history.started_tasks.iter().any(|seen| seen == task) {
            history.restarted = Some(time);
        } else {
            history.started_tasks.push(task.to_owned());
        }
    }

    /// Returns the history of a job, which begins at `time` if it is new.
    fn history(&mut self, id: &str, time: f64) -> &mut JobHistory {
        self.jobs
            .entry(id.to_owned())
            .or_insert_with(|| JobHistory {
                first_seen: time,
                ..JobHistory::default()
            })
    }
}

/// Returns the job id of a task or step, which are named JOB.ROUND.STEP.INDEX
/// and JOB.ROUND.STEP.
fn job_id(name: &str) -> &str {
    name.split('.').next().unwrap_or(name)
}
