//! Commands that a worker leaves unanswered and carries out seconds later.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Which commands a worker leaves unanswered, and when it carries them out.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayPlan {
    /// Fraction of the start commands that is left unanswered, 0 to 1.
    pub starts: f64,
    /// Fraction of the stop commands that is left unanswered, 0 to 1.
    pub stops: f64,
    /// Fraction of the lease renewals that is left unanswered, 0 to 1.
    pub renewals: f64,
    /// Shortest time until a command is carried out.
    pub min_delay: Duration,
    /// Longest time until a command is carried out.
    pub max_delay: Duration,
}

/// A command that was left unanswered.
#[derive(Debug)]
pub(crate) struct DelayedCommand {
    due: Instant,
    pub(crate) path: String,
    pub(crate) body: Value,
}

/// Commands that a worker has left unanswered and not carried out yet.
#[derive(Debug, Default)]
pub(crate) struct DelayedCommands {
    plan: DelayPlan,
    random_state: u64,
    pending: Vec<DelayedCommand>,
}

impl DelayedCommands {
    pub(crate) fn set_plan(&mut self, plan: DelayPlan) {
        self.plan = plan;
    }

    /// Defers a command if the plan selects it; returns whether it did.
    pub(crate) fn defer(&mut self, path: &str, body: &Value) -> bool {
        let fraction = match path {
            "/-/run-start" => self.plan.starts,
            "/-/run-stop" => self.plan.stops,
            _ => self.plan.renewals,
        };
        if self.next_random() >= fraction {
            return false;
        }
        let spread = self.plan.max_delay.saturating_sub(self.plan.min_delay);
        let delay = self.plan.min_delay + spread.mul_f64(self.next_random());
        self.pending.push(DelayedCommand {
            due: Instant::now() + delay,
            path: path.to_owned(),
            body: body.clone(),
        });
        true
    }

    /// Removes and returns the command that was due first, if any is due.
    pub(crate) fn take_due(&mut self) -> Option<DelayedCommand> {
        let now = Instant::now();
        let due = self.pending.iter().enumerate();
        let due = due.filter(|(_, command)| command.due <= now);
        let (index, _) = due.min_by_key(|(_, command)| command.due)?;
        Some(self.pending.swap_remove(index))
    }

    /// Returns the number of deferred start commands.
    pub(crate) fn starts(&self) -> usize {
        let starts = self.pending.iter();
        starts
            .filter(|command| command.path == "/-/run-start")
            .count()
    }

    /// Returns the number of deferred lease renewals, which have the path `/-/hold`.
    pub(crate) fn renewals(&self) -> usize {
        let renewals = self.pending.iter();
        renewals.filter(|command| command.path == "/-/hold").count()
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Returns a pseudo-random number from 0 to below 1, drawn by a linear congruential generator.
    /// The sequence is the same for each worker and in each test run.
    fn next_random(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let high = u32::try_from(self.random_state >> 32).unwrap_or(u32::MAX);
        f64::from(high) / (f64::from(u32::MAX) + 1.0)
    }
}
