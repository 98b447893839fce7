//! State and connections that all tasks of a process share.

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
use web::CallLimit;
use web::Client;

use crate::CellMetrics;
use crate::CellSettings;
use crate::Follower;
use crate::ForecastCache;
use crate::KnownVersions;
use crate::ListenerLimits;
use crate::OwnershipView;
use crate::StopPhase;
use crate::access::ConfigAges;

/// Connect timeout to peers, the store and the advice service; within a region a connect takes
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connect timeout to a worker. It is longer because the owner's link may be full.
const WORKER_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after an outage of the store until a process counts as in touch with it again.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// State and connections that all tasks of a process share.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings of the process.
    pub settings: Arc<CellSettings>,
    /// Random id of this process, which differs at each start.
    pub incarnation: u64,
    /// Client of the platform's store.
    pub store: Store,
    /// Client for commands to workers.
    pub commands: CommandClient,
    /// HTTP client for peers and the advice service.
    pub client: Client,
    /// Newest configuration; `None` until it has been read once.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// Ownership of the pool as last read from the store.
    pub ownership: watch::Receiver<OwnershipView>,
    /// Counters, gauges and latency histograms.
    pub metrics: Arc<CellMetrics>,
    /// Newest forecast of the pool.
    pub forecast: ForecastCache,
    /// Versions of the store that the process has seen.
    pub versions: KnownVersions,
    /// How far the stop of the process is.
    pub stop: watch::Receiver<StopPhase>,
    /// Limit on the calls for the requests of callers and of other processes.
    calls: CallLimit,
    /// Epoch of an owner whose process may have ended, because it closed a connection during a
    /// call; 0 for none.
    suspected_owner: Arc<AtomicU64>,
    /// Start of the newest successful read of the configuration, in milliseconds since `origin`.
    config_confirmed: Arc<AtomicU64>,
    /// Arrival of the newest reply of the store with rows of the operator, in milliseconds since
    /// `origin`; 0 for none.
    store_answered: Arc<AtomicU64>,
    /// End of the newest outage of the store, in milliseconds since `origin`; 0 for none.
    store_recovered: Arc<AtomicU64>,
    /// Origin of the process's monotonic clock.
    origin: Instant,
}

impl Context {
    /// Creates the context of a process that starts now.
    #[must_use]
    pub fn new(
        settings: CellSettings,
        config: watch::Receiver<Option<Arc<Config>>>,
        ownership: watch::Receiver<OwnershipView>,
        stop: watch::Receiver<StopPhase>,
    ) -> Context {
        let store = Store::new(Client::new(CONNECT_TIMEOUT), settings.store);
        let calls = CallLimit::new(ListenerLimits::new(&settings).calls);
        Context {
            settings: Arc::new(settings),
            incarnation: std::hash::RandomState::new().build_hasher().finish(),
            store,
            commands: CommandClient::new(Client::new(WORKER_CONNECT_TIMEOUT)),
            client: Client::new(CONNECT_TIMEOUT),
            config,
            ownership,
            metrics: Arc::default(),
            forecast: ForecastCache::default(),
            versions: KnownVersions::default(),
            stop,
            calls,
            suspected_owner: Arc::default(),
            config_confirmed: Arc::default(),
            store_answered: Arc::default(),
            store_recovered: Arc::default(),
            origin: Instant::now(),
        }
    }

    /// Returns the client of the store for the requests of callers and of other processes. They may use
    /// only a part of the descriptors.
    #[must_use]
    pub fn request_store(&self) -> Store {
        self.store.limited(&self.calls)
    }

    /// Returns the client of peers for the requests of callers.
    #[must_use]
    pub fn request_client(&self) -> Client {
        self.client.limited(&self.calls)
    }

    /// Returns the monotonic time since the process started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns when the newest read of a follower started that returned all earlier changes; zero
    /// before its first full read.
    #[must_use]
    pub fn current_at(&self, follower: &Follower) -> Duration {
        let age = follower.age();
        age.map_or(Duration::ZERO, |age| self.now().saturating_sub(age))
    }

