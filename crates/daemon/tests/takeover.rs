//! Processes that are killed, paused or stopped under load, and the take-over of their shards.

mod support;

use std::time::Duration;

use entry::AnswerBody;
use fake::Cell;
use fake::LoadPlan;
use fake::Outcome;
use fake::count_families;
use fake::restock_request;
use fake::run_load;
use fake::spawn_load;
use fake::verify;
use model::Family;
use model::Request;
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;
use web::CallError;

use crate::support::assert_all_succeeded;
use crate::support::assert_no_violations;
use crate::support::load_plan;
use crate::support::mixed_request;
use crate::support::open_cell;
use crate::support::start;

// Guards against requests that are lost or run twice after a process was killed under load.
// Other processes take its shards over, and callers that have lost their connection ask another
// process. The successor must find out, from the journal and the workers, which tasks the
// former owner has started.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_lost_or_run_twice_after_a_kill() {
    let mut cell = open_cell(3).await;
    // `load_plan` takes the number of requests per second and their total number.
    let plan = load_plan(&cell, 100, 600, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[1].kill();
    let outcomes = load.await.expect("load");

    assert_no_violations(&cell, &outcomes);
    let succeeded = count_families(&outcomes)[&Family::Succeeded];
    assert!(
        succeeded >= outcomes.len() * 99 / 100,
        "{:?}",
        count_families(&outcomes)
    );
    cell.close();
}

// Guards against a process that was paused for twice the TTL of its lease and then answers "not
// run" for requests that its successor has run, or starts them again. This happens if the
// process, once it resumes, carries out decisions made before the pause without checking its
// lease against the clock again.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_paused_past_its_lease_carries_out_no_earlier_decision() {
    let cell = open_cell(3).await;
    let plan = load_plan(&cell, 100, 800, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(4)).await;
    cell.members[0].signal(Signal::SIGCONT);
    let outcomes = load.await.expect("load");

    assert_no_violations(&cell, &outcomes);
    cell.close();
}

// Guards against failed requests while a process is stopped as planned, by SIGTERM under load.
// Its requests in progress must neither lose their connections nor be refused while their shard
// is handed over to another owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_fails_no_request() {
    let mut cell = open_cell(3).await;
    let plan = load_plan(&cell, 100, 600, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[2].signal(Signal::SIGTERM);
    let ended = cell.members[2].wait_exit(Duration::from_secs(30)).await;
    let outcomes = load.await.expect("load");

    assert_eq!(ended, Some(true), "{}", cell.log(2));
    assert_all_succeeded(&outcomes);
    assert_no_violations(&cell, &outcomes);
    cell.close();
}

// Checks the test harness itself: `verify` must report requests that got no answer.
#[tokio::test(flavor = "multi_thread")]
async fn verify_reports_requests_without_an_answer() {
    let client = fake::CellClient::new(fake::CALLER_TOKEN);
    let plan = LoadPlan {
        rate: 100,
        count: 3,
        request: mixed_request,
        servers: vec![fake::free_address()],
        answer_timeout: Duration::from_millis(200),
    };

    let outcomes = run_load(&client, plan).await;

    let violations = verify(&outcomes, &[], model::Resources::default());
    assert_eq!(violations.len(), 3, "{violations:?}");
}

