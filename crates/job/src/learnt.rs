//! What an owner has learnt and its successor continues with. Losing it costs time, never safety.

use serde::Deserialize;
use serde::Serialize;

use crate::IncarnationId;
use crate::OrganisationName;
use crate::WorkerId;

/// What an owner has learnt of workers and organisations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearntState {
    /// Speeds of workers.
    pub speeds: Vec<LearntSpeed>,
    /// Recent use of the pool by organisations. This field and those after it must stay the last ones,
    /// in this order: earlier versions decode only the fields that they know.
    pub usage: Vec<LearntUsage>,
}

/// Learnt speed of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearntSpeed {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Incarnation that the speed was learnt of; another one may have another speed.
    pub incarnation: Option<IncarnationId>,
    /// Logarithm of the factor on run times, in hundredths; above 0 if the worker is slower than
    /// others.
    pub log_factor: i16,
    /// Weight of the observations, in runs.
    pub weight: u8,
}

/// Recent use of the pool by an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearntUsage {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// Decayed work of its runs, in seconds of one core.
    pub work: u64,
}
