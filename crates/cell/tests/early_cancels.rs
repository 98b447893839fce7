//! Early cancellations that an owner keeps: which jobs they cancel, how many there are, and how long they
//! are kept.

use std::time::Duration;

use cell::EARLY_CANCEL_TABLE;
use cell::EarlyCancel;
use cell::EarlyCancels;
use cell::EarlyWrites;
use cell::MAX_EARLY_CANCELS;
use cell::MAX_EARLY_WRITES;
use cell::OWNER_PART;
use cell::Recorded;
use job::JobId;
use job::JobSpec;
use job::Organisation;
use job::Requester;
use job::ResourceLimit;
use platform::Row;
use platform::RowName;

const START: Duration = Duration::from_secs(100);
const KEPT: Duration = Duration::from_mins(1);

fn of_queue(id: JobId) -> EarlyCancel {
    let requester = Requester::Queue("plain".to_owned());
    EarlyCancel { id, requester }
}

fn of_organisation(id: JobId, name: &str) -> EarlyCancel {
    let requester = Requester::Organisation(name.to_owned());
    EarlyCancel { id, requester }
}

fn spec(organisation: Option<&str>) -> JobSpec {
    JobSpec {
        queue: job::Queue {
            name: "plain".to_owned(),
            host: String::new(),
            prefix: "/plain/".to_owned(),
            service: "desk".to_owned(),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            slack: Duration::ZERO,
            timeout: Duration::ZERO,
            advice: None,
            public: false,
        },
        payload: String::new(),
        steps: Vec::new(),
        schedule: None,
        received: Duration::ZERO,
        canceled: false,
        organisation: organisation.map(|name| Organisation {
            name: name.to_owned(),
            weight: 1.0,
            limit: ResourceLimit::default(),
        }),
    }
}

/// Writes all cancellations that are to be written.
fn save_all(cancels: &mut EarlyCancels, now: Duration) {
    while cancels.has_unsaved() {
        let writes = cancels.take(now);
        cancels.saved(&writes, now);
    }
}

#[test]
fn only_jobs_that_the_requester_may_see_are_canceled() {
    let mut cancels = EarlyCancels::default();
    cancels.record(of_organisation(7, "stores"), START);

    let covered = [
        cancels.covers(7, &spec(Some("stores"))),
        cancels.covers(7, &spec(Some("bales"))),
        cancels.covers(7, &spec(None)),
        cancels.covers(6, &spec(Some("stores"))),
        cancels.covers(8, &spec(Some("stores"))),
    ];

    assert_eq!(covered, [true, false, true, false, false]);
}

/// Guards against a cancellation that stops counting while its row is written, or is written again.
#[test]
fn a_cancellation_counts_at_each_stage() {
    let mut cancels = EarlyCancels::default();
    let mut counts = Vec::new();

    let recorded = cancels.record(of_queue(1), START);
    counts.push(cancels.covers(1, &spec(None)));
    let writes = cancels.take(START);
    counts.push(cancels.covers(1, &spec(None)));
    cancels.failed(writes, START);
    counts.push(cancels.covers(1, &spec(None)) && cancels.has_unsaved());
    save_all(&mut cancels, START);
    counts.push(cancels.covers(1, &spec(None)));

    assert_eq!(recorded, Recorded::Pending);
    assert_eq!(counts, [true; 4]);
    let repeated = cancels.record(of_queue(1), START + KEPT / 2);
    assert_eq!(repeated, Recorded::Stored { asked: START });
}

/// Guards against rows that stay in the store for good.
#[test]
fn rows_are_removed_once_they_have_expired() {
    let mut cancels = EarlyCancels::default();
    cancels.record(of_queue(1), START);
    save_all(&mut cancels, START);

    let early = cancels.take(START + KEPT.mul_f64(0.99));
    let due = cancels.take(START + KEPT);
    cancels.failed(due.clone(), START + KEPT);
    let again = cancels.take(START + KEPT);
    cancels.saved(&again, START + KEPT);

    assert_eq!(early, EarlyWrites::default());
    assert_eq!(due.removes, [of_queue(1)]);
    assert_eq!(again.removes, [of_queue(1)]);
    assert!(cancels.is_empty());
}

/// Guards against a transaction with more entries than the store takes: room for the rows is left out of it
/// before they are taken.
#[test]
fn room_is_left_for_all_rows_of_a_transaction() {
    let mut cancels = EarlyCancels::default();
    for id in 0..5 {
        cancels.record(of_queue(id), START);
    }
    save_all(&mut cancels, START);
    for id in 5..8 {
        cancels.record(of_queue(id), START + KEPT);
    }

    let room = cancels.next_writes(START + KEPT);
    let writes = cancels.take(START + KEPT);

    assert_eq!((writes.puts.len(), writes.removes.len()), (3, 5));
    assert_eq!(room, 8);
}

