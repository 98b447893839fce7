//! Writes of jobs that the store carries out after the reply to a later cancel.

use std::time::Duration;
use std::time::Instant;

use cell::AcceptedJob;
use hyper::Method;
use job::JobId;
use job::JobSpec;
use job::Organisation;
use job::ResourceLimit;
use job::Resources;
use job::StepSpec;
use serde_json::Value;
use site::Caller;
use site::TestCell;
use site::job;
use site::organisations_config;
use web::Call;
use web::Client;

/// Time after which the owner has read a row that was written, and could have started its job.
const READ_TIME: Duration = Duration::from_millis(1500);

fn path(id: JobId) -> String {
    format!("/plain/{id:016x}")
}

/// Opens a cell of three processes and two workers, and completes one job.
async fn open() -> (TestCell, Caller) {
    let cell = TestCell::open(3, 2).await;
    let caller = Caller::new();
    complete(&cell, &caller, 0x100).await;
    (cell, caller)
}

async fn complete(cell: &TestCell, caller: &Caller, id: JobId) {
    let path = path(id);
    caller.submit(&cell.servers(), &path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), &path, "completed").await;
}

/// Cancels a job through a process; returns the HTTP status.
async fn cancel(cell: &TestCell, caller: &Caller, process: usize, id: JobId) -> u16 {
    let server = cell.server(process);
    let path = path(id);
    let send = caller.send(Method::DELETE, server, &path, &Value::Null);
    send.await.0
}

/// A job of one short task, as a process stores it.
fn spec(organisation: Option<&str>) -> JobSpec {
    JobSpec {
        queue: job::Queue {
            name: "plain".to_owned(),
            host: "desk.example".to_owned(),
            prefix: "/plain/".to_owned(),
            service: "desk".to_owned(),
            priority: 0,
            attempts: 2,
            stretch: 2.0,
            slack: Duration::from_secs(1),
            timeout: Duration::from_secs(3),
            advice: None,
            public: false,
        },
        payload: "20".to_owned(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu: 1000,
                memory: 100,
                gpu: 0,
            },
            estimate: Duration::from_millis(20),
            ..StepSpec::default()
        }],
        schedule: None,
        received: Duration::ZERO,
        canceled: false,
        organisation: organisation.map(|name| Organisation {
            name: name.to_owned(),
            weight: 1.0,
            limit: ResourceLimit::default(),
        }),
    }
}

/// Carries out a write of a job to one of its rows.
fn write(cell: &TestCell, id: JobId, place: usize, spec: &JobSpec) {
    let row = &cell::job_rows(id)[place];
    let value = cell::encode_row(spec);
    cell.store
        .write_row(&row.table, &row.part, &row.key, &value);
}

fn starts(cell: &TestCell, id: JobId) -> usize {
    cell.log.starts(&format!("{id:016x}"))
}

/// Guards against a job that starts although its cancel was answered 410: a write of the job, to any
/// of its rows, whose reply was lost is carried out after that answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_written_after_its_cancel_was_answered_does_not_start() {
    let (cell, caller) = open().await;
    for place in 0..4 {
        let id = 0x110 + place as JobId;
        let status = cancel(&cell, &caller, place % 3, id).await;
        assert_eq!(status, 410, "nothing of the job is stored");

        write(&cell, id, place, &spec(None));
    }

    tokio::time::sleep(READ_TIME).await;
    for id in 0x110..0x114 {
        assert_eq!(starts(&cell, id), 0, "starts of the job {id:x}");
        caller
            .wait_state(&cell.servers(), &path(id), "canceled")
            .await;
    }
    cell.close().await;
}

/// Guards against the same with a successor of the owner that was told of the cancel: it learns of the
/// cancel from the store alone, whether its predecessor was killed or stopped as planned.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_does_not_start_a_job_written_after_its_cancel() {
    for planned in [false, true] {
        let (mut cell, caller) = open().await;
        assert_eq!(cancel(&cell, &caller, 0, 0x120).await, 410);
        assert_eq!(cancel(&cell, &caller, 0, 0x121).await, 410);
        let owner = cell.owner().expect("an owner");
        if planned {
            cell.stop(owner).await;
        } else {
            cell.kill(owner).await;
        }
        // One of the jobs is written before the successor reads the jobs.
        write(&cell, 0x120, 0, &spec(None));
        cell.wait_owner(|next| next != owner).await;
        complete(&cell, &caller, 0x122).await;

        write(&cell, 0x121, 1, &spec(None));

        tokio::time::sleep(READ_TIME).await;
        let starts = (starts(&cell, 0x120), starts(&cell, 0x121));
        assert_eq!(starts, (0, 0), "planned stop: {planned}");
        cell.close().await;
    }
}

