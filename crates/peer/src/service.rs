//! What a process offers to the others.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Answers the calls of other processes.
pub trait Service: Clone + Send + Sync + 'static {
    /// What may be asked.
    type Request: DeserializeOwned + Serialize + Send + Sync;
    /// What comes back.
    type Reply: Serialize + DeserializeOwned + Send + Sync;

    /// Answers one call.
    fn answer(&self, request: Self::Request) -> impl Future<Output = Self::Reply> + Send;
}
