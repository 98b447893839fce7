//! How a request stands, and how long it waited.

use model::Code;
use shard::Input;
use worker::EndResult;

use crate::desk::Desk;
use crate::desk::confirmation;
use crate::desk::ended;
use crate::desk::key;
use crate::desk::lookup;

// A caller was told that its request is "running on w0", which had never heard
// of it. The start was sent, and its answer was lost on the way; the state was
// read from what was ordered.
#[test]
fn a_start_that_was_only_sent_is_not_said_to_run() {
    let mut desk = Desk::with_worker();
    desk.submit(lookup("r1"), true);

    let sent = desk.status("r1");
    desk.feed(Input::Started(format!("{}#1.1.0", key("r1"))));
    let started = desk.status("r1");

    assert_eq!(sent.reason, "start sent to w0, which has not confirmed it");
    assert_eq!(started.reason, "running on w0");
}

// Of a gang with one member left, all workers were said to run it.
#[test]
fn a_gang_is_said_to_run_where_it_runs() {
    let mut desk = Desk::with_worker();
    let mut gang = lookup("r1");
    gang.members = 2;
    gang.class = model::Class::Gang;
    let (_, seen) = desk.submit(gang, true);
    let seen = desk.feed(Input::Written(seen.ticket()));
    let starts = seen.starts();
    for attempt in &starts {
        desk.feed(Input::Started(attempt.clone()));
    }

    desk.feed(ended(&starts[0], "r1", EndResult::Succeeded));
    let status = desk.status("r1");

    assert_eq!(status.reason, "running on w0; 1 ended");
}

// A caller asked how its request stands and was told that it waits for a
// worker, which means accepted (500). Its record was still on the way to the
// table; the owner ended, and nobody knew the request any more.
#[test]
fn a_request_whose_record_is_under_way_is_not_said_to_be_accepted() {
    let mut desk = Desk::open(&["w0"]);
    let (_, seen) = desk.submit(confirmation("r1"), true);

    let early = desk.status("r1");
    desk.feed(Input::Written(seen.ticket()));
    let late = desk.status("r1");

    assert_eq!(early.reason, "its acceptance is being recorded");
    assert_eq!(late.reason, "waiting for workers");
}

// A request that was cancelled in the queue was said to have "ended".
#[test]
fn a_request_that_never_ran_is_not_said_to_have_ended() {
    let mut desk = Desk::open(&["w0"]);
    let (_, seen) = desk.submit(confirmation("r1"), true);
    desk.feed(Input::Written(seen.ticket()));
    desk.cancel("r1");

    let status = desk.status("r1");

    assert_eq!(status.reason, "its answer is being recorded");
}

// The waiting times shown were those until the start was sent. A worker was
// slow to answer, its tasks began 700 ms after the decision, and each of them
// was shown to have waited 0 ms.
#[test]
fn the_wait_ends_when_the_worker_says_that_the_task_started() {
    let mut desk = Desk::with_worker();
    let (caller, seen) = desk.submit(lookup("r1"), true);
    let attempt = seen.starts().remove(0);
    desk.wait(700);
    desk.feed(Input::Started(attempt.clone()));

    let seen = desk.feed(ended(&attempt, "r1", EndResult::Succeeded));

    let answer = seen.answer(caller).expect("a final answer");
    assert_eq!((answer.code, answer.waited_millis), (Code::Ok, 700));
}
