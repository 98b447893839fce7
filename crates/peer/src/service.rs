//! Trait for the service that a process offers to the other processes.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Handles the calls of other processes.
pub trait Service: Clone + Send + Sync + 'static {
    /// Type of the requests.
    type Request: DeserializeOwned + Serialize + Send + Sync;
    /// Type of the replies.
    type Reply: Serialize + DeserializeOwned + Send + Sync;

    /// Handles one call.
    fn answer(&self, request: Self::Request) -> impl Future<Output = Self::Reply> + Send;
}
