//! `account`: explains which part of a day's worth was lost. The worth of a job is
//! the score that it earns if it ends within its objective, the time that its queue
//! allows it. Each job that did not earn its full worth is counted under the cause
//! that took the largest part of its time.

use std::collections::BTreeMap;

use crate::bound;
use crate::bound::Demand;
use crate::history::DayLog;
use crate::history::JobHistory;
use crate::options::Options;

/// Default of `--worth`: worth of a job of mean size, by priority from 0.
const WORTHS: &str = "1,10,3";

/// A job that takes longer than this multiple of its objective earns nothing.
const LATE_FACTOR: f64 = 3.0;

/// Share of its worth that a job earns when it ends after its objective, but
/// within [`LATE_FACTOR`] times the objective.
const LATE_SHARE: f64 = 0.2;

/// Prints a table of the worth lost by priority and cause, and the share of the
/// worth that a scheduler with perfect knowledge could have earned.
pub fn run(options: &Options) -> Result<(), String> {
    let path = options.file(0, "LOG")?;
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let worths: Vec<f64> = options.numbers("worth", WORTHS)?;
    let mut log = DayLog::read(&text);
    log.estimate_unfinished();
    let means = log.mean_work();
    // By priority and cause: the number of jobs and the worth that they lost.
    let mut losses: BTreeMap<(usize, &'static str), (u32, f64)> = BTreeMap::new();
    let (mut offered, mut earned) = (BTreeMap::new(), 0.0);
    let mut demands = Vec::new();
    for history in log.jobs.values() {
        if history.outcome == "canceled" {
            continue;
        }
        let worth = worth(history, &worths, &means);
        *offered.entry(history.priority).or_insert(0.0) += worth;
        let (fraction, main_cause) = assess(history, &log.take_overs);
        earned += worth * fraction;
        if fraction < 1.0 {
            let row = losses.entry((history.priority, main_cause)).or_default();
            row.0 += 1;
            row.1 += worth * (1.0 - fraction);
        }
        demands.push(Demand {
            first_seen: history.first_seen,
            due: history.first_seen + history.objective,
            work: history.work,
            worth,
        });
    }
    let total_worth: f64 = offered.values().sum();
    println!(
        "jobs not canceled: {}; estimated share of worth earned: {:.3}",
        demands.len(),
        earned / total_worth
    );
    println!("| priority | cause | jobs | share of total worth |\n|---|---|---|---|");
    let mut rows: Vec<_> = losses.into_iter().collect();
    rows.sort_by(|one, other| other.1.1.total_cmp(&one.1.1));
    for ((priority, main_cause), (jobs, worth)) in rows {
        println!(
            "| {priority} | {main_cause} | {jobs} | {:.4} |",
            worth / total_worth
        );
    }
    let cores = log.cores.clone();
    let bound = bound::best_share(&demands, |time| cores_at(&cores, time));
    println!("bound with perfect knowledge: {bound:.3}");
    Ok(())
}

/// Returns the processors of all usable workers at a time, from the newest load
/// report up to that time that is not zero; before the first such report, from
/// that report.
fn cores_at(cores: &[(f64, f64)], time: f64) -> f64 {
    let first_report = cores.iter().find(|(_, cores)| *cores > 0.0);
    let latest_report = cores
        .iter()
        .rev()
        .find(|(at, cores)| *at <= time && *cores > 0.0);
    latest_report
        .or(first_report)
        .map_or(0.0, |(_, cores)| *cores)
}

/// Worth of a job: it grows with the job's work relative to the mean work of the
/// jobs of its priority, from 0.3 to 4 times the worth of a job of mean size.
fn worth(history: &JobHistory, worths: &[f64], means: &BTreeMap<usize, f64>) -> f64 {
    let mean_worth = worths.get(history.priority).copied().unwrap_or(1.0);
    let mean = means.get(&history.priority).copied().unwrap_or(1.0);
    mean_worth * (0.3 + 0.7 * history.work / mean.max(1e-9)).min(4.0)
}

/// Returns the fraction of its worth that a job earned, and the cause that took
/// most of its time.
fn assess(history: &JobHistory, take_overs: &[(f64, f64)]) -> (f64, &'static str) {
    let elapsed = history.ended.map(|ended| ended - history.first_seen);
    let fraction = match elapsed {
        Some(elapsed) if elapsed <= history.objective => 1.0,
        Some(elapsed) if elapsed <= history.objective * LATE_FACTOR => LATE_SHARE,
        _ => 0.0,
    };
    (fraction, main_cause(history, take_overs))
}

/// Returns the cause that took most of the job's time. A job that was not
/// accepted, has no recorded end or failed has this as its only cause.
fn main_cause(history: &JobHistory, take_overs: &[(f64, f64)]) -> &'static str {
    let Some(accepted) = history.accepted else {
        return "not accepted: refused, or the store was unreachable or did not answer";
    };
    let Some(ended) = history.ended else {
        return "no end recorded";
    };
    if history.outcome == "failed" {
        return "failed";
    }
    let started = history.started.unwrap_or(ended);
    let advised = history
        .advised
        .unwrap_or(started)
        .clamp(accepted, started.max(accepted));
    let tasks_ended = history.tasks_ended.unwrap_or(ended);
    let periods = take_overs.iter();
    let overlaps = periods.map(|(from, to)| (to.min(ended) - from.max(accepted)).max(0.0));
    let rerun_time = history.restarted.map_or(0.0, |latest| latest - started);
    let rerun = match (history.preemptions, history.gang_breaks, history.failures) {
        (0, 0, 0) => "restarted after a lost run or an unanswered start",
        (0, 0, _) => "retried after a failure",
        (0, _, _) => "rerun after its gang was broken",
        _ => "preempted",
    };
    let run = tasks_ended - history.last_start;
    let starting_time = (history.last_start - started - rerun_time).max(0.0);
    let phases = [
        (
            history.accepted.map_or(0.0, |at| at - history.first_seen),
            "accepted late after a refusal",
        ),
        (overlaps.sum::<f64>(), "take-over"),
        (advised - accepted, "waited for advice"),
        (started - advised, "waited for free capacity"),
        (rerun_time, rerun),
        (
            starting_time + run - history.critical_path,
            "ran longer than declared, or its tasks ran one after another",
        ),
        (ended - tasks_ended, "end recorded late"),
    ];
    let longest = phases.iter().max_by(|one, other| one.0.total_cmp(&other.0));
    longest.map_or("", |(_, main_cause)| *main_cause)
}