    /// Returns the wall-clock time since 1970, which may jump.
    #[must_use]
    pub fn wall_time(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    /// Records that the owner of `epoch` closed a connection during a call, so its process may
    /// have ended.
    pub fn suspect_owner(&self, epoch: Epoch) {
        self.suspected_owner.store(epoch, Ordering::Relaxed);
    }

    /// Whether the process of the owner of `epoch` may have ended.
    #[must_use]
    pub fn is_owner_suspected(&self, epoch: Epoch) -> bool {
        self.suspected_owner.load(Ordering::Relaxed) == epoch
    }

    /// Records that the configuration in force was confirmed as the newest by a read that started
    /// at `read_started`.
    pub fn confirm_config(&self, read_started: Duration) {
        let read_started = u64::try_from(read_started.as_millis()).unwrap_or(u64::MAX);
        self.config_confirmed.store(read_started, Ordering::Relaxed);
    }

    /// Time since the configuration in force was last confirmed as the newest.
    #[must_use]
    pub fn config_age(&self) -> Duration {
        let read_started = Duration::from_millis(self.config_confirmed.load(Ordering::Relaxed));
        self.now().saturating_sub(read_started)
    }

    /// Returns the ages up to which the configuration may be relied on. A newer one takes longer to
    /// come into force only while the store does not answer: a host that is too slow to read it in
    /// time must not act on the old one.
    #[must_use]
    pub fn config_ages(&self) -> ConfigAges {
        let ages = self.settings.config_ages();
        if self.store_unsettled() {
            return ages;
        }
        ConfigAges {
            usable: ages.current,
            ..ages
        }
    }

    /// Records that a reply of the store with rows of the operator has arrived. Workers register in
    /// the same part of the store.
    pub fn record_store_reply(&self) {
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.store_answered.store(now, Ordering::Relaxed);
    }

    /// Returns when the newest reply of the store with rows of the operator arrived; zero if none has.
    #[must_use]
    pub fn store_answered_at(&self) -> Duration {
        Duration::from_millis(self.store_answered.load(Ordering::Relaxed))
    }

    /// Records that the store answers this process again.
    pub fn record_recovery(&self) {
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.store_recovered.store(now, Ordering::Relaxed);
    }

    /// Whether the store does not answer this process, or did not until a short time ago, in which this
    /// process may not have read everything yet.
    #[must_use]
    pub fn store_unsettled(&self) -> bool {
        let recovered = self.store_recovered.load(Ordering::Relaxed);
        let settled_at = Duration::from_millis(recovered) + SETTLING_TIME;
        self.store_unreachable() || recovered > 0 && self.now() < settled_at
    }

    /// Whether the store currently does not answer this process.
    #[must_use]
    pub fn store_unreachable(&self) -> bool {
        self.ownership.borrow().unreachable_since.is_some()
    }

    /// Waits until the store stops answering this process. Returns whether it refused a call then, as
    /// opposed to being silent.
    pub async fn wait_unreachable(&self) -> bool {
        let mut ownership = self.ownership.clone();
        let refusing = ownership
            .wait_for(|view| view.unreachable_since.is_some())
            .await
            .map(|view| view.refusing);
        match refusing {
            Ok(refusing) => refusing,
            // The sender of the ownership has been dropped: the process is about to end.
            Err(_) => std::future::pending().await,
        }
    }

    /// Runs a call to the store, but abandons it when the store answers again after an outage: a
    /// request that was sent before may never be answered. Waiting for its timeout delayed the
    /// write of task ends by up to 1.6 s.
    ///
    /// # Errors
    /// Returns the error of the call, or [`StoreError::Abandoned`].
    pub async fn abandon_on_recovery<T>(
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
                // The sender of the ownership has been dropped: the process is about to end.
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
        *self.stop.borrow() >= StopPhase::Stopping
    }

    /// Waits until the process is asked to stop.
    pub async fn stopped(&self) {
        self.reached(StopPhase::Stopping).await;
    }

    /// Waits until the stop of the process has reached `phase`.
    pub(crate) async fn reached(&self, phase: StopPhase) {
        let mut stop = self.stop.clone();
        // A dropped sender counts as a request to stop.
        let _ = stop.wait_for(|current| *current >= phase).await;
    }
}
