//! Metrics and readiness as served over HTTP.

use serde_json::Value;
use site::Caller;
use site::TestCell;
use site::job;

#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_served_over_http() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000e1";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;

    let text = caller.text(cell.metrics(0), "/metrics").await;

    assert!(
        text.contains("clovermount_submits_total{result=\"accepted\"} 1"),
        "{text}"
    );
    assert!(text.contains("clovermount_job_seconds_count{outcome=\"completed\"} 1"));
    assert!(text.contains("clovermount_epoch 1"));
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_without_the_store_is_not_ready() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000e2";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    let ready = caller.status(cell.ready(0), "/-/readyz").await;

    // Cuts the process off from the store.
    cell.store_proxies[0].set_cut(true);

    assert_eq!(ready, 200);
    caller.wait_status(cell.ready(0), "/-/readyz", 503).await;
    let (status, body) = caller
        .send(
            hyper::Method::POST,
            cell.server(0),
            "/plain/00000000000000e3",
            &job(1, "20"),
        )
        .await;
    assert_eq!((status, body["error"].is_string()), (503, true));
    assert_ne!(body, Value::Null);
    cell.close().await;
}

/// Guards against a former owner that still reports the pool's load: the gauges that it had set as
/// the owner were not cleared when it lost the pool.
#[tokio::test(flavor = "multi_thread")]
async fn a_former_owner_reports_no_load() {
    let cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000e4";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    let former = cell.wait_owner(|_| true).await;
    cell.store_proxies[former].set_cut(true);
    cell.wait_owner(|next| next != former).await;
    cell.store_proxies[former].set_cut(false);
    // A process that does not own the pool reports epoch 0.
    let no_epoch = "clovermount_epoch 0";
    while !caller
        .text(cell.metrics(former), "/metrics")
        .await
        .contains(no_epoch)
    {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }

    let text = caller.text(cell.metrics(former), "/metrics").await;

    assert!(!text.contains("clovermount_pool{"), "{text}");
    cell.close().await;
}
