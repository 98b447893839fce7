//! What must hold in the world after each step.

use super::SLOTS;
use super::World;
use super::facts::is_idempotent;

impl World {
    /// What must hold after each step.
    pub fn check(&self) {
        for (worker, state) in self.workers.iter().enumerate() {
            let running = state.running();
            assert!(running <= SLOTS as usize, "worker {worker} runs {running}");
        }
        for (key, count) in &self.starts {
            assert!(
                *count <= 1 || is_idempotent(key),
                "{key} ran twice: {}",
                self.story(key)
            );
            assert!(
                !self.not_run.contains(key),
                "{key} ran, but was said not to: {}",
                self.story(key)
            );
        }
    }

    /// Steps, and what concerns one request.
    fn story(&self, key: &str) -> String {
        let told = |line: &&String| !line.starts_with(' ') || line.contains(&key[7..]);
        let lines: Vec<&str> = self
            .history
            .iter()
            .filter(told)
            .map(String::as_str)
            .collect();
        lines.join("\n")
    }
}
