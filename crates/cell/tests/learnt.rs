//! The row of what an owner has learnt for its successor.

use std::time::Duration;

use cell::LEARNT_TABLE;
use cell::LearntError;
use cell::LearntWrites;
use cell::MAX_LEARNT_BYTES;
use cell::OWNER_PART;
use cell::decode_learnt;
use cell::encode_learnt;
use job::LearntSpeed;
use job::LearntState;
use job::LearntUsage;
use job::Mechanism;
use site::Caller;
use site::TestCell;
use site::job;

const SECOND: Duration = Duration::from_secs(1);

/// A state with these numbers of workers and organisations.
fn state(workers: u64, organisations: u64) -> LearntState {
    let speed = |nth: u64| LearntSpeed {
        worker: format!("i-{nth:010x}"),
        incarnation: Some(1_790_000_000_000 + nth),
        log_factor: 40,
        weight: 10,
    };
    let usage = |nth: u64| LearntUsage {
        organisation: format!("organisation-{nth:06}"),
        work: 1_000_000 + nth,
    };
    LearntState {
        speeds: (0..workers).map(speed).collect(),
        usage: (0..organisations).map(usage).collect(),
    }
}

#[test]
fn a_row_is_read_as_it_was_written() {
    let written = state(350, 20);

    let row = encode_learnt(written.clone());

    assert_eq!(decode_learnt(&row), Ok(written));
    assert!(row.len() < 10_000, "{} bytes", row.len());
}

/// Guards against a row that the store refuses with the whole transaction of the owner.
#[test]
fn a_state_that_is_too_large_is_shortened() {
    let large = state(5_000, 5_000);

    let row = encode_learnt(large.clone());
    let read = decode_learnt(&row).expect("a row");

    assert!(row.len() <= MAX_LEARNT_BYTES, "{} bytes", row.len());
    assert!(read.speeds.len() > 1_000 && large.speeds.starts_with(&read.speeds));
    assert!(read.usage.len() > 1_000 && large.usage.starts_with(&read.usage));
}

#[test]
fn a_row_of_another_version_or_a_damaged_one_is_an_error() {
    let row = encode_learnt(state(3, 3));
    let mut other = row.clone();
    other[0] += 1;

    let found = Some(other[0]);
    assert_eq!(
        decode_learnt(&other),
        Err(LearntError::OtherVersion { found })
    );
    let empty = decode_learnt(&[]);
    assert_eq!(empty, Err(LearntError::OtherVersion { found: None }));
    for length in 1..row.len() {
        let damaged = decode_learnt(&row[..length]);
        assert!(matches!(damaged, Err(LearntError::Damaged { .. })));
    }
}

/// Guards against writes that use up the owner's link or the store's budget.
#[test]
fn the_row_is_written_at_a_bounded_rate_and_only_if_it_has_changed() {
    let mut writes = LearntWrites::new(Duration::ZERO);
    assert!(!writes.due(SECOND * 4, 1));
    assert!(!writes.due(SECOND * 5, 0), "a full transaction");
    assert!(writes.due(SECOND * 5, 1));

    assert_eq!(writes.take(SECOND * 5, vec![1]), Some(vec![1]));
    writes.saved(vec![1]);
    assert!(!writes.due(SECOND * 9, 1));
    assert_eq!(writes.take(SECOND * 10, vec![1]), None);
    // A write without a result may have been carried out or not.
    assert_eq!(writes.take(SECOND * 15, vec![2]), Some(vec![2]));
    assert_eq!(writes.take(SECOND * 20, vec![1]), Some(vec![1]));

    let large = vec![0; 40 * 1024];
    assert_eq!(writes.take(SECOND * 25, large.clone()), Some(large));
    assert!(!writes.due(SECOND * 34, 1));
    assert!(writes.due(SECOND * 35, 1));
}

fn stored(cell: &TestCell) -> Option<Vec<u8>> {
    cell.store.raw(LEARNT_TABLE, OWNER_PART, "owner")
}

/// Opens a cell in which the owner starts with a row of learnt state, and waits longer than an
/// owner waits with its first write. The row has a speed of the first worker, and one of another
/// incarnation of the second one.
async fn open_with_row(on: &[Mechanism]) -> (TestCell, Vec<u8>) {
    let mut cell = TestCell::open_enabling(on, 0, 2).await;
    let speed = |index: usize, age: u64| LearntSpeed {
        worker: cell.workers[index].id.clone(),
        incarnation: Some(cell.workers[index].incarnation - age),
        log_factor: 40,
        weight: 7,
    };
    let speeds = vec![speed(1, 1), speed(0, 0)];
    let usage = Vec::new();
    let row = encode_learnt(LearntState { speeds, usage });
    cell.store
        .write_row(LEARNT_TABLE, OWNER_PART, "owner", &row);
    cell.add_process().await;
    cell.wait_owner(|_| true).await;
    tokio::time::sleep(SECOND * 7).await;
    (cell, row)
}

/// Guards against speeds that are lost with their owner, or applied to another incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_continues_with_the_row_and_writes_it() {
    let (cell, row) = open_with_row(&[Mechanism::LearntState]).await;

    let read = decode_learnt(&row).expect("a row");
    let written = decode_learnt(&stored(&cell).expect("a row")).expect("a row");

    assert_eq!(written.speeds, read.speeds[1..]);
    cell.close().await;
}

/// Guards against a mechanism that writes although it is off.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_mechanism_the_row_is_not_written() {
    let (cell, row) = open_with_row(&[]).await;

    assert_eq!(stored(&cell), Some(row));
    cell.close().await;
}

/// Guards against a take-over that fails or waits because of a row that cannot be used.
#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_row_counts_as_none() {
    let mut cell = TestCell::open_enabling(&[Mechanism::LearntState], 0, 1).await;
    let row = [1, 200, 200];
    cell.store
        .write_row(LEARNT_TABLE, OWNER_PART, "owner", &row);

    cell.add_process().await;

    let path = "/plain/00000000000000a4";
    let caller = Caller::new();
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}

/// Guards against a take-over that waits for the row: the store does not answer its read.
#[tokio::test(flavor = "multi_thread")]
async fn a_take_over_does_not_wait_for_the_row() {
    let mut cell = TestCell::open_enabling(&[Mechanism::LearntState], 0, 1).await;
    cell.store.set_faults(site::StoreFaults {
        slow_rows: Some((LEARNT_TABLE, SECOND * 30)),
        ..site::StoreFaults::default()
    });

    cell.add_process().await;

    let path = "/plain/00000000000000a5";
    let caller = Caller::new();
    let done = async {
        caller.submit(&cell.servers(), path, &job(1, "20")).await;
        caller.wait_state(&cell.servers(), path, "completed").await;
    };
    let done = tokio::time::timeout(SECOND * 10, done).await;
    assert!(done.is_ok(), "the take-over waited for the row");
    cell.close().await;
}
