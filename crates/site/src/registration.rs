//! Rows with which workers register in the store.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::FakeWorker;

/// Minimum time until it leaves that a draining worker states, in milliseconds.
const REMAINING_MS: u64 = 8000;

/// Returns the registration of a worker with four cores (`cpu` is in thousandths of a core) at
/// `address`, whose incarnation started at `incarnation` in Unix milliseconds.
#[must_use]
pub fn registration(address: SocketAddr, incarnation: u64) -> Value {
    json!({
        "service": "desk", "address": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0,
        "capacity": {"cpu": 4000, "mem_mb": 64000, "gpu": 0}, "labels": ["a", "r1-1"], "seq": 1,
        "born": incarnation,
    })
}

impl FakeWorker {
    /// Returns the registration of this worker at `address`, with its current number of cores, and
    /// as draining if it drains.
    #[must_use]
    pub fn registration_row(&self, address: SocketAddr) -> Value {
        let mut registration_row = registration(address, self.incarnation);
        registration_row["capacity"]["cpu"] = json!(self.cores() * 1000);
        if self.draining() {
            registration_row["state"] = json!("draining");
            registration_row["remaining_ms"] = json!(REMAINING_MS);
        }
        if self.omits_incarnation() {
            registration_row["born"] = Value::Null;
        }
        registration_row
    }
}
