//! A request is answered "accepted" or "not run" only when that is certain.

use model::Class;
use model::Code;
use model::Resources;
use shard::Input;

use crate::fixture::Fixture;
use crate::fixture::idempotent_request;
use crate::fixture::recorded_request;

// Guards against losing an accepted request at a take-over. While the record of
// the first submission was being written, a duplicate submission found the
// request in memory and was answered "accepted". The owner ended before the
// record was written.
#[test]
fn duplicate_submission_is_accepted_only_after_recording() {
    let mut fixture = Fixture::with_unclaimed(&["w0"]);
    let (_, first) = fixture.submit(recorded_request("r1"), true);

    let (duplicate, early) = fixture.submit(recorded_request("r1"), false);
    let effects = fixture.send(Input::Written(first.ticket()));

    assert_eq!(early.answer(duplicate), None);
    let answer = effects
        .answer(duplicate)
        .expect("an answer once it is recorded");
    assert_eq!(answer.code, Code::Pending);
}

#[test]
fn duplicate_of_a_recorded_submission_is_answered_at_once() {
    let mut fixture = Fixture::with_unclaimed(&["w0"]);
    let (_, first) = fixture.submit(recorded_request("r1"), true);
    fixture.send(Input::Written(first.ticket()));

    let (duplicate, effects) = fixture.submit(recorded_request("r1"), false);

    assert!(effects.answer(duplicate).is_some());
}

// Guards against running a request after the answer "cancelled before it
// started". The table was unavailable, so answers were given before their
// records were written. The owner ended, and its successor found the request in
// the journal without its end.
#[test]
fn not_run_answer_waits_for_its_record_while_the_table_is_unavailable() {
    let mut fixture = Fixture::with_unclaimed(&["w0"]);
    let (caller, effects) = fixture.submit(recorded_request("r1"), true);
    fixture.send(Input::Written(effects.ticket()));
    let (_, cancelled) = fixture.cancel("r1");

    let early = fixture.send(Input::JournalStalled);
    let effects = fixture.send(Input::Written(cancelled.ticket()));

    assert_eq!(early.answer(caller), None);
    let answer = effects
        .answer(caller)
        .expect("an answer once it is recorded");
    assert_eq!(answer.code, Code::Cancelled);
}

// Guards against refusing a request as too large for every worker (code 301)
// although it fits on one. After a take-over, the new owner had claimed only
// the smaller of two workers and compared the request with its capacity alone.
#[test]
fn no_request_is_too_large_before_all_workers_are_claimed() {
    let mut fixture = Fixture::with_unclaimed(&["w0", "w1"]);
    fixture.claim("w0", "run-1", 2, Vec::new());
    let mut large = idempotent_request("r1");
    large.needs = Resources {
        accelerators: 1,
        ..Resources::default()
    };

    let (caller, effects) = fixture.submit(large, true);

    assert_eq!(effects.answer(caller), None);
}

#[test]
fn request_too_large_for_every_worker_is_refused_once_all_are_claimed() {
    let mut fixture = Fixture::with_worker();
    let mut large = idempotent_request("r1");
    large.needs = Resources {
        accelerators: 1,
        ..Resources::default()
    };

    let (caller, effects) = fixture.submit(large, true);

    let answer = effects.answer(caller).expect("a refusal");
    assert_eq!(answer.code, Code::NeverFits);
}

// Guards against answering "not run: its latest start has passed" to a batch
// request that ran in part. Its worker was lost, and the request was placed
// again. The table did not answer while the intent was being written, and
// the process handled no input for 20 s. When the intent was written, the
// deadline of the restart had passed, and the answer ignored the first attempt.
#[test]
fn restart_after_the_deadline_is_not_answered_not_run() {
    let mut fixture = Fixture::with_worker();
    let mut batch = idempotent_request("r1");
    batch.class = Class::Batch;
    let (caller, effects) = fixture.submit(batch, true);
    let effects = fixture.send(Input::Written(effects.ticket()));
    fixture.send(Input::Started(effects.starts().remove(0)));
    let restarted = fixture.send(Input::LeaseExpired("w0".to_owned()));

    fixture.advance_without_tick(20_000);
    let late = fixture.send(Input::Written(restarted.ticket()));
    let effects = fixture.send(Input::Written(late.ticket()));

    let answer = effects.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::HostLost, "{answer:?}");
}

// Guards against a successor that answers "not run" to a batch request that ran
// in part. The first worker was lost and the request was waiting for another
// one. The former owner stored its state, in which the attempt had no members
// left and so no intent, and ended.
#[test]
fn successor_does_not_answer_not_run_after_an_ended_attempt() {
    let mut fixture = Fixture::with_worker();
    let mut batch = idempotent_request("r1");
    batch.class = Class::Batch;
    let (_, effects) = fixture.submit(batch, true);
    let effects = fixture.send(Input::Written(effects.ticket()));
    fixture.send(Input::Started(effects.starts().remove(0)));
    fixture.send(Input::WorkerLost("w0".to_owned()));
    fixture.send(Input::LeaseExpired("w0".to_owned()));

    let mut successor = fixture.successor();
    let late = successor.advance(20_000);
    successor.send(Input::Written(late.ticket()));

    assert_eq!(successor.status("r1").code, Code::HostLost);
}
