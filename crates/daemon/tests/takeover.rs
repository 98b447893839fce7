//! Processes that die, pause or stop while requests are under way.

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

use crate::support::check_all_succeeded;
use crate::support::check_rules;
use crate::support::mixed;
use crate::support::open_cell;
use crate::support::plan_for;
use crate::support::start;

// Symptom: requests lost, or run twice, after a process was killed.
// Sequence: three processes under a mixed load; one is killed; its shards are
// taken over; callers that lost their connection ask again elsewhere.
// Cause: a later owner that does not know what the earlier one had started.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_process_loses_and_repeats_nothing() {
    let mut cell = open_cell(3).await;
    let plan = plan_for(&cell, 100, 600, mixed);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[1].kill();
    let outcomes = load.await.expect("load");

    check_rules(&cell, &outcomes);
    let succeeded = count_families(&outcomes)[&Family::Succeeded];
    assert!(
        succeeded >= outcomes.len() * 99 / 100,
        "{:?}",
        count_families(&outcomes)
    );
    cell.close();
}

// Symptom: a process that was paused past its lease answered "not run" for
// requests that its successor had run, or started them a second time.
// Sequence: the process is stopped for twice the TTL, its shards are taken,
// then it goes on with everything that it had decided before.
// Cause: deciding on a lease without looking at the clock again.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_process_neither_starts_nor_answers_wrongly() {
    let cell = open_cell(3).await;
    let plan = plan_for(&cell, 100, 800, mixed);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(4)).await;
    cell.members[0].signal(Signal::SIGCONT);
    let outcomes = load.await.expect("load");

    check_rules(&cell, &outcomes);
    cell.close();
}

// Symptom: callers saw errors while a process was replaced as planned.
// Sequence: SIGTERM under load; the shards move; the process ends.
// Cause: requests in progress cut off, or refused in between two owners.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_fails_no_request() {
    let mut cell = open_cell(3).await;
    let plan = plan_for(&cell, 100, 600, mixed);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.members[2].signal(Signal::SIGTERM);
    let ended = cell.members[2].wait_exit(Duration::from_secs(30)).await;
    let outcomes = load.await.expect("load");

    assert_eq!(ended, Some(true), "{}", cell.log(2));
    check_all_succeeded(&outcomes);
    check_rules(&cell, &outcomes);
    cell.close();
}

// The load itself is judged too: it must notice a missing answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_without_any_server_has_no_answers() {
    let client = fake::CellClient::new(fake::CALLER_TOKEN);
    let plan = LoadPlan {
        rate: 100,
        count: 3,
        request: mixed,
        servers: vec![fake::free_address()],
        answer_timeout: Duration::from_millis(200),
    };

    let outcomes = run_load(&client, plan).await;

    let wrong = verify(&outcomes, &[], model::Resources::default());
    assert_eq!(wrong.len(), 3, "{wrong:?}");
}

// Symptom: requests through a stopping process waited for a minute and then
// got "no owner". Sequence: all processes are replaced one after the other
// under load; shards move on after a process has handed its own over.
// Cause: a leaving process that no longer followed who owns what.
#[tokio::test(flavor = "multi_thread")]
async fn all_processes_are_replaced_without_a_failed_request() {
    let mut cell = open_cell(3).await;
    let plan = plan_for(&cell, 60, 1500, mixed);

    let load = spawn_load(&cell.caller, plan);
    for index in 0..3 {
        cell.members[index].signal(Signal::SIGTERM);
        let ended = cell.members[index].wait_exit(Duration::from_secs(30)).await;
        assert_eq!(ended, Some(true), "{}", cell.log(index));
        start(&mut cell, index);
        cell.wait_ready(Duration::from_secs(30))
            .await
            .expect("settled");
    }
    let outcomes = load.await.expect("load");

    check_all_succeeded(&outcomes);
    check_rules(&cell, &outcomes);
    cell.close();
}

fn restocks(number: u32) -> Request {
    restock_request(&format!("restock-{number}"), Duration::from_secs(1))
}

// Restocks that ran while their shard was handed over got no answer, and the
// process through which they had been sent waited for them when it was stopped
// in turn. The workers answer slowly, as on a busy machine, so many a task ends
// between the claim of its worker and the poll that follows it. That poll's
// reply told of the ends; it was acknowledged, and the ends were left aside.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_that_end_while_their_shard_is_handed_over_are_answered() {
    let cell = open_cell(3).await;
    for worker in &cell.platform.workers {
        worker.update(|manner| manner.latency = Duration::from_millis(250));
    }
    let mut plan = plan_for(&cell, 80, 480, restocks);
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
    let wrong = verify(&outcomes, &cell.platform.log.runs(), cell.platform.capacity);
    assert!(wrong.is_empty(), "{wrong:#?}");
    cell.close();
}

/// Submits a task of a minute through a process and waits until it runs.
async fn submit_long(cell: &Cell, index: usize) -> JoinHandle<Result<AnswerBody, CallError>> {
    let (client, server) = (cell.caller.clone(), cell.http(index));
    let request = restock_request("long", Duration::from_mins(1));
    let patience = Duration::from_mins(2);
    let caller = tokio::spawn(async move { client.submit(server, &request, patience).await });
    let runs = || cell.platform.log.runs();
    while !runs().iter().any(|run| run.request.ends_with("/long")) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    caller
}

// A process that was asked to stop did not end within the half minute that
// platforms give, and was killed with its callers' connections. It had handed
// its shards over within 0.1 s; then it waited for the answers to requests that
// ran elsewhere, for up to a minute. Nothing is lost by not waiting: the caller
// is told that there is no answer yet, and asks another process.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_does_not_wait_for_long_tasks() {
    let mut cell = open_cell(2).await;
    let caller = submit_long(&cell, 1).await;

    cell.members[1].signal(Signal::SIGTERM);
    let ended = cell.members[1].wait_exit(Duration::from_secs(25)).await;

    assert_eq!(ended, Some(true), "{}", cell.log(1));
    let answer = caller.await.expect("caller").expect("a whole answer");
    assert_eq!(answer.family, Family::Pending, "{answer:?}");
    let status = cell.caller.status(cell.http(0), "long").await;
    let status = status.expect("status").expect("known");
    assert_eq!(status.family, Family::Pending, "{status:?}");
    let runs = cell.platform.log.runs();
    let long = runs.iter().filter(|run| run.request.ends_with("/long"));
    assert_eq!(long.count(), 1, "it was started again");
    cell.close();
}

// A process that was asked to stop while the table was away did not end within
// the half minute that platforms give. It hands its shards over only after it
// has renewed its lease, so it waited for the end of a hand-over that had not
// begun, for up to a minute. The others can take its shards without it.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_does_not_wait_for_the_table() {
    let mut cell = open_cell(2).await;
    cell.platform.set_outage(true);

    cell.members[1].signal(Signal::SIGTERM);
    let ended = cell.members[1].wait_exit(Duration::from_secs(25)).await;
    cell.platform.set_outage(false);

    assert_eq!(ended, Some(true), "{}", cell.log(1));
    let served = cell.wait_ready(Duration::from_secs(30)).await;
    assert_eq!(served, Ok(()), "{}", cell.log(0));
    cell.close();
}
