//! Rows that the project keeps in the store.

use std::net::SocketAddr;

use cell::UsedWorker;
use cell::decode_row;
use cell::decode_used;
use cell::encode_row;
use job::Room;
use serde::Deserialize;
use serde::Serialize;

/// A worker's row without its size.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Former {
    service: String,
    address: SocketAddr,
}

fn former() -> Former {
    Former {
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
    }
}

fn used(capacity: Room, labels: &[&str]) -> UsedWorker {
    UsedWorker {
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        capacity,
        labels: labels.iter().map(|&label| label.to_owned()).collect(),
    }
}

fn room() -> Room {
    Room {
        cpu: 4000,
        memory: 64_000,
        gpu: 1,
    }
}

#[test]
fn the_row_of_a_used_worker_tells_its_kind() {
    let row = used(room(), &["a", "r1-1"]);

    let decoded = decode_used(&encode_row(&row));

    assert_eq!(decoded, Ok(row));
}

#[test]
fn a_row_without_a_size_is_read() {
    let decoded = decode_used(&encode_row(&former()));

    assert_eq!(decoded, Ok(used(Room::default(), &[])));
}

/// While a cell is updated, processes of both versions own the pool in turn.
#[test]
fn an_earlier_version_reads_the_row() {
    let row = encode_row(&used(room(), &["a", "r1-1"]));

    let decoded = decode_row::<Former>(&row);

    assert_eq!(decoded, Ok(former()));
}
