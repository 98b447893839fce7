//! Invariants that are checked after each step.

use super::SLOTS;
use super::Simulation;
use super::fixtures::is_idempotent;

impl Simulation {
    /// Checks that no worker exceeds its slots, that no request runs twice unless
    /// it is idempotent, and that no request that ran was answered "not run".
    pub fn check_invariants(&self) {
        for (worker, state) in self.workers.iter().enumerate() {
            let running = state.running();
            assert!(running <= SLOTS as usize, "worker {worker} runs {running}");
        }
        for (key, count) in &self.starts {
            assert!(
                *count <= 1 || is_idempotent(key),
                "{key} ran twice: {}",
                self.trace(key)
            );
            assert!(
                !self.not_run.contains(key),
                "{key} ran, but was answered \"not run\": {}",
                self.trace(key)
            );
        }
    }

    /// All steps, with the inputs and outputs that mention one request.
    fn trace(&self, key: &str) -> String {
        // Without the prefix `stores/`, the key is the id of the request.
        let is_relevant = |line: &&String| !line.starts_with(' ') || line.contains(&key[7..]);
        let lines: Vec<&str> = self
            .history
            .iter()
            .filter(is_relevant)
            .map(String::as_str)
            .collect();
        lines.join("\n")
    }
}
