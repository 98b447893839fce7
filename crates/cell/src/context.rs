//! What every task of a process needs.

use std::hash::BuildHasher;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use job::Config;
use job::Epoch;
use platform::OrderClient;
use platform::Store;
use platform::StoreError;
use tokio::sync::watch;
use web::Client;

use crate::CellMetrics;
use crate::CellSettings;
use crate::OwnershipView;

/// Longest wait for a connection; within a region one takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The same to a worker, over a link of the owner that may be full.
const WORKER_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What every task of a process needs.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings.
    pub settings: Arc<CellSettings>,
    /// Run of this process; differs from all others.
    pub incarnation: u64,
    /// The platform's store.
    pub store: Store,
    /// Orders to workers.
    pub commands: OrderClient,
    /// Connections to peers and to the advice service.
    pub client: Client,
    /// Newest configuration; none before the first was read.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// Who owns the pool, as far as known.
    pub ownership: watch::Receiver<OwnershipView>,
    /// Counters and latencies.
    pub metrics: Arc<CellMetrics>,
    /// Turns true when the process has been asked to stop.
    pub stop: watch::Receiver<bool>,
    /// Owner whose process seems to have ended, by its epoch; 0 for none.
    suspected_owner: Arc<AtomicU64>,
    /// When the newest read of the configuration began that was answered, in
    /// milliseconds of the process's clock.
    config_confirmed: Arc<AtomicU64>,
    /// Origin of the process's monotonic clock.
    origin: Instant,
}

impl Context {
    /// The context of a process that starts now.
    #[must_use]
    pub fn new(
        settings: CellSettings,
        config: watch::Receiver<Option<Arc<Config>>>,
        ownership: watch::Receiver<OwnershipView>,
        stop: watch::Receiver<bool>,
    ) -> Context {
        let store = Store::new(Client::new(CONNECT_TIMEOUT), settings.store);
        Context {
            settings: Arc::new(settings),
            incarnation: std::hash::RandomState::new().build_hasher().finish(),
            store,
            commands: OrderClient::new(Client::new(WORKER_CONNECT_TIMEOUT)),
            client: Client::new(CONNECT_TIMEOUT),
            config,
            ownership,
            metrics: Arc::default(),
            stop,
            suspected_owner: Arc::default(),
            config_confirmed: Arc::default(),
            origin: Instant::now(),
        }
    }

    /// Monotonic time since the process started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Wall-clock time since 1970; it may jump.
    #[must_use]
    pub fn wall_time(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    /// The owner of an epoch has broken a call off: its process may have ended.
    pub fn suspect_owner(&self, epoch: Epoch) {
        self.suspected_owner.store(epoch, Ordering::Relaxed);
    }

    /// Whether the owner of an epoch seems to have ended.
    #[must_use]
    pub fn is_owner_suspected(&self, epoch: Epoch) -> bool {
        self.suspected_owner.load(Ordering::Relaxed) == epoch
    }

    /// The configuration in force was the newest at `read_started`.
    pub fn confirm_config(&self, read_started: Duration) {
        let read_started = u64::try_from(read_started.as_millis()).unwrap_or(u64::MAX);
        self.config_confirmed.store(read_started, Ordering::Relaxed);
    }

    /// Time since the configuration in force was known to be the newest.
    #[must_use]
    pub fn config_age(&self) -> Duration {
        let read_started = Duration::from_millis(self.config_confirmed.load(Ordering::Relaxed));
        self.now().saturating_sub(read_started)
    }

    /// Whether the store does not answer this process.
    #[must_use]
    pub fn store_unreachable(&self) -> bool {
        self.ownership.borrow().unreachable_since.is_some()
    }

    /// Waits until the store does not answer this process any more.
    pub async fn wait_unreachable(&self) {
        let mut ownership = self.ownership.clone();
        if ownership
            .wait_for(|view| view.unreachable_since.is_some())
            .await
            .is_err()
        {
            // The keeper is gone: the process is about to end.
            std::future::pending::<()>().await;
        }
    }

    /// Gives up a call to the store once the store is back from a silence:
    /// what was sent before may never be answered. Waited out, the write of
    /// ends took up to 1.6 s longer.
    ///
    /// # Errors
    /// Those of the call, or [`StoreError::Abandoned`].
    pub async fn until_recovery<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let recovered = async {
            self.wait_unreachable().await;
            let mut ownership = self.ownership.clone();
            if ownership
                .wait_for(|view| view.unreachable_since.is_none())
                .await
                .is_err()
            {
                // The keeper is gone: the process is about to end.
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            result = call => result,
            () = recovered => Err(StoreError::Abandoned),
        }
    }

    /// Whether the process has been asked to stop.
    #[must_use]
    pub fn stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Waits until the process is asked to stop.
    pub async fn stopped(&self) {
        let mut stop = self.stop.clone();
        // A vanished sender counts as a stop.
        let _ = stop.wait_for(|stop| *stop).await;
    }
}