/// Guards against rows of former owners that no owner removes.
#[test]
fn rows_of_a_former_owner_are_removed() {
    let mut cancels = EarlyCancels::default();
    cancels.restore(of_queue(1), START);

    let due = cancels.take(START + KEPT);

    assert_eq!(due.removes, [of_queue(1)]);
}

/// Guards against a caller who is told that a cancellation is stored just before it is removed.
#[test]
fn a_repeated_cancel_is_kept_for_longer() {
    let mut cancels = EarlyCancels::default();
    cancels.record(of_queue(1), START);
    save_all(&mut cancels, START);
    let late = START + KEPT.mul_f64(0.9);

    let repeated = cancels.record(of_queue(1), late);
    let due = cancels.take(START + KEPT);

    assert_eq!(repeated, Recorded::Stored { asked: START });
    assert_eq!(due, EarlyWrites::default());
    assert_eq!(cancels.take(late + KEPT).removes, [of_queue(1)]);
}

/// Guards against the same with a row whose removal is under way: it is written again.
#[test]
fn a_cancel_repeated_during_the_removal_of_its_row_is_stored_again() {
    let mut cancels = EarlyCancels::default();
    cancels.record(of_queue(1), START);
    save_all(&mut cancels, START);
    let removal = cancels.take(START + KEPT);

    let repeated = cancels.record(of_queue(1), START + KEPT);
    cancels.saved(&removal, START + KEPT);
    let next = cancels.take(START + KEPT);

    assert_eq!(repeated, Recorded::Pending);
    assert_eq!(next.puts, [of_queue(1)]);
    assert!(cancels.covers(1, &spec(None)));
}

/// Guards against a crowd that makes the owner keep, and write, cancellations without a limit.
#[test]
fn a_crowd_is_refused_beyond_the_limit_and_has_room_again_later() {
    let mut cancels = EarlyCancels::default();
    let crowd = MAX_EARLY_CANCELS as u64 + 100;
    let mut refused = 0;
    for id in 0..crowd {
        match cancels.record(of_queue(id), START) {
            Recorded::Full(_) => refused += 1,
            Recorded::Pending | Recorded::Stored { .. } => {}
        }
    }

    let first = cancels.take(START);
    cancels.saved(&first, START);
    save_all(&mut cancels, START);
    let full = cancels.record(of_queue(crowd), START + Duration::from_secs(20));
    let later = START + KEPT;
    let removes = cancels.take(later);
    cancels.saved(&removes, later);

    assert_eq!(refused, 100);
    assert_eq!(first.puts.len(), MAX_EARLY_WRITES);
    assert_eq!(full, Recorded::Full(Duration::from_secs(40)));
    assert_eq!(cancels.len(), MAX_EARLY_CANCELS - MAX_EARLY_WRITES);
    assert_eq!(cancels.record(of_queue(crowd), later), Recorded::Pending);
}

/// Guards against a cancellation that is only in the job's row, and is written to a row of its own or
/// forgotten too early.
#[test]
fn a_noted_cancellation_costs_no_row() {
    let mut cancels = EarlyCancels::default();
    cancels.note(of_queue(1), START);

    let covered = cancels.covers(1, &spec(None));
    let writes = cancels.take(START + KEPT);

    assert!(covered && !cancels.has_unsaved());
    assert_eq!(writes, EarlyWrites::default());
    assert!(cancels.is_empty());
}

/// Guards against a cancellation that is answered as stored though only noted.
#[test]
fn a_noted_cancellation_is_stored_when_it_is_recorded() {
    let mut cancels = EarlyCancels::default();
    cancels.note(of_queue(1), START);

    let recorded = cancels.record(of_queue(1), START + Duration::from_secs(50));
    save_all(&mut cancels, START + Duration::from_secs(50));
    let writes = cancels.take(START + KEPT);

    assert_eq!(recorded, Recorded::Pending);
    assert_eq!(writes, EarlyWrites::default());
    assert!(cancels.covers(1, &spec(None)));
}

#[test]
fn a_row_decodes_to_its_cancellation() {
    for cancel in [of_queue(1), of_organisation(1, "stores")] {
        let row = Row {
            name: cancel.row(),
            value: cancel.value(),
            version: 1,
            removed: false,
        };

        assert_eq!(EarlyCancel::decode(&row).expect("a row"), cancel);
    }
}

/// Guards against a row that cannot be decoded, which must not end the take-over.
#[test]
fn a_row_of_another_form_is_an_error() {
    let sound = of_queue(1);
    let key = sound.row().key;
    let odd = [
        (key.as_str(), vec![0xff; 12]),
        (key.as_str(), Vec::new()),
        ("", sound.value()),
        ("no id", sound.value()),
        ("\u{fe}", sound.value()),
    ];
    for (key, value) in odd {
        let row = Row {
            name: RowName::new(EARLY_CANCEL_TABLE, OWNER_PART, key),
            value,
            version: 1,
            removed: false,
        };

        assert!(EarlyCancel::decode(&row).is_err(), "{key:?}");
    }
}