/// Guards against a job that starts after its cancel was answered 200: another write of it, to another of
/// its rows, is carried out late, and that row does not contain the cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_second_row_does_not_start_a_canceled_job() {
    let (mut cell, caller) = open().await;
    let owner = cell.owner().expect("an owner");
    let canceled = JobSpec {
        canceled: true,
        ..spec(None)
    };
    write(&cell, 0x128, 1, &canceled);
    write(&cell, 0x129, 1, &canceled);
    let status = cancel(&cell, &caller, 0, 0x128).await;

    write(&cell, 0x128, 0, &spec(None));
    tokio::time::sleep(READ_TIME).await;
    cell.kill(owner).await;
    write(&cell, 0x129, 0, &spec(None));
    cell.wait_owner(|next| next != owner).await;
    complete(&cell, &caller, 0x12a).await;
    tokio::time::sleep(READ_TIME).await;

    let starts = (starts(&cell, 0x128), starts(&cell, 0x129));
    assert_eq!((status, starts), (200, (0, 0)));
    cell.close().await;
}

/// Guards against a cancelled job that is shown as pending, by a process that has read the job's row before
/// the owner has.
#[tokio::test(flavor = "multi_thread")]
async fn a_canceled_job_that_the_owner_has_not_read_is_not_shown_as_pending() {
    let (cell, caller) = open().await;
    assert_eq!(cancel(&cell, &caller, 0, 0x148).await, 410);
    write(&cell, 0x148, 0, &spec(None));

    let mut states = Vec::new();
    for _ in 0..40 {
        let path = path(0x148);
        let send = caller.send(Method::GET, cell.server(1), &path, &Value::Null);
        let (_, body) = send.await;
        states.push(body["state"].as_str().unwrap_or("unknown").to_owned());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    assert!(states.iter().all(|state| state != "pending"), "{states:?}");
    assert_eq!(states.last().map(String::as_str), Some("canceled"));
    cell.close().await;
}

/// Guards against a cancel that waits for an owner that does not answer, though the job's row is there.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_of_a_stored_job_does_not_wait_for_a_frozen_owner() {
    let (cell, caller) = open().await;
    let owner = cell.owner().expect("an owner");
    let path = path(0x149);
    let body = job(1, "300000");
    caller.submit(&cell.servers(), &path, &body).await;
    cell.freeze(owner, Duration::from_secs(1));

    let asked = Instant::now();
    let status = cancel(&cell, &caller, (owner + 1) % 3, 0x149).await;

    let elapsed = asked.elapsed();
    assert_eq!(status, 200);
    assert!(elapsed < Duration::from_millis(900), "after {elapsed:?}");
    cell.close().await;
}

/// Guards against a repeated submission that runs a job after its cancel was answered 410. It is
/// answered like the repetition of a cancelled job that is stored.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_repeated_after_the_cancel_does_not_start() {
    let (cell, caller) = open().await;
    assert_eq!(cancel(&cell, &caller, 0, 0x130).await, 410);

    let (path, body) = (path(0x130), job(1, "20"));
    let send = caller.send(Method::POST, cell.server(1), &path, &body);
    let (repeated, _) = send.await;

    caller.wait_state(&cell.servers(), &path, "canceled").await;
    assert_eq!((repeated, starts(&cell, 0x130)), (200, 0));
    cell.close().await;
}

/// Guards against a caller who cancels the job of another organisation by canceling its id first.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_by_another_organisation_does_not_cancel_a_later_job() {
    let cell = TestCell::open(1, 1).await;
    let keys = [
        ("stores", &["k-stores"][..], 0),
        ("bales", &["k-bales"][..], 0),
    ];
    let config = organisations_config(2, &keys);
    cell.store.write("op", "config", &config);
    let stores = Caller::authorized("Token k-stores");
    let bales = Caller::authorized("Token k-bales");
    let servers = cell.servers();
    let first = path(0x140);
    stores.submit(&servers, &first, &job(1, "20")).await;
    stores.wait_state(&servers, &first, "completed").await;

    let status = cancel(&cell, &bales, 0, 0x141).await;
    write(&cell, 0x141, 0, &spec(Some("stores")));

    stores.wait_state(&servers, &path(0x141), "completed").await;
    assert_eq!(status, 410);
    cell.close().await;
}

