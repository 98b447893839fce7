//! Rows that the project keeps in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use cell::UsedWorker;
use cell::decode_progress;
use cell::decode_row;
use cell::decode_used_worker;
use cell::encode_row;
use job::CrashRecord;
use job::Outcome;
use job::Progress;
use job::Room;
use job::StepProgress;
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
        incarnation: Some(1_790_000_000_000),
    }
}

/// What the version before wrote of a worker in use: not its incarnation.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WithoutLife {
    service: String,
    address: SocketAddr,
    capacity: Room,
    labels: Vec<String>,
}

fn without_life(used: &UsedWorker) -> WithoutLife {
    WithoutLife {
        service: used.service.clone(),
        address: used.address,
        capacity: used.capacity,
        labels: used.labels.clone(),
    }
}

#[test]
fn the_row_of_an_earlier_version_tells_no_life() {
    let row = used(room(), &["a", "r1-1"]);

    let decoded = decode_used_worker(&encode_row(&without_life(&row))).expect("a row");

    assert_eq!(
        decoded,
        UsedWorker {
            incarnation: None,
            ..row
        }
    );
}

/// Both versions serve while a cell is replaced process by process.
#[test]
fn an_earlier_version_reads_the_row_of_a_used_worker() {
    let row = used(room(), &["a", "r1-1"]);

    let decoded = decode_row::<WithoutLife>(&encode_row(&row));

    assert_eq!(decoded, Ok(without_life(&row)));
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

    let decoded = decode_used_worker(&encode_row(&row));

    assert_eq!(decoded, Ok(row));
}

#[test]
fn a_row_without_a_size_is_read() {
    let decoded = decode_used_worker(&encode_row(&former()));

    let unnamed = UsedWorker {
        incarnation: None,
        ..used(Room::default(), &[])
    };
    assert_eq!(decoded, Ok(unnamed));
}

/// While a cell is updated, processes of both versions own the pool in turn.
#[test]
fn an_earlier_version_reads_the_row() {
    let row = encode_row(&used(room(), &["a", "r1-1"]));

    let decoded = decode_row::<Former>(&row);

    assert_eq!(decoded, Ok(former()));
}

/// Progress of a job without crashes.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerProgress {
    outcome: Option<Outcome>,
    steps: BTreeMap<(u32, u32), StepProgress>,
}

fn steps() -> BTreeMap<(u32, u32), StepProgress> {
    let step = StepProgress {
        done: vec![0, 2],
        ..StepProgress::default()
    };
    BTreeMap::from([((0, 0), step.clone()), ((0, 1), step)])
}

fn with_crashes() -> Progress {
    let record = CrashRecord {
        runs: BTreeSet::from([1, 2]),
        unsure: BTreeSet::from([4]),
        ahead: Some(3),
    };
    Progress {
        outcome: None,
        steps: steps(),
        crashes: BTreeMap::from([((0, 1, 1), record)]),
    }
}

#[test]
fn progress_tells_of_crashes() {
    let decoded = decode_progress(&encode_row(&with_crashes()));

    assert_eq!(decoded, Ok(with_crashes()));
}

/// While a cell is updated, processes of both versions own the pool in turn. A row that
/// the other version could not read would leave its job alone for good.
#[test]
fn progress_of_both_versions_is_read_by_both() {
    let former = FormerProgress {
        outcome: None,
        steps: steps(),
    };

    let by_this = decode_progress(&encode_row(&former)).expect("a former row");
    let by_former = decode_row::<FormerProgress>(&encode_row(&with_crashes()));

    assert_eq!(by_this.steps, steps());
    assert!(by_this.crashes.is_empty());
    assert_eq!(by_former, Ok(former));
}
