//! Quarantines workers on which every task fails.
//!
//! A worker whose tasks fail at once always has free capacity and so attracts
//! all work (a "black hole"). It is recognised by distinct jobs that fail on it
//! with no success in between, and then gets one probe task at a time until a
//! probe succeeds.

/// Consecutive failures of distinct jobs after which a worker is quarantined.
pub const QUARANTINE_FAILURES: u32 = 4;

/// Health of a worker, judged by the results of its recent tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Number of failures since the last success.
    failures: u32,
    quarantined: bool,
    /// Whether a probe task may start; false again when a task has ended.
    probe: bool,
}

/// Change of a worker's quarantine after the end of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The worker stays in or out of quarantine.
    None,
    /// The worker has just been quarantined.
    Quarantined,
    /// The worker has left quarantine.
    Restored,
}

impl Health {
    /// Whether another task may start while `tasks` are running.
    #[must_use]
    pub fn admits(&self, tasks: u32) -> bool {
        !self.quarantined || (self.probe && tasks == 0)
    }

    /// Whether the worker is quarantined.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.quarantined
    }

    /// Allows a quarantined worker to run one probe task.
    pub fn allow_probe(&mut self) {
        self.probe = true;
    }

    /// Records the result of a task. `may_quarantine` is false when too many
    /// workers are quarantined already: the jobs are then the more likely
    /// cause, and the cell must not lose its remaining workers.
    pub fn record(&mut self, succeeded: bool, may_quarantine: bool) -> HealthChange {
        self.probe = false;
        if succeeded {
            self.failures = 0;
            return if std::mem::take(&mut self.quarantined) {
                HealthChange::Restored
            } else {
                HealthChange::None
            };
        }
        self.failures = self.failures.saturating_add(1);
        if self.quarantined || self.failures < QUARANTINE_FAILURES || !may_quarantine {
            return HealthChange::None;
        }
        self.quarantined = true;
        HealthChange::Quarantined
    }
}

#[cfg(test)]
mod tests {
    use super::Health;
    use super::HealthChange;
    use super::QUARANTINE_FAILURES;

    #[test]
    fn a_success_between_failures_prevents_quarantine() {
        let mut health = Health::default();

        for _ in 0..QUARANTINE_FAILURES {
            health.record(false, true);
            health.record(true, true);
        }

        assert!(!health.is_quarantined());
    }

    #[test]
    fn a_successful_probe_ends_quarantine() {
        let mut health = Health::default();
        for _ in 0..QUARANTINE_FAILURES {
            health.record(false, true);
        }

        health.allow_probe();
        let admitted = health.admits(0);
        let change = health.record(true, true);

        assert!(admitted);
        assert_eq!(change, HealthChange::Restored);
    }
}
