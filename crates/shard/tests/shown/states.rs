//! Status and waiting time of a request.

use model::Code;
use shard::Input;
use worker::EndResult;

use crate::fixture::Fixture;
use crate::fixture::idempotent_request;
use crate::fixture::key;
use crate::fixture::recorded_request;
use crate::fixture::task_ended;

// Guards against the status "running on w0" while w0 has not confirmed the
// start: the start or its reply may be lost. The status was derived from the
// start that was sent.
#[test]
fn unconfirmed_start_is_not_shown_as_running() {
    let mut fixture = Fixture::with_worker();
    fixture.submit(idempotent_request("r1"), true);

    let sent = fixture.status("r1");
    // Attempt id with epoch 1, attempt 1 and member 0.
    fixture.send(Input::Started(format!("{}#1.1.0", key("r1"))));
    let started = fixture.status("r1");

    assert_eq!(sent.reason, "start sent to w0, which has not confirmed it");
    assert_eq!(started.reason, "running on w0");
}

// Guards against the status "running on w0, w0" although only one member of the
// gang is left: it listed the workers of all members.
#[test]
fn gang_status_lists_only_workers_of_running_members() {
    let mut fixture = Fixture::with_worker();
    let mut gang = idempotent_request("r1");
    gang.members = 2;
    gang.class = model::Class::Gang;
    let (_, effects) = fixture.submit(gang, true);
    // The starts of a gang are sent once the intent to start is recorded.
    let effects = fixture.send(Input::Written(effects.ticket()));
    let starts = effects.starts();
    for attempt in &starts {
        fixture.send(Input::Started(attempt.clone()));
    }

    fixture.send(task_ended(&starts[0], "r1", EndResult::Succeeded));
    let status = fixture.status("r1");

    assert_eq!(status.reason, "running on w0; 1 ended");
}

// Guards against the status "waiting for workers" (code 500, pending), which
// implies acceptance, before the acceptance of the request is recorded in the
// platform's table. If the owner ends at that point, its successor has no record
// of the request.
#[test]
fn request_is_not_shown_as_accepted_before_it_is_recorded() {
    let mut fixture = Fixture::with_unclaimed(&["w0"]);
    let (_, effects) = fixture.submit(recorded_request("r1"), true);

    let early = fixture.status("r1");
    fixture.send(Input::Written(effects.ticket()));
    let late = fixture.status("r1");

    assert_eq!(early.reason, "its acceptance is being recorded");
    assert_eq!(late.reason, "waiting for workers");
}

// Guards against the status "ended" for a request that was cancelled in the
// queue.
#[test]
fn request_that_never_ran_is_not_shown_as_ended() {
    let mut fixture = Fixture::with_unclaimed(&["w0"]);
    let (_, effects) = fixture.submit(recorded_request("r1"), true);
    fixture.send(Input::Written(effects.ticket()));
    fixture.cancel("r1");

    let status = fixture.status("r1");

    assert_eq!(status.reason, "its answer is being recorded");
}

// Guards against waiting times that end when the start is sent. A slow worker
// started its tasks 700 ms after the placement, and their waiting time was
// shown as 0 ms.
#[test]
fn waiting_time_ends_when_the_worker_confirms_the_start() {
    let mut fixture = Fixture::with_worker();
    let (caller, effects) = fixture.submit(idempotent_request("r1"), true);
    let attempt = effects.starts().remove(0);
    fixture.advance(700);
    fixture.send(Input::Started(attempt.clone()));

    let effects = fixture.send(task_ended(&attempt, "r1", EndResult::Succeeded));

    let answer = effects.answer(caller).expect("a final answer");
    assert_eq!((answer.code, answer.waited_millis), (Code::Ok, 700));
}
