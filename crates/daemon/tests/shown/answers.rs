//! Answers of a process that is not the owner of a shard.

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

use crate::house::House;
use crate::house::call;

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

// A caller asked for a request that nobody had ever submitted, and was told
// that it is pending (500). The owner of its shard could not be reached, so
// nothing at all was known of the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_owner_is_silent_is_not_said_to_be_pending() {
    let house = House::new();

    let reply = house
        .api
        .handle(call(Method::GET, "/v1/requests/r1", ""))
        .await;

    assert_eq!(reply.status().as_u16(), 503);
}

// A caller was told "not run" of a request that had run. The first owner had
// started it and ended; the process that took the call asked the next owner,
// on the caller's behalf, without telling that this was a second try. The next
// owner found no trace, and took it for a new request.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_try_tells_when_the_first_was_made() {
    let house = House::new();
    let (owner, mut inbox) = mpsc::unbounded_channel();
    let mut view = View::default();
    view.local.insert(0, owner);
    let (_publish, view) = watch::channel(Arc::new(view));
    let (node, _) = house.other_node();
    let router = Router::new(node, 1, view);
    let submission = Submission {
        request: lookup(),
        waited_millis: 0,
        wait: true,
    };
    let before = event::wall_millis();

    let (_dismiss, dismissed) = watch::channel(false);
    let patience = Duration::from_secs(5);
    let asking = tokio::spawn(async move { router.submit(submission, patience, dismissed).await });
    let first = next_submission(&mut inbox, None).await;
    let ok = Answer::without_output("r1", Code::Ok, "");
    let second = next_submission(&mut inbox, Some(ok)).await;
    asking.await.expect("an answer");

    assert_eq!(first.request.sent_millis, 0);
    let sent = second.request.sent_millis;
    assert!((before..=event::wall_millis()).contains(&sent), "{sent}");
}

/// The next submission that an owner gets. It is answered, or its owner ends
/// without a reply.
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
            .expect("a caller that waits");
    }
    submission
}