/// Guards against the answer 410 before the cancel is stored: a successor would not know of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_that_the_owner_cannot_store_is_not_answered_410() {
    let (cell, caller) = open().await;
    let owner = cell.owner().expect("an owner");
    let other = (owner + 1) % 3;
    cell.store_proxies[owner].set_cut(true);

    let asked = Instant::now();
    let status = cancel(&cell, &caller, other, 0x150).await;

    // The next owner may have answered.
    let moved = cell.owner() != Some(owner);
    assert!(moved || [503, 504].contains(&status), "{status}");
    assert!(asked.elapsed() < Duration::from_secs(3));
    write(&cell, 0x150, 0, &spec(None));
    tokio::time::sleep(READ_TIME).await;
    if status == 410 {
        assert_eq!(starts(&cell, 0x150), 0);
    }
    cell.close().await;
}

/// Guards against a job that starts after its cancel was answered 200: the notification of its
/// acceptance comes late, from a process that was frozen, while the owner cannot read the job's row.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_notification_does_not_start_a_job_that_was_canceled() {
    let (cell, caller) = open().await;
    let owner = cell.owner().expect("an owner");
    // The owner reads neither the row of the job nor the cancellation in it.
    cell.store.set_faults(site::StoreFaults {
        hung_feed: true,
        ..site::StoreFaults::default()
    });
    write(&cell, 0x160, 0, &spec(None));
    let status = cancel(&cell, &caller, (owner + 1) % 3, 0x160).await;
    tokio::time::sleep(Duration::from_millis(100)).await;

    notify_accepted(&cell, owner, 0x160).await;

    tokio::time::sleep(Duration::from_millis(300)).await;
    let starts = starts(&cell, 0x160);
    assert_eq!((status, starts), (200, 0));
    cell.close().await;
}

/// Notifies the owner of an accepted job, as the process that accepted it does.
async fn notify_accepted(cell: &TestCell, owner: usize, id: JobId) {
    let accepted = AcceptedJob {
        id,
        spec: spec(None),
        key: None,
        known: 0,
        attempt: 0,
    };
    let row = cell
        .store
        .raw(cell::OWNERSHIP_TABLE, cell::OWNER_PART, "owner");
    let ownership = cell::decode_ownership(&row.expect("ownership")).expect("ownership");
    assert_eq!(cell.owner(), Some(owner));
    let request = Call::new(Method::POST, ownership.address, "/accepted", READ_TIME);
    let client = Client::new(READ_TIME);
    let reply = client.send(request.json(&accepted)).await;
    assert!(reply.is_ok_and(|reply| reply.status == 200));
}

/// Guards against a crowd of cancels of unknown ids that takes the store's rates from other callers: all
/// together cost few reads, writes and rows.
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_of_cancels_of_unknown_ids_costs_few_calls() {
    const CROWD: u64 = 600;
    let (cell, _) = open().await;
    let before = cell.store.version();
    let reads_before = cell.store.reads(cell::JOB_TABLE);
    let started = Instant::now();

    let cancels = (0..CROWD).map(|nth| {
        let server = cell.server(usize::try_from(nth % 3).unwrap_or(0));
        async move {
            let caller = Caller::new();
            let path = path(0x1000 + nth);
            let send = caller.send(Method::DELETE, server, &path, &Value::Null);
            send.await.0
        }
    });
    let mut answers = std::collections::BTreeMap::new();
    let mut tasks = tokio::task::JoinSet::new();
    for cancel in cancels {
        tasks.spawn(cancel);
    }
    while let Some(status) = tasks.join_next().await {
        *answers.entry(status.expect("a status")).or_insert(0u64) += 1;
    }

    let rows = cell.store.count("early_cancels");
    let writes = cell.store.version() - before;
    let reads = cell.store.reads(cell::JOB_TABLE) - reads_before;
    // At most one transaction of the owner in 30 ms, and the heartbeats of two workers.
    let allowed = started.elapsed().as_millis() / 30 + 20;
    assert!(
        u128::from(writes) <= allowed,
        "{writes} of {allowed} writes"
    );
    assert!(reads < 40, "{reads} reads for {CROWD} cancels");
    assert!(answers[&410] > 0, "{answers:?}");
    assert!(rows as u64 >= answers[&410] && rows <= 2048, "{rows} rows");
    assert!(
        answers
            .keys()
            .all(|status| [410, 503, 504].contains(status))
    );
    cell.close().await;
}
