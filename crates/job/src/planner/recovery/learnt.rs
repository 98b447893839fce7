//! What an owner has learnt of workers and organisations, for its successor.
//!
//! Load: the owner changes while the pool is full. A successor that takes all workers for equally
//! fast places urgent work on slow ones until each has completed several runs. Another incarnation
//! of a worker may have another speed, so a speed is used only for the incarnation that it was
//! learnt of.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::IncarnationId;
use crate::LearntSpeed;
use crate::LearntState;
use crate::WorkerId;
use crate::planner::Planner;
use crate::planner::state::roster::WorkerState;
use crate::planner::times::factor::Factor;

/// Speeds of a former owner that no worker has got yet.
#[derive(Debug, Default)]
pub(crate) struct RestoredSpeeds(HashMap<WorkerId, (IncarnationId, Factor)>);

impl Planner {
    /// Returns what a successor continues with. Speeds that say most come first: those that differ
    /// most from others, by the weight of their observations. Workers that report no incarnation
    /// are left out.
    #[must_use]
    pub fn learnt_state(&self) -> LearntState {
        let workers = self.workers.values();
        let mut speeds: Vec<LearntSpeed> = workers.filter_map(learnt_speed).collect();
        speeds.sort_by_cached_key(|speed| {
            let factor = u32::from(speed.log_factor.unsigned_abs());
            let evidence = factor * u32::from(speed.weight);
            (Reverse(evidence), speed.worker.clone())
        });
        LearntState {
            speeds,
            usage: self.learnt_usage(),
        }
    }

    /// Continues with what a former owner has learnt. To be called before any worker is added.
    pub fn restore_learnt_state(&mut self, state: &LearntState) {
        for learnt in &state.speeds {
            if let Some(incarnation) = learnt.incarnation {
                let factor = Factor::restored(learnt.log_factor, learnt.weight);
                let restored = &mut self.restored_speeds.0;
                restored.insert(learnt.worker.clone(), (incarnation, factor));
            }
        }
        self.restore_usage(&state.usage);
    }

    /// Gives a worker that is about to be added the speed that a former owner has learnt of the
    /// same incarnation.
    pub(crate) fn restore_speed(&mut self, worker: &mut WorkerState) {
        let restored = &mut self.restored_speeds.0;
        let Some(&(incarnation, factor)) = restored.get(&worker.info.id) else {
            return;
        };
        if worker.info.incarnation == Some(incarnation) {
            worker.factor = factor;
            restored.remove(&worker.info.id);
        }
    }
}

/// Returns the learnt speed of a worker; `None` if there is none, or if its incarnation is unknown.
fn learnt_speed(worker: &WorkerState) -> Option<LearntSpeed> {
    let incarnation = worker.info.incarnation?;
    let (log_factor, weight) = worker.factor.learnt();
    (weight > 0).then(|| LearntSpeed {
        worker: worker.info.id.clone(),
        incarnation: Some(incarnation),
        log_factor,
        weight,
    })
}
