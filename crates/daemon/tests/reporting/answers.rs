//! Answers of a process that does not own the shard of a request, but calls its owner.

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

// Guards against the status "pending" (code 500) for a request that was never submitted. The
// process can reach no owner of the request's shard, so it has no information about the request
// and must answer with HTTP status 503.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_owner_cannot_be_reached_is_not_shown_as_pending() {
    let fixture = Fixture::new();

    let reply = fixture
        .api
        .handle(call(Method::GET, "/v1/requests/r1", ""))
        .await;

    assert_eq!(reply.status().as_u16(), 503);
}

// Guards against the answer "not run" for a request that has run. The first owner starts it and
// ends before it answers, so the process that accepted the call submits it again, to the
// successor. The second submission must contain the time of the first (`sent_millis`).
// Otherwise the successor, which finds no record of the request, handles it as a new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_try_carries_the_time_of_the_first() {
    let fixture = Fixture::new();
    let (owner, mut inbox) = mpsc::unbounded_channel();
    let mut view = View::default();
    // The cell has one shard, 0, which this process owns.
    view.local.insert(0, owner);
    let (_publish, view) = watch::channel(Arc::new(view));
    let (endpoint, _) = fixture.other_endpoint();
    let router = Router::new(endpoint, 1, view);
    // The caller sends the request for the first time, so its `sent_millis` is 0.
    let submission = Submission {
        request: lookup(),
        waited_millis: 0,
        wait: true,
    };
    let before = event::wall_millis();

    let (_redirect_sender, redirect_callers) = watch::channel(false);
    let answer_timeout = Duration::from_secs(5);
    let submitting = tokio::spawn(async move {
        router
            .submit(submission, answer_timeout, redirect_callers)
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

/// Receives the next submission in the place of the owner of its shard. Replies with `answer`;
/// if it is `None`, drops the reply channel without a reply, as an owner does that ends.
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
