//! Keys of organisations: who may submit, see and cancel which jobs.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::TestCell;
use site::job;
use site::organisations_config;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Path of the job of each test.
const PATH: &str = "/plain/00000000000000a1";

/// Within this time, each process applies a new configuration.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Opens a cell with the organisations `stores` and `desk`, and waits until all processes have
/// applied the configuration.
async fn open(processes: usize) -> TestCell {
    let cell = TestCell::open(processes, 1).await;
    let config = organisations_config(3, &[("stores", &["k-stores"], 0), ("desk", &["k-desk"], 0)]);
    apply(&cell, &config).await;
    cell
}

/// Writes a configuration, and waits until all processes have applied it.
async fn apply(cell: &TestCell, config: &Value) {
    cell.store.write("op", "config", config);
    tokio::time::sleep(APPLY_TIME).await;
}

async fn status(cell: &TestCell, caller: &Caller, method: Method, path: &str) -> u16 {
    let body = if method == Method::POST {
        job(1, "20")
    } else {
        Value::Null
    };
    caller.send(method, cell.server(0), path, &body).await.0
}

fn stores() -> Caller {
    Caller::authorized("Token k-stores")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_valid_key_is_not_run() {
    let cell = open(1).await;
    let mut found = Vec::new();
    for header in [
        "",
        "Token",
        "Token ",
        "Bearer k-stores",
        "Token other",
        "Token k-stores k-desk",
    ] {
        let caller = Caller::authorized(header);
        for method in [Method::POST, Method::GET, Method::DELETE] {
            found.push(status(&cell, &caller, method, PATH).await);
        }
        found.push(status(&cell, &caller, Method::GET, "/plain/").await);
    }

    let shown = status(&cell, &stores(), Method::GET, PATH).await;

    assert!(found.iter().all(|status| *status == 401), "{found:?}");
    assert_eq!(shown, 410, "no job was accepted");
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_scheme_is_read_without_regard_to_case() {
    let cell = open(1).await;

    let lower = status(
        &cell,
        &Caller::authorized("token k-stores"),
        Method::POST,
        PATH,
    )
    .await;
    let length = status(&cell, &stores(), Method::GET, "/plain/").await;

    assert_eq!((lower, length), (200, 200));
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_public_queue_needs_no_key() {
    let cell = open(1).await;
    let path = "/advised/00000000000000a2";

    let submitted = status(&cell, &Caller::new(), Method::POST, path).await;
    let shown = status(&cell, &Caller::authorized("Token other"), Method::GET, path).await;

    assert_eq!((submitted, shown), (200, 200));
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_neither_sees_nor_cancels_the_jobs_of_another() {
    let cell = open(2).await;
    let desk = Caller::authorized("Token k-desk");
    stores()
        .submit(&cell.servers(), PATH, &job(1, "600000"))
        .await;
    stores().wait_state(&cell.servers(), PATH, "active").await;
    let mut foreign = Vec::new();
    for method in [Method::GET, Method::DELETE, Method::POST] {
        for server in cell.servers() {
            let body = job(1, "20");
            foreign.push(desk.send(method.clone(), server, PATH, &body).await.0);
        }
    }

    let (status, body) = stores()
        .send(Method::GET, cell.server(1), PATH, &Value::Null)
        .await;

    assert_eq!(foreign, [410, 410, 410, 410, 409, 409]);
    assert_eq!((status, body["state"].as_str()), (200, Some("active")));
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_does_not_see_an_ended_job_of_another_without_the_owner() {
    let mut cell = open(2).await;
    stores().submit(&cell.servers(), PATH, &job(1, "20")).await;
    stores()
        .wait_state(&cell.servers(), PATH, "completed")
        .await;
    let owner = cell.wait_owner(|_| true).await;
    cell.kill(owner).await;
    let server = cell.server(1 - owner);

    let desk = Caller::authorized("Token k-desk");
    let (foreign, _) = desk.send(Method::GET, server, PATH, &Value::Null).await;
    let (own, body) = stores().send(Method::GET, server, PATH, &Value::Null).await;

    assert_eq!((foreign, own), (410, 200));
    assert_eq!(body["state"], "completed");
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_come_and_go_apply_to_open_connections() {
    let cell = open(1).await;
    let (old, new) = (stores(), Caller::authorized("Token k-new"));
    let before = status(&cell, &old, Method::POST, PATH).await;
    let unknown = status(&cell, &new, Method::GET, PATH).await;
    let config = organisations_config(4, &[("stores", &["k-new"], 0)]);
    apply(&cell, &config).await;

    let removed = status(&cell, &old, Method::GET, PATH).await;
    let added = status(&cell, &new, Method::GET, PATH).await;

    assert_eq!((before, unknown), (200, 401));
    assert_eq!((removed, added), (401, 200));
    cell.close().await;
}

/// Guards against an accepted job that is never completed, since the key with which it was submitted
/// or its organisation has been removed.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_outlast_their_organisation() {
    let cell = open(1).await;
    stores()
        .submit(&cell.servers(), PATH, &job(2, "2500"))
        .await;
    apply(&cell, &organisations_config(4, &[])).await;
    let config = organisations_config(5, &[("stores", &["k-again"], 0)]);
    cell.store.write("op", "config", &config);
    tokio::time::sleep(APPLY_TIME).await;

    let again = Caller::authorized("Token k-again");
    again.wait_state(&cell.servers(), PATH, "completed").await;

    cell.close().await;
}

/// Guards against a 401 for a key that was added seconds before, from a host that cannot read the
/// store.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_configuration_does_not_rule_out_a_key() {
    let cell = open(1).await;
    cell.store_proxies[0].set_cut(true);
    // Until the configuration that the process has read is too old.
    tokio::time::sleep(Duration::from_secs(4)).await;

    let unknown = status(&cell, &Caller::authorized("Token k-new"), Method::GET, PATH).await;

    assert_eq!(unknown, 503);
    cell.close().await;
}

/// Guards against a key that is accepted without end by a host that cannot read its removal.
#[tokio::test(flavor = "multi_thread")]
async fn a_much_too_old_configuration_allows_no_key() {
    let cell = open(1).await;
    cell.store_proxies[0].set_cut(true);
    tokio::time::sleep(Duration::from_secs(8)).await;

    let known = status(&cell, &stores(), Method::GET, "/plain/").await;

    assert_eq!(known, 503);
    cell.close().await;
}

/// Guards against a job that is accepted with a removed key: the host that forwards it to the owner
/// cannot read the store and does not know of the removal.
#[tokio::test(flavor = "multi_thread")]
async fn the_owner_checks_the_key_of_a_forwarded_job() {
    let cell = open(2).await;
    let owner = cell.wait_owner(|_| true).await;
    let other = 1 - owner;
    cell.store_proxies[other].set_cut(true);
    let config = organisations_config(4, &[("desk", &["k-desk"], 0)]);
    apply(&cell, &config).await;
    let server = cell.server(other);

    let (removed, _) = stores()
        .send(Method::POST, server, PATH, &job(1, "20"))
        .await;
    let desk = Caller::authorized("Token k-desk");
    let path = "/plain/00000000000000a3";
    let (kept, _) = desk.send(Method::POST, server, path, &job(1, "20")).await;

    assert_eq!((removed, kept), (503, 200));
    cell.close().await;
}

/// Guards against a job that waits without end, since its organisation may never have enough running.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_beyond_the_limit_is_rejected_at_once() {
    let cell = open(1).await;
    let config = organisations_config(4, &[("stores", &["k-stores"], 2)]);
    apply(&cell, &config).await;
    let mut gang = job(3, "20");
    gang["steps"][0]["gang"] = true.into();

    let (status, body) = stores()
        .send(Method::POST, cell.server(0), PATH, &gang)
        .await;

    assert_eq!(status, 422);
    let reason = body["error"].as_str().unwrap_or_default();
    assert!(reason.contains("organisation \"stores\""), "{reason}");
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_has_no_more_running_than_its_limit() {
    let cell = open(1).await;
    let config = organisations_config(4, &[("stores", &["k-stores"], 2)]);
    apply(&cell, &config).await;

    stores().submit(&cell.servers(), PATH, &job(6, "300")).await;
    let mut most = 0;
    let running = async {
        loop {
            most = most.max(cell.workers[0].running());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let (caller, servers) = (stores(), cell.servers());
    let completed = caller.wait_state(&servers, PATH, "completed");
    tokio::select! {
        () = running => {}
        () = completed => {}
    }

    assert_eq!(most, 2, "of four cores");
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_is_in_the_metrics() {
    let cell = open(1).await;
    status(
        &cell,
        &Caller::authorized("Token k-wrong"),
        Method::GET,
        PATH,
    )
    .await;
    status(&cell, &stores(), Method::GET, PATH).await;

    let text = stores().text(cell.metrics(0), "/metrics").await;

    assert!(text.contains(r#"clovermount_denied_total{reason="unknown"} 1"#));
    assert!(!text.contains("k-wrong") && !text.contains("k-stores"));
    cell.close().await;
}

/// Guards against callers without a key who see and cancel the jobs of organisations through another
/// queue, which is public.
#[tokio::test(flavor = "multi_thread")]
async fn a_public_queue_shows_no_jobs_of_other_queues() {
    let cell = open(1).await;
    stores()
        .submit(&cell.servers(), PATH, &job(1, "600000"))
        .await;
    stores().wait_state(&cell.servers(), PATH, "active").await;
    let path = PATH.replace("plain", "advised");

    let shown = status(&cell, &Caller::new(), Method::GET, &path).await;
    let canceled = status(&cell, &Caller::new(), Method::DELETE, &path).await;
    let own = status(&cell, &stores(), Method::GET, PATH).await;

    assert_eq!((shown, canceled, own), (410, 410, 200));
    cell.close().await;
}

/// Guards against bodies of callers without a key that are read, and kept in memory, before they are
/// rejected.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_key_is_rejected_before_its_body_arrives() {
    let cell = open(1).await;
    let mut stream = TcpStream::connect(cell.server(0))
        .await
        .expect("a connection");
    let head =
        format!("POST {PATH} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4000\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");

    let mut reply = [0; 12];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_exact(&mut reply)).await;

    assert!(
        read.is_ok_and(|read| read.is_ok()),
        "no reply without the body"
    );
    assert_eq!(&reply, b"HTTP/1.1 401");
    cell.close().await;
}
