//! Hosts that read the configuration too late, while the store answers all other calls at once.

use std::time::Duration;

use hyper::Method;
use platform::OPERATOR_TABLE;
use serde_json::Value;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::config;
use site::job;
use site::organisations_config;

/// Time within which a host acts on a new configuration, `config_ms` in the settings.
const CONFIG_TIME: Duration = Duration::from_secs(2);

/// Each reply with the configuration takes longer than any timeout, as on a host without processor
/// time for it.
const NEVER: Duration = Duration::from_secs(30);

/// Opens a cell with the organisation `stores`, which may have `cores` cores running, and waits until
/// its host has applied the configuration.
async fn open(cores: u64) -> TestCell {
    let cell = TestCell::open(1, 4).await;
    let config = organisations_config(3, &[("stores", &["k-stores"], cores)]);
    cell.store.write("op", "config", &config);
    tokio::time::sleep(CONFIG_TIME).await;
    cell
}

/// From now on the host cannot read a new configuration, and the store accepts one.
async fn change(cell: &TestCell, config: &Value) {
    let slow = Some((OPERATOR_TABLE, NEVER));
    cell.store.set_faults(StoreFaults {
        slow_feed: slow,
        slow_rows: slow,
        ..StoreFaults::default()
    });
    // A read that began before is answered within 0.8 s.
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.store.write("op", "config", config);
}

/// Guards against a request that is served for seconds under a key that the operator has removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_key_is_not_served_by_a_host_that_reads_no_configuration() {
    let cell = open(0).await;
    let caller = Caller::authorized("Token k-stores");
    change(
        &cell,
        &organisations_config(4, &[("stores", &["k-new"], 0)]),
    )
    .await;

    tokio::time::sleep(CONFIG_TIME).await;
    let path = "/plain/00000000000000c1";
    let (status, body) = caller
        .send(Method::POST, cell.server(0), path, &job(1, "20"))
        .await;

    cell.close().await;
    assert_eq!(status, 503, "{body}");
    assert!(body.to_string().contains("too old"), "{body}");
}

/// Guards against starts beyond a lowered limit, by an owner that knows the former one only.
#[tokio::test(flavor = "multi_thread")]
async fn no_work_of_an_organisation_starts_on_an_old_configuration() {
    let cell = open(16).await;
    let caller = Caller::authorized("Token k-stores");
    let path = "/plain/00000000000000c2";
    let jobs = job(200, "300");
    caller.submit(&cell.servers(), path, &jobs).await;
    change(
        &cell,
        &organisations_config(4, &[("stores", &["k-stores"], 4)]),
    )
    .await;
    tokio::time::sleep(CONFIG_TIME).await;
    let before = cell.log.starts("");

    tokio::time::sleep(CONFIG_TIME).await;

    let after = cell.log.starts("");
    cell.close().await;
    assert!(before > 0, "no task has started");
    assert_eq!(after, before);
}

/// Guards against a queue that is served for seconds after the operator has removed it.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_queue_is_not_served_by_a_host_that_reads_no_configuration() {
    let cell = TestCell::open(1, 1).await;
    cell.store.write("op", "config", &config(2));
    tokio::time::sleep(CONFIG_TIME).await;
    let mut without = config(1);
    without["version"] = 3.into();
    change(&cell, &without).await;

    tokio::time::sleep(CONFIG_TIME).await;
    let path = "/added/00000000000000c3";
    let (status, body) = Caller::new()
        .send(Method::POST, cell.server(0), path, &job(1, "20"))
        .await;

    cell.close().await;
    assert_eq!(status, 503, "{body}");
}

/// Guards against refusals after an outage of the store, until the configuration has been read again.
#[tokio::test(flavor = "multi_thread")]
async fn queues_are_served_as_soon_as_the_store_answers_again() {
    let cell = TestCell::open(1, 1).await;
    cell.wait_owner(|_| true).await;
    cell.store_proxies[0].set_cut(true);
    tokio::time::sleep(2 * CONFIG_TIME).await;
    cell.store_proxies[0].set_cut(false);
    let caller = Caller::new();
    let submit = async {
        let path = "/plain/00000000000000c4";
        caller.submit(&cell.servers(), path, &job(1, "20")).await;
    };

    let accepted = tokio::time::timeout(Duration::from_millis(600), submit).await;

    cell.close().await;
    assert!(accepted.is_ok(), "no job was accepted for 0.6 s");
}
