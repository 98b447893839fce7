//! Answers of a process that doesn't own the shard of a request.

use std::sync::Arc;
use std::time::Duration;

use model::Answer;
use model::Class;
use model::Code;
use model::Request;
use model::Resources;
use shard::Router;
use shard::ShardAsk;
use shard::ShardReply;
use shard::ShardTaskMessage;
use shard::Submission;
use shard::View;
use tokio::sync::mpsc;
use tokio::sync::watch;
use web::Handler;
use web::Method;

use crate::fixture::Fixture;
use crate::fixture::call;

fn lookup() -> Request {
    Request {
        id: "r1".to_owned(),
        team: "stores".to_owned(),
        class: Class::Interactive,
        needs: Resources::default(),
        run_millis: 100,
        deadline_millis: 20_000,
        idempotent: true,
        members: 1,
        label: String::new(),
        sent_millis: 0,
        payload: String::new(),
    }
}

// Guards against the status "pending" (500) for a request that was never submitted. The
// owner of its shard could not be reached, so the process could not know the request's state.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_owner_does_not_answer_is_not_shown_as_pending() {
    let fixture = Fixture::new();

    let reply = fixture
        .api
        .handle(call(Method::GET, "/v1/requests/r1", ""))
        .await;

    assert_eq!(reply.status().as_u16(), 503);
}

// Guards against the answer "not run" for a request that has run. The first owner started it
// and ended; the entry host submitted it again to the successor without saying that this was
// a second try. The successor found no record of it and handled it as a new request.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_try_carries_the_time_of_the_first() {
    let fixture = Fixture::new();
    let (owner, mut inbox) = mpsc::unbounded_channel();
    let mut view = View::default();
    view.local.insert(0, owner);
    let (_publish, view) = watch::channel(Arc::new(view));
    let (node, _) = fixture.other_node();
    let router = Router::new(node, 1, view);
    let submission = Submission {
        request: lookup(),
        waited_millis: 0,
        wait: true,
    };
    let before = event::wall_millis();

    let (_redirect_sender, redirect_callers) = watch::channel(false);
    let wait_limit = Duration::from_secs(5);
    let submitting = tokio::spawn(async move {
        router
            .submit(submission, wait_limit, redirect_callers)
            .await
    });
    let first = next_submission(&mut inbox, None).await;
    let ok = Answer::without_output("r1", Code::Ok, "");
    let second = next_submission(&mut inbox, Some(ok)).await;
    submitting.await.expect("an answer");

    assert_eq!(first.request.sent_millis, 0);
    let sent = second.request.sent_millis;
    assert!((before..=event::wall_millis()).contains(&sent), "{sent}");
}

/// Receives the next submission as the owner of its shard. Sends `answer`, or with `None`
/// drops the reply channel, as an owner that ends.
async fn next_submission(
    inbox: &mut mpsc::UnboundedReceiver<ShardTaskMessage>,
    answer: Option<Answer>,
) -> Submission {
    let Some(ShardTaskMessage::Ask(ShardAsk::Submit(submission), reply)) = inbox.recv().await
    else {
        panic!("no submission");
    };
    if let Some(answer) = answer {
        reply
            .send(ShardReply::Answer(answer))
            .expect("a waiting caller");
    }
    submission
}
