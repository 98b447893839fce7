//! Reconstructs the history of each job from the log lines of all processes.

use std::collections::BTreeMap;

use serde_json::Value;

/// Events of one job. Times are in seconds of the log.
#[derive(Clone, Debug, Default)]
pub struct JobHistory {
    /// First log line that names the job.
    pub first_seen: f64,
    /// A process first logged that the job was accepted.
    pub accepted: Option<f64>,
    pub queue: String,
    /// First reply to an advice call that named a suitable worker.
    pub advised: Option<f64>,
    /// First start of a task.
    pub started: Option<f64>,
    /// Latest start of a task that had been started before.
    pub restarted: Option<f64>,
    /// Latest start of any task.
    pub last_start: f64,
    /// Latest end of a task that a worker reported.
    pub tasks_ended: Option<f64>,
    /// The owner logged the end of the job.
    pub ended: Option<f64>,
    pub outcome: String,
    pub priority: usize,
    /// Time in which the job should end, in seconds.
    pub objective: f64,
    /// Critical path of the declared task times, in seconds.
    pub critical_path: f64,
    /// Declared work, in core-seconds.
    pub work: f64,
    /// Runs stopped to make room for a job of higher priority.
    pub preemptions: u32,
    /// Runs stopped because another member of their gang ended or was lost.
    pub gang_breaks: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Tasks that were started at least once.
    started_tasks: Vec<String>,
}

/// Job histories and pool events of a logged day.
#[derive(Debug, Default)]
pub struct DayLog {
    /// Histories by job id.
    pub jobs: BTreeMap<String, JobHistory>,
    /// Load reports of the owner: time, and processors of all usable workers.
    pub cores: Vec<(f64, f64)>,
    /// Take-overs, each from the last log line of the former owner until the
    /// successor may start the tasks of the former owner.
    pub take_overs: Vec<(f64, f64)>,
    /// Time of the newest log line that only the owner writes.
    owner_logged: f64,
}

impl DayLog {
    /// Reads lines of the form `TIME NODE JSON` and skips all others.
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

    /// Applies one log line, by its `code`.
    fn apply_line(&mut self, time: f64, fields: &Value) {
        let text = |name: &str| fields[name].as_str().unwrap_or_default();
        let number = |name: &str| fields[name].as_f64().unwrap_or_default();
        let code = fields["code"].as_u64().unwrap_or_default();
        match code {
            // Job accepted, job refused, acceptance unknown.
            401..=403 => {
                let history = self.history(text("job"), time);
                if code == 401 && history.accepted.is_none() {
                    history.accepted = Some(time);
                }
                if !text("queue").is_empty() {
                    text("queue").clone_into(&mut history.queue);
                }
            }
            // Advice received.
            320 if number("good") > 0.0 => {
                let history = self.history(job_id(text("step")), time);
                history.advised.get_or_insert(time);
            }
            // Start of a run.
            350 => self.record_start(time, text("task")),
            // Stop of a run.
            352 => {
                let history = self.history(job_id(text("task")), time);
                history.preemptions += u32::from(text("reason") == "preempted");
                history.gang_breaks += u32::from(text("reason") == "gang_broken");
            }
            // Task ended.
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
            // Tasks of the former owner may start.
            333 => self.take_overs.push((self.owner_logged, time)),
            // Load of the pool.
            370 => self.cores.push((time, number("cpu") / 1000.0)),
            _ => {}
        }
        if matches!(code, 350 | 354 | 362 | 370) {
            self.owner_logged = time;
        }
    }

    /// Records the start of a run of a task.
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
