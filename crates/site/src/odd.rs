//! Entries of another writer, which no decoder takes.

use serde_json::Value;
use serde_json::json;

use crate::registration;

/// Nesting of [`nested_json`], far beyond what decoders allow.
const DEPTH: usize = 100_000;

/// Returns JSON that is nested too deeply.
#[must_use]
pub fn nested_json() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// Returns registrations that differ from that of a worker in one way each: a value is nested too deeply,
/// a number is too large, a port is out of range, or the bytes are no text.
#[must_use]
pub fn odd_registrations() -> Vec<Vec<u8>> {
    let sound = registration(([127, 0, 0, 1], 9).into(), 9);
    let with = |field: &str, value: &str| {
        let mut entry: Value = sound.clone();
        entry[field] = json!("REPLACED");
        let text = entry.to_string().replace("\"REPLACED\"", value);
        text.into_bytes()
    };
    let nested = nested_json();
    vec![
        nested.clone().into_bytes(),
        with("capacity", &nested),
        with("labels", &nested),
        with("address", &nested),
        with("capacity", r#"{"cpu":18446744073709551616}"#),
        with("capacity", r#"{"cpu":18446744073709551615}"#),
        with("capacity", r#"{"cpu":1e999}"#),
        with("capacity", r#"{"cpu":4000,"mem_mb":-1}"#),
        with("born", "1e30"),
        with("remaining_ms", "1e999"),
        with("address", r#""127.0.0.1:65536""#),
        with("address", r#""127.0.0.1:-1""#),
        with("address", r#""127.0.0.1""#),
        vec![0xff, 0xfe, 0x00, 0x80],
        b"{\"service\":\"\xff\"}".to_vec(),
        Vec::new(),
    ]
}
