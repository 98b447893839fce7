//! Rejection of jobs that would be done too late: what the hosts know, and what a rejected job leaves.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cell::Acceptance;
use cell::AcceptedJob;
use cell::Acceptor;
use cell::Bounds;
use cell::CellSettings;
use cell::Context;
use cell::DelegatedCall;
use cell::ForecastCache;
use cell::HelperPoll;
use cell::Listen;
use cell::OwnershipView;
use cell::Peers;
use cell::PollReply;
use cell::StopPhase;
use hyper::Method;
use job::Forecast;
use job::JobId;
use job::JobSpec;
use job::Mechanism;
use job::StepKey;
use platform::Committed;
use platform::Transaction;
use serde_json::Value;
use site::Caller;
use site::FakeStore;
use site::Reply;
use site::ScriptedReply;
use site::TestCell;
use site::job;
use tokio::sync::watch;

const ID: JobId = 0x91;

/// Requests that submit the job.
const OTHER: u64 = 7;
const OWN: u64 = 8;

/// Time until which an acceptance must be finished, on the clock of a new process.
const DEADLINE: Duration = Duration::from_secs(10);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn forecast(epoch: u64, age: u64) -> Forecast {
    Forecast {
        epoch,
        age: millis(age),
        pools: Vec::new(),
    }
}

/// Returns epoch and age of the newest forecast.
fn newest(cache: &ForecastCache, now: u64) -> Option<(u64, Duration)> {
    cache.read(millis(now), |forecast, age| {
        forecast.map(|forecast| (forecast.epoch, age))
    })
}

/// A host, without a process, and the store that it reaches.
struct Host {
    context: Context,
    acceptor: Acceptor,
    store: Arc<FakeStore>,
    _serving: watch::Sender<bool>,
    _running: watch::Sender<StopPhase>,
    _ownership: watch::Sender<OwnershipView>,
}

async fn host() -> Host {
    let store = FakeStore::new();
    let (serving, served) = watch::channel(false);
    let address = site::serve(store.clone(), &served).await;
    let ip = Ipv4Addr::LOCALHOST.into();
    let unused = SocketAddr::new(ip, 1);
    let settings = CellSettings {
        node: "entry-0".to_owned(),
        zone: "z1".to_owned(),
        ip,
        listen: Listen {
            callers: unused,
            ready: unused,
            metrics: unused,
        },
        peers: Peers { first_port: 1 },
        cores: 1.0,
        link_mbps: 1000.0,
        store: address,
        memory_mb: None,
        descriptors: None,
        row_bytes: None,
        advice: String::new(),
        machines: String::new(),
        bounds: Bounds {
            lease_ms: 6000,
            keep_s: 120.0,
            drain_ms: None,
            grace_s: 6.0,
            config_ms: 2000,
            stretch_ms: 5000,
            overshoot: None,
        },
        on: vec![Mechanism::Admission],
        off: Vec::new(),
    };
    let (_, config) = watch::channel(None);
    let (running, stop) = watch::channel(StopPhase::Running);
    let (ownership_tx, ownership) = watch::channel(OwnershipView::default());
    let context = Context::new(settings, config, ownership, stop);
    Host {
        acceptor: Acceptor::new(context.clone()),
        context,
        store,
        _serving: serving,
        _running: running,
        _ownership: ownership_tx,
    }
}

