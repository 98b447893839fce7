//! What all relays share: a door for clients, a plan, and a count of bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// A relay towards one server; its plan says what becomes of what passes.
#[derive(Debug)]
pub struct RelayHandle<P> {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    plan: watch::Sender<P>,
}

impl<P: Default> RelayHandle<P> {
    /// A relay whose clients come to `address`, and what its tasks see of it.
    pub(crate) fn with_context(address: SocketAddr) -> (RelayHandle<P>, RelayContext<P>) {
        let (plan, changes) = watch::channel(P::default());
        let bytes = Arc::new(AtomicU64::new(0));
        let context = RelayContext {
            plan: changes,
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
    /// Where clients reach it.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes received so far, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Changes the plan.
    pub fn set_plan(&self, plan: P) {
        self.plan.send_replace(plan);
    }
}

/// What a task of a relay sees of it.
#[derive(Clone, Debug)]
pub(crate) struct RelayContext<P> {
    /// The plan, and its changes.
    pub(crate) plan: watch::Receiver<P>,
    bytes: Arc<AtomicU64>,
}

impl<P: Copy> RelayContext<P> {
    /// The plan as it is now.
    pub(crate) fn current_plan(&self) -> P {
        *self.plan.borrow()
    }

    /// Counts what was received.
    pub(crate) fn count_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
