//! Waiting jobs, ordered by class, then by team, then by rank.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use model::Class;

use crate::JobKey;
use crate::TeamKey;
use crate::Timestamp;

/// Waiting jobs of one class, by team and rank.
#[derive(Debug, Default)]
pub struct ClassQueue {
    teams: BTreeMap<TeamKey, BTreeSet<(u64, JobKey)>>,
    /// Set when none of the jobs at the heads of the queues could be placed,
    /// cleared when that may have changed: resources were freed, or workers,
    /// grants or the policy have changed. Without it every new job in a full
    /// cell would scan all workers again.
    blocked: bool,
}

/// All waiting jobs of one scheduling core.
#[derive(Debug, Default)]
pub struct Queues {
    classes: BTreeMap<Class, ClassQueue>,
    /// Latest start time of each waiting job, earliest first.
    deadlines: BTreeSet<(Timestamp, JobKey)>,
    /// New jobs of blocked classes; one placement is attempted for each.
    untried: Vec<JobKey>,
}

impl Queues {
    pub(crate) fn push(&mut self, class: Class, team: TeamKey, position: QueuePosition) {
        let queue = self.classes.entry(class).or_default();
        queue
            .teams
            .entry(team)
            .or_default()
            .insert((position.rank, position.job));
        self.deadlines.insert((position.deadline, position.job));
    }

    pub(crate) fn remove(&mut self, class: Class, team: TeamKey, position: &QueuePosition) {
        self.deadlines.remove(&(position.deadline, position.job));
        let Some(queue) = self.classes.get_mut(&class) else {
            return;
        };
        let Some(jobs) = queue.teams.get_mut(&team) else {
            return;
        };
        jobs.remove(&(position.rank, position.job));
        if jobs.is_empty() {
            queue.teams.remove(&team);
        }
    }

    /// Schedules one placement attempt for a new job of a blocked class, if it
    /// is among the first `depth` of its team. Later ones are tried when they
    /// reach the head of the queue.
    pub(crate) fn note_untried(&mut self, class: Class, team: TeamKey, job: JobKey, depth: usize) {
        let Some(queue) = self.classes.get(&class).filter(|queue| queue.blocked) else {
            return;
        };
        let waiting = queue.teams.get(&team).map_or(0, BTreeSet::len);
        if waiting <= depth {
            self.untried.push(job);
        }
    }

    pub(crate) fn take_untried(&mut self) -> Vec<JobKey> {
        std::mem::take(&mut self.untried)
    }

    /// Classes with waiting jobs that are not blocked, the most urgent first.
    pub(crate) fn unblocked_classes(&self) -> Vec<Class> {
        let is_unblocked = |queue: &ClassQueue| !queue.blocked && !queue.teams.is_empty();
        self.classes
            .iter()
            .filter(|(_, queue)| is_unblocked(queue))
            .map(|(class, _)| *class)
            .collect()
    }

    /// Teams that have waiting jobs of a class.
    pub(crate) fn teams(&self, class: Class) -> Vec<TeamKey> {
        let queue = self.classes.get(&class);
        queue
            .map(|class_queue| class_queue.teams.keys().copied().collect())
            .unwrap_or_default()
    }

    /// The first `limit` waiting jobs of a team in a class.
    pub(crate) fn heads(&self, class: Class, team: TeamKey, limit: usize) -> Vec<JobKey> {
        self.classes
            .get(&class)
            .and_then(|queue| queue.teams.get(&team))
            .map(|jobs| jobs.iter().take(limit).map(|(_, job)| *job).collect())
            .unwrap_or_default()
    }

    pub(crate) fn block(&mut self, class: Class) {
        if let Some(queue) = self.classes.get_mut(&class) {
            queue.blocked = true;
        }
    }

    pub(crate) fn unblock(&mut self) {
        for queue in self.classes.values_mut() {
            queue.blocked = false;
        }
    }

    /// Jobs whose latest start time is before `now`.
    pub(crate) fn overdue(&self, now: Timestamp) -> Vec<JobKey> {
        self.deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline < now)
            .map(|(_, job)| *job)
            .collect()
    }

    /// The earliest deadline of all waiting jobs.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether no job is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }
}

/// Position of a job in the queues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuePosition {
    pub(crate) rank: u64,
    pub(crate) deadline: Timestamp,
    pub(crate) job: JobKey,
}
