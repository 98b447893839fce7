//! Replies to cancel calls and to callers whose requests were cancelled.

use model::Code;
use shard::Input;
use shard::ShardReply;
use worker::EndResult;

use crate::fixture::Fixture;
use crate::fixture::idempotent_request;
use crate::fixture::key;
use crate::fixture::recorded_request;
use crate::fixture::task_ended;

// Guards against answering "stopped" (code 201, of the family "failed") to a
// cancelled request whose task succeeded. The worker reported the success after
// the stop was sent but before it arrived, and the shard answered by the stop
// that it had sent instead of the reported result.
#[test]
fn cancelled_task_that_succeeds_before_the_stop_is_answered_ok() {
    let mut fixture = Fixture::with_worker();
    let (caller, _) = fixture.submit(idempotent_request("r1"), true);
    // Epoch 1, attempt 1, member 0.
    let attempt = format!("{}#1.1.0", key("r1"));
    fixture.send(Input::Started(attempt.clone()));
    fixture.cancel("r1");

    let effects = fixture.send(task_ended(&attempt, "r1", EndResult::Succeeded));

    let answer = effects.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::Ok, "{answer:?}");
}

// The same race with a task that fails by itself: the caller got the answer
// that it was stopped and did not get the output of the task.
#[test]
fn cancelled_task_that_fails_before_the_stop_is_answered_failed() {
    let mut fixture = Fixture::with_worker();
    let (caller, _) = fixture.submit(idempotent_request("r1"), true);
    let attempt = format!("{}#1.1.0", key("r1"));
    fixture.send(Input::Started(attempt.clone()));
    fixture.cancel("r1");

    let effects = fixture.send(task_ended(&attempt, "r1", EndResult::Failed));

    let answer = effects.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::TaskFailed, "{answer:?}");
}

#[test]
fn task_stopped_by_its_worker_is_answered_stopped() {
    let mut fixture = Fixture::with_worker();
    let (caller, _) = fixture.submit(idempotent_request("r1"), true);
    let attempt = format!("{}#1.1.0", key("r1"));
    fixture.send(Input::Started(attempt.clone()));
    fixture.cancel("r1");

    let effects = fixture.send(task_ended(&attempt, "r1", EndResult::Stopped));

    let answer = effects.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::TaskStopped, "{answer:?}");
}

// Guards against answering "stopped" when the result of the task is unknown. A
// running task was cancelled, and its worker did not answer until the lease
// expired. The task may have succeeded before; the shard assumed that the stop
// that it had sent was carried out.
#[test]
fn cancelled_task_on_a_lost_worker_may_have_run() {
    let mut fixture = Fixture::with_worker();
    let (caller, _) = fixture.submit(idempotent_request("r1"), true);
    fixture.send(Input::Started(format!("{}#1.1.0", key("r1"))));
    fixture.cancel("r1");

    let effects = fixture.send(Input::LeaseExpired("w0".to_owned()));

    let answer = effects.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::HostLost, "{answer:?}");
}

// Guards against answering "cancelled between two attempts" when the result of
// the first attempt is unknown: its worker was lost, the request was queued
// again and was cancelled in the queue.
#[test]
fn request_cancelled_after_a_lost_attempt_may_have_run() {
    let mut fixture = Fixture::with_worker();
    let (caller, _) = fixture.submit(idempotent_request("r1"), true);
    fixture.send(Input::Started(format!("{}#1.1.0", key("r1"))));
    fixture.send(Input::WorkerLost("w0".to_owned()));
    fixture.send(Input::LeaseExpired("w0".to_owned()));

    let (_, effects) = fixture.cancel("r1");

    let answer = effects.answer(caller).expect("a final answer");
    assert_eq!(answer.code, Code::HostLost, "{answer:?}");
}

// Guards against the reply "0 cancelled" to a repeated cancel call whose first
// reply was lost. The shard counted only requests that were still open, and it
// replied before the record of the first call was in the table.
#[test]
fn repeated_cancel_call_returns_the_count_of_the_first() {
    let mut fixture = Fixture::with_unclaimed(&["w0"]);
    let (_, effects) = fixture.submit(recorded_request("r1"), true);
    fixture.send(Input::Written(effects.ticket()));
    fixture.cancel("r1");

    let (repeated, early) = fixture.cancel("r1");
    let effects = fixture.send(Input::Written(early.ticket()));

    assert_eq!(early.reply(repeated), None);
    assert_eq!(effects.reply(repeated), Some(ShardReply::Cancelled(1)));
}

// Guards against a cancelled task that runs to its end. The stop was lost
// because the link to the worker had just broken, and it was not sent again
// although the reply to the caller had said that the request was cancelled.
#[test]
fn stop_is_repeated_if_the_worker_still_lists_the_task() {
    let mut fixture = Fixture::with_worker();
    fixture.submit(idempotent_request("r1"), true);
    let attempt = format!("{}#1.1.0", key("r1"));
    fixture.send(Input::Started(attempt.clone()));
    fixture.cancel("r1");
    let task = worker::Task {
        attempt: attempt.clone(),
        request: key("r1"),
        needs: model::Resources::default(),
        end: None,
    };

    let effects = fixture.claim("w0", "run-1", 2, vec![task]);

    assert_eq!(effects.stops(), [attempt]);
}

// Guards against a timeline that shows a request as cancelled although it ran
// to its end: the event was recorded when the stop was sent. A request that was
// cancelled in the queue had no such event.
#[test]
fn cancel_event_is_recorded_only_after_the_cancellation() {
    let mut fixture = Fixture::with_worker();
    fixture.submit(idempotent_request("r1"), true);
    fixture.send(Input::Started(format!("{}#1.1.0", key("r1"))));
    let mut idle = Fixture::with_unclaimed(&["w0"]);
    idle.submit(idempotent_request("r2"), true);

    let (_, running) = fixture.cancel("r1");
    let (_, waiting) = idle.cancel("r2");

    assert!(!running.events().contains(&"request_cancelled".to_owned()));
    assert!(running.events().contains(&"stop_asked".to_owned()));
    assert!(waiting.events().contains(&"request_cancelled".to_owned()));
}