// Guards against requests through a stopping process that wait for a minute and then get the
// answer "no owner". All processes are replaced one after the other, so the owners of the
// shards change again after a stopping process has handed over its own. It must read these
// changes until it ends.
#[tokio::test(flavor = "multi_thread")]
async fn all_processes_are_replaced_without_a_failed_request() {
    let mut cell = open_cell(3).await;
    let plan = load_plan(&cell, 60, 1500, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    for index in 0..3 {
        cell.members[index].signal(Signal::SIGTERM);
        let ended = cell.members[index].wait_exit(Duration::from_secs(30)).await;
        assert_eq!(ended, Some(true), "{}", cell.log(index));
        start(&mut cell, index);
        cell.wait_ready(Duration::from_secs(30))
            .await
            .expect("a ready cell");
    }
    let outcomes = load.await.expect("load");

    assert_all_succeeded(&outcomes);
    assert_no_violations(&cell, &outcomes);
    cell.close();
}

fn nth_restock(number: u32) -> Request {
    restock_request(&format!("restock-{number}"), Duration::from_secs(1))
}

// Guards against restocks that are never answered because their shard was handed over while
// they ran. The workers answer slowly, as on a busy machine, so many tasks end between the new
// owner's claim of their worker and its first poll. The reply to this poll reports the ends. An
// owner that ignores them, but acknowledges the reply with its next poll, does not get them
// again; and the process that accepted the calls waits for them during its own stop.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_that_end_while_their_shard_is_handed_over_are_answered() {
    let cell = open_cell(3).await;
    for worker in &cell.platform.workers {
        worker.update(|behaviour| behaviour.latency = Duration::from_millis(250));
    }
    let mut plan = load_plan(&cell, 80, 480, nth_restock);
    // The process that is stopped gets no calls.
    plan.servers.remove(0);
    plan.answer_timeout = Duration::from_secs(20);
    let client = cell.caller.clone();

    let load = tokio::spawn(async move { run_load(&client, plan).await });
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[0].signal(Signal::SIGTERM);
    let outcomes = load.await.expect("load");

    let failed = outcomes
        .iter()
        .filter(|outcome| outcome.family() != Family::Succeeded);
    let failed: Vec<&Outcome> = failed.collect();
    assert!(failed.is_empty(), "{failed:#?}");
    let violations = verify(&outcomes, &cell.platform.log.runs(), cell.platform.capacity);
    assert!(violations.is_empty(), "{violations:#?}");
    cell.close();
}

/// Submits a task of one minute through a process and waits until a worker runs it.
async fn submit_long_task(cell: &Cell, index: usize) -> JoinHandle<Result<AnswerBody, CallError>> {
    let (client, server) = (cell.caller.clone(), cell.http(index));
    let request = restock_request("long", Duration::from_mins(1));
    let answer_timeout = Duration::from_mins(2);
    let caller = tokio::spawn(async move { client.submit(server, &request, answer_timeout).await });
    let runs = || cell.platform.log.runs();
    while !runs().iter().any(|run| run.request.ends_with("/long")) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    caller
}

// Guards against a planned stop that takes longer than the half minute that platforms allow,
// so that the process is killed and its callers' connections break. A process hands its shards
// over within 0.1 s, but its callers may wait up to a minute for the answers to requests that
// run under other owners. It must not wait for these answers: its callers are answered that the
// requests are pending, and can ask another process.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_does_not_wait_for_long_tasks() {
    let mut cell = open_cell(2).await;
    let caller = submit_long_task(&cell, 1).await;

    cell.members[1].signal(Signal::SIGTERM);
    let ended = cell.members[1].wait_exit(Duration::from_secs(25)).await;

    assert_eq!(ended, Some(true), "{}", cell.log(1));
    let answer = caller.await.expect("caller").expect("a complete answer");
    assert_eq!(answer.family, Family::Pending, "{answer:?}");
    let status = cell.caller.status(cell.http(0), "long").await;
    let status = status.expect("status").expect("a recorded request");
    assert_eq!(status.family, Family::Pending, "{status:?}");
    let runs = cell.platform.log.runs();
    let long = runs.iter().filter(|run| run.request.ends_with("/long"));
    assert_eq!(long.count(), 1, "the task was started again");
    cell.close();
}

// Guards against a planned stop that takes longer than the half minute that platforms allow
// while the table is down. A process renews its lease before it hands its shards over, and so
// would wait up to a minute for a hand-over that cannot begin. It must stop without one: the
// other processes can take the shards over once the table is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_does_not_wait_for_the_table() {
    let mut cell = open_cell(2).await;
    cell.platform.set_outage(true);

    cell.members[1].signal(Signal::SIGTERM);
    let ended = cell.members[1].wait_exit(Duration::from_secs(25)).await;
    cell.platform.set_outage(false);

    assert_eq!(ended, Some(true), "{}", cell.log(1));
    let ready = cell.wait_ready(Duration::from_secs(30)).await;
    assert_eq!(ready, Ok(()), "{}", cell.log(0));
    cell.close();
}
