//! Parts common to the TCP and the UDP relay: the address for clients, the fault
//! plan and the count of received bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// Handle of a running relay in front of one server. Its plan of type `P` sets
/// the faults that the relay injects.
#[derive(Debug)]
pub struct RelayHandle<P> {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    plan: watch::Sender<P>,
}

impl<P: Default> RelayHandle<P> {
    /// Creates the handle of a relay that listens on `address`, and the context
    /// for its tasks.
    pub(crate) fn with_context(address: SocketAddr) -> (RelayHandle<P>, RelayContext<P>) {
        let (plan, receiver) = watch::channel(P::default());
        let bytes = Arc::new(AtomicU64::new(0));
        let context = RelayContext {
            plan: receiver,
            bytes: bytes.clone(),
        };
        let handle = RelayHandle {
            address,
            bytes,
            plan,
        };
        (handle, context)
    }
}

impl<P> RelayHandle<P> {
    /// Address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes received so far, in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Replaces the fault plan; it takes effect at once, also on open connections.
    pub fn set_plan(&self, plan: P) {
        self.plan.send_replace(plan);
    }
}

/// State of a relay that its tasks share.
#[derive(Clone, Debug)]
pub(crate) struct RelayContext<P> {
    /// Receives the current plan and its changes.
    pub(crate) plan: watch::Receiver<P>,
    bytes: Arc<AtomicU64>,
}

impl<P: Copy> RelayContext<P> {
    /// Returns the current plan.
    pub(crate) fn current_plan(&self) -> P {
        *self.plan.borrow()
    }

    /// Adds to the count of received bytes.
    pub(crate) fn count_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
