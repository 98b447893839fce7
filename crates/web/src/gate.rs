//! Connections of a listener: waits for what the ledger decides, and tells connections to yield.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::Limits;
use crate::ledger::ConnectionKey;
use crate::ledger::Decision;
use crate::ledger::Ledger;

/// Longest time until a decision is made anew: a new connection may have settled by then.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a connection with a request in progress is looked at again.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time that a request waits until it is handled.
const TURN_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells a connection to yield.
#[derive(Debug, Default)]
struct Signals {
    /// To close, while no request is in progress.
    close: Notify,
    /// To give up the body that is arriving.
    body: Notify,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    signals: SecondaryMap<ConnectionKey, Arc<Signals>>,
}

impl State {
    fn tell(&self, key: ConnectionKey) {
        let Some(signals) = self.signals.get(key) else {
            return;
        };
        if self.ledger.is_receiving(key) {
            signals.body.notify_one();
        } else {
            signals.close.notify_one();
        }
    }
}

/// The connections of a listener.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
    /// Notified when a connection may have yielded.
    changed: Notify,
    /// Whether a new connection waits for a place.
    crowded: AtomicBool,
    /// Turns of the requests, in the order in which they arrived whole.
    turns: Semaphore,
}

impl Gate {
    pub(crate) fn new(limits: Limits) -> Arc<Gate> {
        let state = State {
            ledger: Ledger::new(limits),
            signals: SecondaryMap::new(),
        };
        Arc::new(Gate {
            state: Mutex::new(state),
            changed: Notify::new(),
            crowded: AtomicBool::new(false),
            turns: Semaphore::new(limits.requests),
        })
    }

    /// Waits for a place for a new connection and takes it. Calls `on_wait` if another connection is
    /// told to close for it.
    pub(crate) async fn enter(self: &Arc<Gate>, on_wait: impl Fn()) -> Place {
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                let now = Instant::now();
                let decision = state.ledger.make_place(now);
                let crowded = decision != Decision::Granted;
                self.crowded.store(crowded, Ordering::Relaxed);
                match decision {
                    Decision::Granted => return self.open(&mut state, now),
                    Decision::Wait(Some(key)) => {
                        state.tell(key);
                        on_wait();
                    }
                    Decision::Wait(None) | Decision::Refused => {}
                }
            }
            let _ = tokio::time::timeout(DECISION_INTERVAL, changed).await;
        }
    }

    fn open(self: &Arc<Gate>, state: &mut State, now: Instant) -> Place {
        let key = state.ledger.open(now);
        let signals: Arc<Signals> = Arc::default();
        state.signals.insert(key, signals.clone());
        Place {
            gate: self.clone(),
            key,
            signals,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of an open connection among those of its listener.
#[derive(Debug)]
pub(crate) struct Place {
    gate: Arc<Gate>,
    key: ConnectionKey,
    signals: Arc<Signals>,
}

impl Place {
    /// Waits until the connection has to close, because another one needs its place or its client has
    /// been inactive for too long.
    pub(crate) async fn closed(&self) {
        tokio::select! {
            () = self.told(&self.signals.close) => {}
            () = self.expired() => {}
        }
    }

    /// Waits for a signal to yield. One that came too late, when the next request had begun, is
    /// ignored.
    async fn told(&self, signal: &Notify) {
        loop {
            signal.notified().await;
            if self.gate.lock().ledger.is_yielding(self.key) {
                return;
            }
        }
    }

    async fn expired(&self) {
        loop {
            let expiry = self.gate.lock().ledger.expiry(self.key);
            let now = Instant::now();
            match expiry {
                Some(expiry) if expiry <= now => return,
                Some(expiry) => tokio::time::sleep(expiry - now).await,
                // A request is in progress; the connection waits again for at least as long.
                None => tokio::time::sleep(EXPIRY_INTERVAL).await,
            }
        }
    }

    /// Whether a new connection waits for a place.
    pub(crate) fn crowded(&self) -> bool {
        self.gate.crowded.load(Ordering::Relaxed)
    }

    /// Records that the body of a request is arriving.
    pub(crate) fn receive(&self) {
        self.gate.lock().ledger.receive(self.key, Instant::now());
    }

    /// Waits until the body that is arriving may take `bytes` more; returns false if it has to be
    /// given up.
    pub(crate) async fn reserve(&self, bytes: usize) -> bool {
        loop {
            let changed = self.gate.changed.notified();
            {
                let mut state = self.gate.lock();
                match state.ledger.reserve(self.key, bytes) {
                    Decision::Granted => return true,
                    Decision::Refused => return false,
                    Decision::Wait(Some(key)) => state.tell(key),
                    Decision::Wait(None) => {}
                }
            }
            let _ = tokio::time::timeout(DECISION_INTERVAL, changed).await;
        }
    }

    /// Waits until the body that is arriving has to be given up for another one.
    pub(crate) async fn displaced(&self) {
        self.told(&self.signals.body).await;
    }

    /// Records that a request has arrived whole, so that it no longer yields, and waits for its turn;
    /// none if that takes too long. The turn ends when the permit is dropped.
    pub(crate) async fn handle(&self) -> Option<SemaphorePermit<'_>> {
        self.gate.lock().ledger.handle(self.key, Instant::now());
        let turn = tokio::time::timeout(TURN_TIMEOUT, self.gate.turns.acquire()).await;
        turn.ok()?.ok()
    }

    /// Records that the reply to a request is ready, and that its body is no longer held.
    pub(crate) fn finish(&self) {
        self.gate.lock().ledger.finish(self.key, Instant::now());
        self.gate.changed.notify_waiters();
    }
}

// Runs on every way out of a connection's task, a panic of the handler and an abort included.
impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.ledger.close(self.key);
        state.signals.remove(self.key);
        drop(state);
        self.gate.changed.notify_waiters();
    }
}
