//! Incarnations of workers: one ends when another one sends a report under the same worker id.
//!
//! A worker process may start again under its id. It then has no runs and no state, and its
//! clock and the numbers of its ends start from the beginning. So the planner keeps separate
//! state for each incarnation, and drops it when the incarnation ends. An incarnation is
//! replaced when a call that was sent after its last report is answered by another one. Nothing
//! else shows which of the two is newer: registrations are read late, and the start times in
//! them may go back with the worker's clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use strum::Display;

use crate::IncarnationId;
use crate::Resources;
use crate::RunId;
use crate::STORE_WINDOW;
use crate::TaskKey;
use crate::WorkerId;
use crate::WorkerInfo;
use crate::WorkerReport;
use crate::planner::Command;
use crate::planner::LossCause;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::job_state::Phase;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;
use crate::planner::state::roster::WorkerState;

/// Number of the newest ended incarnations that are remembered per worker. Replies and
/// registrations of older ones are no longer expected.
const MAX_ENDED: usize = 16;

/// Which incarnation of a worker has sent a report.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum ReportOrigin {
    /// The current incarnation.
    #[strum(to_string = "known")]
    Current,
    /// A newer incarnation, so the current one has ended.
    #[strum(to_string = "next")]
    Newer,
    /// An incarnation that has ended or may have ended; the report is ignored.
    #[strum(to_string = "past")]
    Ended,
    /// The report names no incarnation, though the worker's registration does; it is ignored.
    Unnamed,
}

/// Newest ended incarnations of each worker, oldest first.
#[derive(Debug, Default)]
pub(crate) struct EndedIncarnations(HashMap<WorkerId, Vec<IncarnationId>>);

impl EndedIncarnations {
    /// Adds an ended incarnation, unless it is unknown.
    fn add(&mut self, id: &str, old: Option<IncarnationId>) {
        let Some(old) = old else { return };
        let ids = self.0.entry(id.to_owned()).or_default();
        if ids.len() == MAX_ENDED {
            ids.remove(0);
        }
        ids.push(old);
    }

    /// Returns whether an incarnation of a worker was recorded as ended.
    pub(crate) fn has_ended(&self, id: &str, incarnation: Option<IncarnationId>) -> bool {
        let ids = self.0.get(id);
        incarnation.is_some_and(|incarnation| ids.is_some_and(|ids| ids.contains(&incarnation)))
    }
}

impl Planner {
    /// Returns which incarnation of the worker has sent a report. `sent` is when the call was sent
    /// that the report answers.
    #[must_use]
    pub fn match_incarnation(
        &self,
        key: WorkerKey,
        sent: Duration,
        report: &WorkerReport,
    ) -> ReportOrigin {
        let Some(worker) = self.workers.get(key) else {
            return ReportOrigin::Ended;
        };
        let current = worker.info.incarnation;
        match report.incarnation {
            incarnation if incarnation == current => ReportOrigin::Current,
            None => ReportOrigin::Unnamed,
            // The stored row of a worker may be from a version that did not store incarnations.
            Some(_) if current.is_none() && worker.last_report == Duration::ZERO => {
                ReportOrigin::Current
            }
            // Replies may arrive out of order, so this one may be older than the last report.
            Some(_) if sent < worker.last_report => ReportOrigin::Ended,
            incarnation
                if self
                    .ended_incarnations
                    .has_ended(&worker.info.id, incarnation) =>
            {
                ReportOrigin::Ended
            }
            Some(_) => ReportOrigin::Newer,
        }
    }