/// A job of a request that arrived after the store had the version `known`.
fn accepted_job(known: u64) -> AcceptedJob {
    let spec = JobSpec {
        queue: job::Queue {
            name: "plain".to_owned(),
            host: String::new(),
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
        payload: String::new(),
        steps: Vec::new(),
        schedule: None,
        received: Duration::ZERO,
        canceled: false,
        organisation: None,
    };
    AcceptedJob {
        id: ID,
        spec,
        key: None,
        known,
        attempt: OWN,
    }
}

/// The write of a job's row by a host that knew no row, or the row at this version.
fn write(version: u64) -> Transaction {
    let row = cell::job_row(ID);
    Transaction {
        expect: vec![(row.clone(), version)],
        puts: vec![(row, cell::encode_row(&accepted_job(0).spec))],
        removes: Vec::new(),
    }
}

async fn commit(host: &Host, transaction: &Transaction) -> Committed {
    let committed = host.context.store.commit(transaction, DEADLINE).await;
    committed.expect("reply of the store")
}

/// Guards against a job that runs after its caller was told that it never will: an earlier request had
/// reached another host, whose write is carried out after the rejection.
#[tokio::test]
async fn a_write_that_was_sent_before_a_rejection_fails() {
    let host = host().await;

    let marked = host.acceptor.mark_rejected(ID, OTHER).await.expect("mark");
    let late = commit(&host, &write(0)).await;

    assert!(marked);
    assert_eq!(late, Committed::Conflict);
}

/// Guards against a rejection of a job that is stored, in any of its rows.
#[tokio::test]
async fn a_stored_job_is_not_rejected() {
    for row in cell::job_rows(ID) {
        let host = host().await;
        let mut stored = write(0);
        stored.expect[0].0 = row.clone();
        stored.puts[0].0 = row;
        commit(&host, &stored).await;

        let marked = host.acceptor.mark_rejected(ID, OTHER).await.expect("mark");

        assert!(!marked);
    }
}

/// Guards against an id that stays rejected, and against a caller that is told "accepted" because of the
/// mark.
#[tokio::test]
async fn a_rejected_id_that_comes_back_is_a_first_submission() {
    let host = host().await;
    host.acceptor.mark_rejected(ID, OTHER).await.expect("mark");
    let returning = accepted_job(host.store.version());

    let acceptance = host.acceptor.accept(&returning, DEADLINE).await;

    assert_eq!(acceptance, Acceptance::Accepted { first: true });
    let row = cell::job_row(ID);
    let stored = host.store.raw(&row.table, &row.part, &row.key);
    assert!(cell::decode_job_row(&stored.expect("row")).is_ok());
}

/// Guards against a job that runs after its caller was told that it never will: the host of an earlier
/// request with the same id is still at work on it when another host rejects the job.
#[tokio::test]
async fn a_request_from_before_a_rejection_is_refused() {
    let host = host().await;
    let earlier = accepted_job(host.store.version());
    host.acceptor.mark_rejected(ID, OTHER).await.expect("mark");

    let acceptance = host.acceptor.accept(&earlier, DEADLINE).await;

    let refused = matches!(acceptance, Acceptance::Refused(_));
    assert!(refused, "{acceptance:?}");
}

/// Guards against the reply "not accepted" for a job that is stored: a rejection that found the job in one
/// of its rows, and did not take place, has left marks in the others.
#[tokio::test]
async fn a_mark_beside_the_job_does_not_refuse_it() {
    let host = host().await;
    let earlier = accepted_job(host.store.version());
    let mut stored = write(0);
    let place = cell::job_rows(ID)[2].clone();
    stored.expect[0].0 = place.clone();
    stored.puts[0].0 = place;
    commit(&host, &stored).await;
    let marked = host.acceptor.mark_rejected(ID, OTHER).await.expect("mark");

    let acceptance = host.acceptor.accept(&earlier, DEADLINE).await;

    assert!(!marked);
    assert_eq!(acceptance, Acceptance::Accepted { first: false });
}

/// Guards against the same with a process that was frozen while the job was rejected: it learns of the
/// new version of the store before it handles the request.
#[test]
fn a_version_that_was_just_seen_is_not_from_before_a_request() {
    let versions = cell::KnownVersions::default();
    versions.record(millis(1000), 5);
    versions.record(millis(4000), 9);

    let soon = versions.before_request(millis(4900));
    let later = versions.before_request(millis(5000));

    assert_eq!((soon, later), (5, 9));
}

/// Guards against the same with a write that was sent between two rejections: it expects the mark of the
/// first one.
#[tokio::test]
async fn a_second_rejection_replaces_the_marks_of_the_first() {
    let host = host().await;
    host.acceptor.mark_rejected(ID, OTHER).await.expect("mark");
    let first_version = host.store.version();

    let marked = host.acceptor.mark_rejected(ID, OTHER).await.expect("mark");
    let late = commit(&host, &write(first_version)).await;

    assert!(marked);
    assert_eq!(late, Committed::Conflict);
}

/// Guards against the refusal of a job whose own mark got no reply, so that it is accepted instead.
#[tokio::test]
async fn a_job_is_accepted_after_its_own_mark_without_a_reply() {
    for commit in [false, true] {
        let host = host().await;
        let lost = ScriptedReply {
            commit,
            delay: Duration::ZERO,
            reply: Reply::Lost,
        };
        host.store.set_script(cell::JOB_TABLE, &[lost]);
        let marked = host.acceptor.mark_rejected(ID, OWN).await;

        let acceptance = host.acceptor.accept(&accepted_job(0), DEADLINE).await;

        assert!(marked.is_err(), "{marked:?}");
        assert_eq!(acceptance, Acceptance::Accepted { first: true });
    }
}

/// Guards against owners of any version that take a mark for a job.
#[test]
fn a_mark_is_not_a_row_of_a_job() {
    assert!(cell::decode_job_row(&cell::rejection_mark(7)).is_err());
}

/// Guards against a forecast of a former owner, whose reply arrives late.
#[test]
fn a_forecast_of_a_lower_epoch_is_ignored() {
    let cache = ForecastCache::default();
    cache.record(forecast(2, 0), millis(100), Duration::ZERO);

    cache.record(forecast(1, 0), millis(200), Duration::ZERO);

    assert_eq!(newest(&cache, 300), Some((2, millis(200))));
}

/// Guards against a host that takes a forecast for new because it was frozen when the reply arrived.
#[test]
fn the_age_of_a_forecast_counts_from_its_making() {
    let cache = ForecastCache::default();

    cache.record(forecast(1, 100), millis(1000), millis(700));

    assert_eq!(newest(&cache, 5000), Some((1, millis(3400))));
}

fn call() -> DelegatedCall {
    let step = StepKey {
        job: ID,
        round: 0,
        step: 0,
    };
    DelegatedCall {
        step,
        workers: vec!["w1".to_owned()],
        cost: millis(10),
    }
}

/// Guards against a helper that loses advice calls while the owner is of an earlier version.
#[test]
fn a_reply_of_an_earlier_owner_is_read() {
    let encoded = [Some(call()), None].map(|call| serde_json::to_vec(&call).expect("json"));

    let decoded = encoded.map(|reply| serde_json::from_slice::<PollReply>(&reply));

    let calls = decoded.map(|reply| reply.expect("a reply").call);
    assert_eq!(calls, [Some(call()), None]);
}

#[test]
fn a_reply_of_a_current_owner_is_read() {
    for call in [Some(call()), None] {
        let reply = PollReply {
            call,
            forecast: Some(forecast(3, 20)),
            held: millis(5),
        };
        let encoded = serde_json::to_vec(&reply).expect("json");

        let decoded: PollReply = serde_json::from_slice(&encoded).expect("a reply");

        assert_eq!(decoded, reply);
    }
}

/// Guards against an owner that rejects the polls of earlier helpers.
#[test]
fn a_poll_of_an_earlier_helper_is_read() {
    let poll: HelperPoll =
        serde_json::from_str(r#"{"node": "n1", "result": null}"#).expect("a poll");

    assert!(!poll.forecast);
}

/// Opens a cell of one process with admission, and one worker of four cores.
async fn open() -> TestCell {
    let mut cell = TestCell::open(1, 1).await;
    cell.kill(0).await;
    cell.enable(&[Mechanism::Admission]);
    cell.start(0).await;
    cell
}

/// Submits jobs of four tasks each, ten times as many as the worker can run, until one is rejected;
/// returns its path and the `Retry-After` header.
async fn overload(cell: &TestCell, caller: &Caller) -> (String, String) {
    for number in 0..2000 {
        let path = format!("/plain/{:016x}", 0x9000 + number);
        let (status, header) = caller
            .retry_after(Method::POST, cell.server(0), &path, &job(4, "100"))
            .await;
        if status == 429 {
            return (path, header.expect("Retry-After"));
        }
        tokio::time::sleep(millis(5)).await;
    }
    panic!("none of 2000 jobs was rejected");
}

/// Guards against a cell that accepts jobs which it cannot do in time, and against a rejected job that
/// stays known, runs, or cannot come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_beyond_the_room_of_the_pool_is_rejected_and_may_come_back() {
    let cell = open().await;
    let caller = Caller::new();
    let first = "/plain/0000000000000090";
    caller.submit(&cell.servers(), first, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), first, "completed").await;

    let (path, retry_after) = overload(&cell, &caller).await;
    let (state, _) = caller
        .send(Method::GET, cell.server(0), &path, &Value::Null)
        .await;
    caller.submit(&cell.servers(), &path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), &path, "completed").await;

    assert!(retry_after.parse::<u64>().expect("seconds") >= 1);
    assert_eq!(state, 410, "nothing is known of a rejected job");
    let id = path.trim_start_matches("/plain/");
    assert_eq!(cell.log.starts(id), 1);
    cell.close().await;
}

/// Guards against callers that were rejected together and come back together.
#[test]
fn rejected_callers_come_back_spread() {
    let wait = millis(7300);

    let times = (0..1000).map(|id| cell::spread(wait, id, None).as_secs());

    let mut counts = std::collections::BTreeMap::new();
    for time in times {
        *counts.entry(time).or_insert(0) += 1;
    }
    let range: Vec<u64> = counts.keys().copied().collect();
    assert_eq!(
        range,
        [8, 9, 10, 11],
        "not before the wait, and over half of it"
    );
    assert!(counts.values().all(|count| (200..300).contains(count)));
}
