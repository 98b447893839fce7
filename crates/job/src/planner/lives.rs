//! Lives of workers: one ends when another answers under the id.
//!
//! A worker may start again under its id. It then holds and knows nothing of before, and
//! its clock and the numbers of its ends start anew. So everything that is known of a
//! worker is kept by the key of its life, and dropped with it. What ends a life is the
//! list of runs of another one, in answer to a call that was sent after the life was last
//! heard of: nothing else shows which of the two is the newer one. Registrations are read
//! late, and the times of their starts go back with the clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use strum::Display;

use super::Loss;
use super::Order;
use super::Planner;
use super::WorkerKey;
use super::job_state::Phase;
use super::roster::Placed;
use super::roster::RunPhase;
use super::roster::WorkerState;
use crate::IncarnationId;
use crate::Resources;
use crate::RunId;
use crate::STORE_WINDOW;
use crate::TaskKey;
use crate::WorkerId;
use crate::WorkerInfo;
use crate::WorkerReport;

/// Lives of a worker that are remembered as over, the newest ones: answers and
/// registrations of older ones are not expected any more.
const MOST_OVER: usize = 16;

/// Which life of a worker a list of runs is of.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum LifeSeen {
    /// The one that is known.
    Known,
    /// A newer one: the one that is known is over.
    Next,
    /// One that is over, or may be: it tells nothing.
    Past,
    /// It does not say, though the worker's registration does: it tells nothing.
    Unnamed,
}

/// Lives that are over, by worker.
#[derive(Debug, Default)]
pub(super) struct PastLives(HashMap<WorkerId, Vec<IncarnationId>>);

impl PastLives {
    fn add(&mut self, id: &str, life: Option<IncarnationId>) {
        let Some(life) = life else { return };
        let lives = self.0.entry(id.to_owned()).or_default();
        if lives.len() == MOST_OVER {
            lives.remove(0);
        }
        lives.push(life);
    }

    pub(super) fn has(&self, id: &str, life: Option<IncarnationId>) -> bool {
        let lives = self.0.get(id);
        life.is_some_and(|life| lives.is_some_and(|lives| lives.contains(&life)))
    }
}

impl Planner {
    /// Which life of the worker a list of runs is of that was asked for at `sent`.
    #[must_use]
    pub fn life_seen(&self, key: WorkerKey, sent: Duration, listing: &WorkerReport) -> LifeSeen {
        let Some(worker) = self.workers.get(key) else {
            return LifeSeen::Past;
        };
        let known = worker.info.incarnation;
        match listing.incarnation {
            life if life == known => LifeSeen::Known,
            None => LifeSeen::Unnamed,
            // A row of an earlier version does not tell the life.
            Some(_) if known.is_none() && worker.heard == Duration::ZERO => LifeSeen::Known,
            // Answers overtake each other.
            Some(_) if sent < worker.heard => LifeSeen::Past,
            life if self.past.has(&worker.info.id, life) => LifeSeen::Past,
            Some(_) => LifeSeen::Next,
        }
    }

    /// The worker has started again under its id: its former life is over, and with it
    /// what ran there. A start that the former life has not confirmed may have reached the
    /// new one, or may reach it yet: it stays booked until the new life has refused it.
    pub(super) fn succeed(&mut self, key: WorkerKey, sent: Duration, listing: &WorkerReport) {
        let now = self.now;
        let longest = self.policy.longest_lapse();
        let worker = &mut self.workers[key];
        let (id, life) = (worker.info.id.clone(), worker.info.incarnation);
        let inherited = worker.inherited && !worker.claimed;
        let heir = worker.heir.take().map(|(info, _)| info);
        let registered = heir.filter(|info| info.incarnation == listing.incarnation);
        let gone = registered.is_none();
        let info = registered.unwrap_or_else(|| unregistered(&worker.info, listing));
        let moving = moving_runs(worker, sent, listing);
        let moved: Vec<(TaskKey, Placed)> = moving
            .into_iter()
            .filter_map(|(task, run)| Some((task, worker.release(task, run)?)))
            .collect();
        let left = worker.info.draining;
        let cause = if left { Loss::Left } else { Loss::Crashed };
        self.end_life(key, cause, moved.len());
        self.past.add(&id, life);
        let mut next = WorkerState::new(info, now + STORE_WINDOW + longest);
        next.inherited = inherited;
        next.gone = gone;
        let next = self.workers.insert(next);
        self.by_id.insert(id, next);
        for (task, placed) in moved {
            self.move_run(next, task, placed);
        }
        self.orders.push(Order::Begin { worker: next });
    }

    /// Books a run on the new life of its worker that may have reached it.
    fn move_run(&mut self, next: WorkerKey, task: TaskKey, mut placed: Placed) {
        placed.phase = RunPhase::Unknown;
        placed.since = self.now;
        placed.moved = self.now;
        placed.unsure = self.unsure(next);
        let run = placed.run;
        let job = self.jobs.get_mut(&task.step.job);
        let step = job.and_then(|job| job.step_mut(task.step));
        let state = step.and_then(|(_, step)| step.tasks.get_mut(task.index as usize));
        if let Some(state) = state
            && matches!(state.phase, Phase::Active(_, active) if active == run)
        {
            state.phase = Phase::Active(next, run);
        }
        self.workers[next].book(task, placed);
    }

    /// Silent workers that have registered as another life, and where that is reached.
    #[must_use]
    pub fn moved(&self) -> Vec<(WorkerKey, SocketAddr)> {
        let workers = self.workers.iter();
        let silent = workers.filter(|(_, worker)| worker.silent);
        silent
            .filter_map(|(key, worker)| Some((key, worker.heir.as_ref()?.0.address)))
            .collect()
    }

    /// Whether a registration is of another life than the one that is known. Whether that
    /// one is over, the list of runs of the other will tell.
    pub(super) fn of_other_life(&self, key: WorkerKey, info: &WorkerInfo) -> bool {
        let worker = &self.workers[key];
        let known = worker.info.incarnation;
        known != info.incarnation && (known.is_some() || worker.heard > Duration::ZERO)
    }
}

/// What is known of a life before its registration is read: not its room, so it gets no
/// work.
fn unregistered(former: &WorkerInfo, listing: &WorkerReport) -> WorkerInfo {
    WorkerInfo {
        incarnation: listing.incarnation,
        capacity: Resources::default(),
        draining: false,
        remaining: None,
        ..former.clone()
    }
}

/// Runs that are on the new life of their worker, or may come to be: those that it lists,
/// and those that the former one has not confirmed before the list was asked for.
fn moving_runs(
    worker: &WorkerState,
    sent: Duration,
    listing: &WorkerReport,
) -> Vec<(TaskKey, RunId)> {
    let running = listing.running.iter().map(|run| (run.task, run.run));
    let ended = listing.ended.iter().map(|end| (end.task, end.run));
    let listed: HashMap<TaskKey, RunId> = running.chain(ended).collect();
    let runs = worker.runs.iter();
    let moving = runs.filter(|(task, placed)| {
        let confirmed = matches!(placed.phase, RunPhase::Running | RunPhase::Stopped);
        let before = confirmed && placed.since < sent;
        listed.get(task) == Some(&placed.run) || !before
    });
    moving.map(|(task, placed)| (*task, placed.run)).collect()
}
