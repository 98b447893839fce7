//! "Accepted" and "not run" are said only when they are certain.

use model::Class;
use model::Code;
use model::Resources;
use shard::Input;

use crate::desk::Desk;
use crate::desk::confirmation;
use crate::desk::lookup;

// A caller was told that its restock is accepted, and the restock was gone
// after a change of owner. Its first submission was on the way to the table;
// a copy of it, sent at once, found the request in memory and was answered
// "accepted". The owner ended before the record was written.
#[test]
fn a_copy_of_a_submission_hears_accepted_only_when_it_is_recorded() {
    let mut desk = Desk::open(&["w0"]);
    let (_, first) = desk.submit(confirmation("r1"), true);

    let (copy, early) = desk.submit(confirmation("r1"), false);
    let seen = desk.feed(Input::Written(first.ticket()));

    assert_eq!(early.answer(copy), None);
    let answer = seen.answer(copy).expect("an answer once it is recorded");
    assert_eq!(answer.code, Code::Pending);
}

#[test]
fn a_copy_of_a_recorded_submission_is_answered_at_once() {
    let mut desk = Desk::open(&["w0"]);
    let (_, first) = desk.submit(confirmation("r1"), true);
    desk.feed(Input::Written(first.ticket()));

    let (copy, seen) = desk.submit(confirmation("r1"), false);

    assert!(seen.answer(copy).is_some());
}

// A caller was told "cancelled before it started", and the request ran. The
// table was away when the request was cancelled, so answers were given before
// their records were written; the owner ended, and the next one found the
// request in the journal without its end.
#[test]
fn not_run_waits_for_its_record_while_the_table_is_away() {
    let mut desk = Desk::open(&["w0"]);
    let (caller, seen) = desk.submit(confirmation("r1"), true);
    desk.feed(Input::Written(seen.ticket()));
    let (_, cancelled) = desk.cancel("r1");

    let early = desk.feed(Input::Stalled);
    let seen = desk.feed(Input::Written(cancelled.ticket()));

    assert_eq!(early.answer(caller), None);
    let answer = seen.answer(caller).expect("an answer once it is recorded");
    assert_eq!(answer.code, Code::Cancelled);
}

// A request was refused as one that no worker could ever hold (301), though a
// worker of its shard had room for it. The owner had just taken the shard over
// and had claimed the smaller of its two workers; it took the capacities that
// it knew for all that there are.
#[test]
fn nothing_is_too_large_before_all_workers_are_known() {
    let mut desk = Desk::open(&["w0", "w1"]);
    desk.claim("w0", "run-1", 2, Vec::new());
    let mut large = lookup("r1");
    large.needs = Resources {
        accelerators: 1,
        ..Resources::default()
    };

    let (caller, seen) = desk.submit(large, true);

    assert_eq!(seen.answer(caller), None);
}

#[test]
fn what_no_worker_can_hold_is_refused_once_all_are_known() {
    let mut desk = Desk::with_worker();
    let mut large = lookup("r1");
    large.needs = Resources {
        accelerators: 1,
        ..Resources::default()
    };

    let (caller, seen) = desk.submit(large, true);

    let answer = seen.answer(caller).expect("a refusal");
    assert_eq!(answer.code, Code::NeverFits);
}

// A restock that had run in part was answered "not run: its latest start has
// passed". Its worker was lost, and it was placed again; the table was silent
// while the intent was on its way, and the process could not act. When the
// intent was written at last, the first news, the time for a restart was over,
// and the first attempt was left out of the answer.
#[test]
fn a_restart_that_comes_too_late_is_not_said_to_be_not_run() {
    let mut desk = Desk::with_worker();
    let mut restock = lookup("r1");
    restock.class = Class::Batch;
    let (caller, seen) = desk.submit(restock, true);
    let seen = desk.feed(Input::Written(seen.ticket()));
    desk.feed(Input::Started(seen.starts().remove(0)));
    let again = desk.feed(Input::LeaseOver("w0".to_owned()));

    desk.pass(20_000);
    let late = desk.feed(Input::Written(again.ticket()));
    let seen = desk.feed(Input::Written(late.ticket()));

    let answer = seen.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::HostLost, "{answer:?}");
}

// A restock that had run in part was answered "not run" by the next owner. Its
// first worker was lost and it waited for another; the owner stored its state,
// in which the attempt had no members left and so no intent, and ended.
#[test]
fn the_next_owner_knows_of_an_attempt_that_is_over() {
    let mut desk = Desk::with_worker();
    let mut restock = lookup("r1");
    restock.class = Class::Batch;
    let (_, seen) = desk.submit(restock, true);
    let seen = desk.feed(Input::Written(seen.ticket()));
    desk.feed(Input::Started(seen.starts().remove(0)));
    desk.feed(Input::WorkerLost("w0".to_owned()));
    desk.feed(Input::LeaseOver("w0".to_owned()));

    let mut next = desk.succeeded();
    let late = next.wait(20_000);
    next.feed(Input::Written(late.ticket()));

    assert_eq!(next.status("r1").code, Code::HostLost);
}