impl DayLog {
    /// Mean work of the ended jobs, in core-seconds, by priority.
    fn mean_work(&self) -> BTreeMap<usize, f64> {
        let mut sums: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for history in self.jobs.values().filter(|history| history.ended.is_some()) {
            let sum = sums.entry(history.priority).or_default();
            sum.0 += history.work;
            sum.1 += 1.0;
        }
        let means = sums.into_iter();
        means
            .map(|(priority, (work, jobs))| (priority, work / jobs))
            .collect()
    }

    /// Estimates the jobs without a logged end, because only the log line of the
    /// end names priority, objective and work. Each gets the priority and objective
    /// of an ended job of its queue, and the mean work of that priority. If no job
    /// of its queue has ended, it counts as priority 0, which most jobs have.
    fn estimate_unfinished(&mut self) {
        let ended = self.jobs.values().filter(|history| history.ended.is_some());
        let ended_jobs: Vec<(String, JobHistory)> = ended
            .map(|history| (history.queue.clone(), history.clone()))
            .collect();
        let means = self.mean_work();
        for history in self
            .jobs
            .values_mut()
            .filter(|history| history.ended.is_none())
        {
            let similar = ended_jobs.iter().find(|(queue, _)| *queue == history.queue);
            let similar = similar.or(ended_jobs.iter().find(|(_, one)| one.priority == 0));
            if let Some((_, similar)) = similar {
                history.priority = similar.priority;
                history.objective = similar.objective;
                history.work = means.get(&similar.priority).copied().unwrap_or_default();
            }
        }
    }
}
