//! Repeated jobs whose rounds overlap, owners with clocks that differ, and jobs that a successor
//! reads late.

use std::time::Duration;

use job::JobId;
use job::JobSpec;
use job::Schedule;
use job::TaskKey;

use super::EventSim;

/// Wall-clock time at the start of the simulation, since 1970.
const ORIGIN: Duration = Duration::from_secs(10);

/// How far the clocks of some owners are behind.
const CLOCK_LAG: Duration = Duration::from_millis(400);

/// Time between two rounds of a job.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time after a take-over within which the successor has read all jobs. A former owner may have
/// started jobs that were accepted after the successor's first read.
const READ_TIME: Duration = Duration::from_secs(1);

/// Jobs that the current owner has not read yet.
#[derive(Debug, Default)]
pub(super) struct Repeated {
    unread: Vec<JobId>,
    read_by: Duration,
}

impl EventSim {
    /// Makes the jobs that are submitted from now on repeated.
    pub fn with_repeated_jobs(mut self) -> EventSim {
        self.repeated = Some(Repeated::default());
        self.take_over();
        self
    }

    /// Returns the wall-clock time at which the simulation began by the clock of the current owner.
    pub(super) fn owner_origin(&self) -> Duration {
        let behind = self.repeated.is_some() && self.epoch.is_multiple_of(2);
        let lag = if behind { CLOCK_LAG } else { Duration::ZERO };
        ORIGIN.saturating_sub(lag)
    }

    /// Gives a job one to four rounds, the first of which is due now.
    pub(super) fn schedule(&self, spec: &mut JobSpec, pick: u8) {
        spec.schedule = self.repeated.as_ref().map(|_| Schedule {
            rounds: u32::from(pick % 4) + 1,
            first: ORIGIN + self.now,
            interval: INTERVAL,
        });
    }

    /// Returns whether the new owner reads a job only later. It has no progress in the store yet.
    pub(super) fn reads_late(&mut self, id: JobId) -> bool {
        let stored = self.stored.contains_key(&id);
        let read_by = self.now + READ_TIME;
        let Some(repeated) = self.repeated.as_mut().filter(|_| !stored) else {
            return false;
        };
        repeated.read_by = read_by;
        repeated.unread.push(id);
        true
    }

    /// Returns whether the current owner has read a job.
    pub(super) fn has_read(&self, id: JobId) -> bool {
        let repeated = self.repeated.as_ref();
        repeated.is_none_or(|repeated| !repeated.unread.contains(&id))
    }

    /// Reads the feed of job rows, unless the owner still lacks jobs that were accepted earlier.
    pub(super) fn follow_jobs(&mut self) {
        let repeated = self.repeated.as_ref();
        if repeated.is_none_or(|repeated| repeated.unread.is_empty()) {
            self.planner.record_jobs_read(self.now);
        }
    }

    /// Reads the jobs that the owner has not read yet.
    pub(super) fn read_jobs(&mut self) {
        let Some(repeated) = self.repeated.as_mut() else {
            return;
        };
        let unread = std::mem::take(&mut repeated.unread);
        self.planner.advance(self.now);
        for id in unread {
            self.planner
                .add_job(id, self.jobs[&id].clone(), None, false);
        }
        self.planner.record_jobs_read(self.now);
    }

    /// Reads the jobs that the owner must have read by now.
    pub(super) fn read_due_jobs(&mut self) {
        let due = |repeated: &Repeated| repeated.read_by <= self.now;
        if self.repeated.as_ref().is_some_and(due) {
            self.read_jobs();
        }
    }

    /// Checks that a round has begun when a task of it starts.
    pub(super) fn check_due(&self, task: TaskKey) {
        let schedule = self.jobs[&task.step.job].schedule;
        let due = schedule.map_or(Duration::ZERO, |schedule| schedule.due(task.step.round));
        assert!(due <= ORIGIN + self.now, "{task} was started too early");
    }
}
