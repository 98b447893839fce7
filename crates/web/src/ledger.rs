//! Decides which connections of a listener may hold memory and a descriptor, and which one yields.
//!
//! Load that this answers: many clients that send large requests up to shortly before their end, or
//! nothing, and keep their connections open. An ordinary request arrives within moments and is small,
//! so what yields is the largest body, or the connection that has waited for the longest time.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::Limits;

new_key_type! {
    /// Identifies a connection of a listener.
    pub struct ConnectionKey;
}

/// Time in which a new connection yields to no other: its request may be on the way.
pub const SETTLING_TIME: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The head of its next request has not arrived whole. The client may not have read the last
    /// reply.
    Waiting,
    /// The body of its request is arriving.
    Receiving,
    /// Its request has arrived whole; the reply is not ready.
    Handling,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Begin of the phase.
    since: Instant,
    /// Memory that the body of its request takes.
    bytes: usize,
    /// Whether it was told to yield and has not done so yet.
    yielding: bool,
}

/// Decision on a place for a new connection, or on memory for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is available.
    Granted,
    /// It becomes available when connections that were told to yield have done so; the one given is to
    /// be told now.
    Wait(Option<ConnectionKey>),
    /// It is not available, and no other connection is to yield for it.
    Refused,
}

/// Connections of a listener and what they hold.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    /// Memory that the bodies of all requests take.
    bytes: usize,
}

impl Ledger {
    /// Creates a ledger without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Ledger {
        Ledger {
            limits,
            connections: SlotMap::with_key(),
            bytes: 0,
        }
    }

    /// Decides on a place for a new connection.
    pub fn make_place(&mut self, now: Instant) -> Decision {
        if self.connections.len() < self.limits.connections {
            return Decision::Granted;
        }
        if self.connections.values().any(|other| other.yielding) {
            return Decision::Wait(None);
        }
        let settled = |other: &Connection| {
            other.phase != Phase::Handling
                && now.saturating_duration_since(other.since) >= SETTLING_TIME
        };
        let candidates = self.connections.iter_mut();
        let victim = candidates
            .filter(|(_, other)| settled(other))
            .min_by_key(|(_, other)| other.since);
        Decision::Wait(victim.map(|(key, other)| {
            other.yielding = true;
            key
        }))
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Instant) -> ConnectionKey {
        self.connections.insert(Connection {
            phase: Phase::Waiting,
            since: now,
            bytes: 0,
            yielding: false,
        })
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.bytes -= connection.bytes;
        }
    }

    /// Records that the body of a request is arriving.
    pub fn receive(&mut self, key: ConnectionKey, now: Instant) {
        self.enter(key, Phase::Receiving, now);
    }

    /// Decides whether the body that is arriving on a connection may take `bytes` more, and records
    /// them if so.
    pub fn reserve(&mut self, key: ConnectionKey, bytes: usize) -> Decision {
        let Some(held) = self.connections.get(key).map(|own| own.bytes + bytes) else {
            return Decision::Refused;
        };
        let allowed = self.limits.memory_for(held);
        if self.bytes + bytes <= allowed {
            self.bytes += bytes;
            self.connections[key].bytes = held;
            return Decision::Granted;
        }
        let yielding = self.connections.values().filter(|other| other.yielding);
        let released: usize = yielding.map(|other| other.bytes).sum();
        if self.bytes - released + bytes <= allowed {
            return Decision::Wait(None);
        }
        let victim = self
            .connections
            .iter_mut()
            .filter(|(other_key, other)| {
                *other_key != key
                    && other.phase == Phase::Receiving
                    && !other.yielding
                    && other.bytes >= held
            })
            .max_by_key(|(_, other)| (other.bytes, Reverse(other.since)));
        match victim {
            Some((key, other)) => {
                other.yielding = true;
                Decision::Wait(Some(key))
            }
            None => Decision::Refused,
        }
    }

    /// Records that a request has arrived whole.
    pub fn handle(&mut self, key: ConnectionKey, now: Instant) {
        self.enter(key, Phase::Handling, now);
    }

    /// Records that the reply to a request is ready, and that its body is no longer held.
    pub fn finish(&mut self, key: ConnectionKey, now: Instant) {
        if let Some(connection) = self.connections.get_mut(key) {
            self.bytes -= std::mem::take(&mut connection.bytes);
        }
        self.enter(key, Phase::Waiting, now);
    }

    /// Returns when a connection that waits for its client expires; none if it does not wait.
    #[must_use]
    pub fn expiry(&self, key: ConnectionKey) -> Option<Instant> {
        let connection = self.connections.get(key)?;
        (connection.phase == Phase::Waiting).then(|| connection.since + self.limits.idle)
    }

    /// Whether the body of a connection's request is arriving.
    #[must_use]
    pub fn is_receiving(&self, key: ConnectionKey) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| connection.phase == Phase::Receiving)
    }

    /// Whether a connection was told to yield and still can.
    #[must_use]
    pub fn is_yielding(&self, key: ConnectionKey) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| connection.yielding)
    }

    /// Memory that the bodies of all requests take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Begins a phase of a connection, which then no longer has to yield.
    fn enter(&mut self, key: ConnectionKey, phase: Phase, now: Instant) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.phase = phase;
            connection.since = now;
            connection.yielding = false;
        }
    }
}
