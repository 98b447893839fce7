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
use platform::CommandClient;
use platform::Store;
use platform::StoreError;
use tokio::sync::watch;
use web::Client;

use crate::CellMetrics;
use crate::CellSettings;
use crate::SeatView;

/// Longest wait for a connection; within a region one takes milliseconds.
const CONNECT: Duration = Duration::from_millis(300);

/// The same to a worker, over a link of the owner that may be full.
const WORKER_CONNECT: Duration = Duration::from_secs(1);

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
    pub orders: CommandClient,
    /// Connections to peers and to the advice service.
    pub client: Client,
    /// Newest configuration; none before the first was read.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// Who owns the pool, as far as known.
    pub seat: watch::Receiver<SeatView>,
    /// Counters and latencies.
    pub metrics: Arc<CellMetrics>,
    /// Turns true when the process has been asked to stop.
    pub stop: watch::Receiver<bool>,
    /// Owner whose process seems to have ended, by its epoch; 0 for none.
    suspected: Arc<AtomicU64>,
    /// When the newest read of the configuration began that was answered, in
    /// milliseconds of the process's clock.
    configured: Arc<AtomicU64>,
    /// Origin of the process's monotonic clock.
    origin: Instant,
}

impl Context {
    /// The context of a process that starts now.
    #[must_use]
    pub fn new(
        settings: CellSettings,
        config: watch::Receiver<Option<Arc<Config>>>,
        seat: watch::Receiver<SeatView>,
        stop: watch::Receiver<bool>,
    ) -> Context {
        let store = Store::new(Client::new(CONNECT), settings.store);
        Context {
            settings: Arc::new(settings),
            incarnation: std::hash::RandomState::new().build_hasher().finish(),
            store,
            orders: CommandClient::new(Client::new(WORKER_CONNECT)),
            client: Client::new(CONNECT),
            config,
            seat,
            metrics: Arc::default(),
            stop,
            suspected: Arc::default(),
            configured: Arc::default(),
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
    pub fn wall(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    /// The owner of an epoch has broken a call off: its process may have ended.
    pub fn suspect(&self, epoch: Epoch) {
        self.suspected.store(epoch, Ordering::Relaxed);
    }

    /// Whether the owner of an epoch seems to have ended.
    #[must_use]
    pub fn suspects(&self, epoch: Epoch) -> bool {
        self.suspected.load(Ordering::Relaxed) == epoch
    }

    /// The configuration in force was the newest at `begun`.
    pub fn confirm_config(&self, begun: Duration) {
        let begun = u64::try_from(begun.as_millis()).unwrap_or(u64::MAX);
        self.configured.store(begun, Ordering::Relaxed);
    }

    /// Time since the configuration in force was known to be the newest.
    #[must_use]
    pub fn config_age(&self) -> Duration {
        let begun = Duration::from_millis(self.configured.load(Ordering::Relaxed));
        self.now().saturating_sub(begun)
    }

    /// Whether the store does not answer this process.
    #[must_use]
    pub fn store_silent(&self) -> bool {
        self.seat.borrow().silent.is_some()
    }

    /// Waits until the store does not answer this process any more.
    pub async fn wait_silent(&self) {
        let mut seat = self.seat.clone();
        if seat.wait_for(|view| view.silent.is_some()).await.is_err() {
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
    pub async fn until_regained<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let regained = async {
            self.wait_silent().await;
            let mut seat = self.seat.clone();
            if seat.wait_for(|view| view.silent.is_none()).await.is_err() {
                // The keeper is gone: the process is about to end.
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            result = call => result,
            () = regained => Err(StoreError::Abandoned),
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