    /// Replaces an incarnation of a worker by a newer one that has sent a report. The runs of the
    /// former one are lost, except for those that the report lists and those that were not
    /// confirmed: their starts may reach the new one, or may have reached it already. They stay
    /// booked until the new one reports their end or confirms their stop.
    pub(crate) fn replace_incarnation(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        report: &WorkerReport,
    ) {
        let now = self.now;
        let longest_lease = self.policy.max_lease_expiry();
        let worker = &mut self.workers[key];
        let (id, incarnation) = (worker.info.id.clone(), worker.info.incarnation);
        let inherited = worker.inherited && !worker.claimed;
        let next_info = worker.reregistration.take().map(|(info, _)| info);
        let registered = next_info.filter(|info| info.incarnation == report.incarnation);
        let unregistered = registered.is_none();
        let info = registered.unwrap_or_else(|| placeholder_info(&worker.info, report));
        let transferable = transferable_runs(worker, sent, report);
        let transferred: Vec<(TaskKey, PlacedRun)> = transferable
            .into_iter()
            .filter_map(|(task, run)| Some((task, self.release_run(key, task, run)?)))
            .collect();
        let drained = self.workers[key].info.draining;
        let cause = if drained {
            LossCause::Left
        } else {
            LossCause::Crashed
        };
        self.end_incarnation(key, cause, transferred.len());
        self.ended_incarnations.add(&id, incarnation);
        let mut next = WorkerState::new(info, now + STORE_WINDOW + longest_lease);
        next.inherited = inherited;
        next.unregistered = unregistered;
        let next = self.insert_worker(next);
        for (task, placed) in transferred {
            self.rebook_run(next, task, placed);
        }
        self.commands.push(Command::NewIncarnation { worker: next });
    }

    /// Books a run on the new incarnation of its worker, which may have received its start.
    fn rebook_run(&mut self, next: WorkerKey, task: TaskKey, mut placed: PlacedRun) {
        placed.phase = RunPhase::Unanswered;
        placed.phase_since = self.now;
        placed.progressed_at = self.now;
        placed.late_expiry = self.late_run_expiry(next);
        let run = placed.run;
        let job = self.jobs.get_mut(&task.step.job);
        let step = job.and_then(|job| job.step_mut(task.step));
        let state = step.and_then(|(_, step)| step.tasks.get_mut(task.index as usize));
        if let Some(state) = state
            && matches!(state.phase, Phase::Active(_, active) if active == run)
        {
            state.phase = Phase::Active(next, run);
        }
        self.book_run(next, task, placed);
    }

    /// Returns the unresponsive workers that have registered as another incarnation, each with the
    /// address in that registration.
    #[must_use]
    pub fn reregistered(&self) -> Vec<(WorkerKey, SocketAddr)> {
        let workers = self.workers.iter();
        let unresponsive = workers.filter(|(_, worker)| worker.unresponsive);
        unresponsive
            .filter_map(|(key, worker)| Some((key, worker.reregistration.as_ref()?.0.address)))
            .collect()
    }

    /// Returns whether a registration is of another incarnation than the current one. Only a
    /// report of the other one will show whether the current one has ended.
    pub(crate) fn is_other_incarnation(&self, key: WorkerKey, info: &WorkerInfo) -> bool {
        let worker = &self.workers[key];
        let current = worker.info.incarnation;
        current != info.incarnation && (current.is_some() || worker.last_report > Duration::ZERO)
    }
}

/// Returns the registration to use for an incarnation until its own is read. Its capacity is
/// zero, so the worker gets no work.
fn placeholder_info(former: &WorkerInfo, report: &WorkerReport) -> WorkerInfo {
    WorkerInfo {
        incarnation: report.incarnation,
        capacity: Resources::default(),
        draining: false,
        remaining: None,
        ..former.clone()
    }
}

/// Returns the runs that are on the new incarnation of a worker or may still reach it: those in
/// its report, and those that the former one had not confirmed when the report was requested.
fn transferable_runs(
    worker: &WorkerState,
    sent: Duration,
    report: &WorkerReport,
) -> Vec<(TaskKey, RunId)> {
    let running = report.running.iter().map(|run| (run.task, run.run));
    let ended = report.ended.iter().map(|end| (end.task, end.run));
    let listed: HashMap<TaskKey, RunId> = running.chain(ended).collect();
    let runs = worker.runs.iter();
    let transferable = runs.filter(|(task, placed)| {
        let confirmed = matches!(placed.phase, RunPhase::Running | RunPhase::Stopped);
        let confirmed_before = confirmed && placed.phase_since < sent;
        listed.get(task) == Some(&placed.run) || !confirmed_before
    });
    transferable
        .map(|(task, placed)| (*task, placed.run))
        .collect()
}
