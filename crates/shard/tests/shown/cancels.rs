//! What the caller of a cancel call is told, and those who wait.

use model::Code;
use shard::Input;
use shard::ShardReply;
use worker::EndResult;

use crate::desk::Desk;
use crate::desk::confirmation;
use crate::desk::ended;
use crate::desk::key;
use crate::desk::lookup;

// A caller was told that its confirmation was stopped (201, "failed") although
// it had run to its end with success. The cancel call came while the task ran,
// the stop was sent, and the worker's word of the success arrived before the
// stop did. The shard answered by what it had ordered and not by how the
// worker said that the task ended.
#[test]
fn a_task_that_succeeds_before_its_stop_arrives_has_succeeded() {
    let mut desk = Desk::with_worker();
    let (caller, _) = desk.submit(lookup("r1"), true);
    let attempt = format!("{}#1.1.0", key("r1"));
    desk.feed(Input::Started(attempt.clone()));
    desk.cancel("r1");

    let seen = desk.feed(ended(&attempt, "r1", EndResult::Succeeded));

    let answer = seen.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::Ok, "{answer:?}");
}

// The same race with a task that fails by itself: its caller was told that it
// was stopped, and never saw what the task wrote.
#[test]
fn a_task_that_fails_before_its_stop_arrives_has_failed() {
    let mut desk = Desk::with_worker();
    let (caller, _) = desk.submit(lookup("r1"), true);
    let attempt = format!("{}#1.1.0", key("r1"));
    desk.feed(Input::Started(attempt.clone()));
    desk.cancel("r1");

    let seen = desk.feed(ended(&attempt, "r1", EndResult::Failed));

    let answer = seen.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::TaskFailed, "{answer:?}");
}

#[test]
fn a_task_that_its_worker_stopped_is_said_to_be_stopped() {
    let mut desk = Desk::with_worker();
    let (caller, _) = desk.submit(lookup("r1"), true);
    let attempt = format!("{}#1.1.0", key("r1"));
    desk.feed(Input::Started(attempt.clone()));
    desk.cancel("r1");

    let seen = desk.feed(ended(&attempt, "r1", EndResult::Stopped));

    let answer = seen.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::TaskStopped, "{answer:?}");
}

// A caller was told that its task was stopped, while nobody knew how far it
// had come. The task was running, its caller cancelled it, and its worker fell
// silent until the lease was over. The task may have ended well before that;
// the shard took the stop that it had sent for one that was carried out.
#[test]
fn a_cancelled_task_on_a_lost_worker_may_have_run() {
    let mut desk = Desk::with_worker();
    let (caller, _) = desk.submit(lookup("r1"), true);
    desk.feed(Input::Started(format!("{}#1.1.0", key("r1"))));
    desk.cancel("r1");

    let seen = desk.feed(Input::LeaseOver("w0".to_owned()));

    let answer = seen.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::HostLost, "{answer:?}");
}

// A caller was told that its task was stopped "between two attempts", while
// nobody knew how the first had ended. Its worker was lost, the request went
// back to the queue, and was cancelled there.
#[test]
fn a_request_cancelled_after_a_lost_attempt_may_have_run() {
    let mut desk = Desk::with_worker();
    let (caller, _) = desk.submit(lookup("r1"), true);
    desk.feed(Input::Started(format!("{}#1.1.0", key("r1"))));
    desk.feed(Input::WorkerLost("w0".to_owned()));
    desk.feed(Input::LeaseOver("w0".to_owned()));

    let (_, seen) = desk.cancel("r1");

    let answer = seen.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::HostLost, "{answer:?}");
}

// An operator was told "0 cancelled" of a call that had cancelled a request.
// The reply to the first call was lost, and the same call was made again; the
// shard counted only what was still open, and answered before the record of
// the first call was in the table.
#[test]
fn a_repeated_cancel_call_counts_what_the_first_one_did() {
    let mut desk = Desk::open(&["w0"]);
    let (_, seen) = desk.submit(confirmation("r1"), true);
    desk.feed(Input::Written(seen.ticket()));
    desk.cancel("r1");

    let (again, early) = desk.cancel("r1");
    let seen = desk.feed(Input::Written(early.ticket()));

    assert_eq!(early.reply(again), None);
    assert_eq!(seen.reply(again), Some(ShardReply::Cancelled(1)));
}

// A cancelled task ran on for its whole time. The stop was lost on its way, as
// the shard's link to the worker had just broken; the caller had been told
// that it was cancelled, and nobody sent the stop again.
#[test]
fn a_task_that_a_worker_still_lists_is_stopped_again() {
    let mut desk = Desk::with_worker();
    desk.submit(lookup("r1"), true);
    let attempt = format!("{}#1.1.0", key("r1"));
    desk.feed(Input::Started(attempt.clone()));
    desk.cancel("r1");
    let task = worker::Task {
        attempt: attempt.clone(),
        request: key("r1"),
        needs: model::Resources::default(),
        end: None,
    };

    let seen = desk.claim("w0", "run-1", 2, vec![task]);

    assert_eq!(seen.stops(), [attempt]);
}

// The time line said that a request was cancelled while it ran on to its end.
// The event was recorded when the stop was sent; a request that really was
// cancelled, in the queue, had no such event.
#[test]
fn a_request_is_recorded_as_cancelled_when_it_is() {
    let mut desk = Desk::with_worker();
    desk.submit(lookup("r1"), true);
    desk.feed(Input::Started(format!("{}#1.1.0", key("r1"))));
    let mut idle = Desk::open(&["w0"]);
    idle.submit(lookup("r2"), true);

    let (_, running) = desk.cancel("r1");
    let (_, waiting) = idle.cancel("r2");

    assert!(!running.events().contains(&"request_cancelled".to_owned()));
    assert!(running.events().contains(&"stop_asked".to_owned()));
    assert!(waiting.events().contains(&"request_cancelled".to_owned()));
}
