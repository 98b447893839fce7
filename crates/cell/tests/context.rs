//! Calls to the store that got no reply because of an outage: the process abandons them once the
//! store answers again.

use std::future::pending;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cell::Bounds;
use cell::CellSettings;
use cell::Context;
use cell::Listen;
use cell::OwnershipView;
use cell::Peers;
use cell::StopPhase;
use platform::StoreError;
use tokio::sync::watch;

/// Settings of a process that is never opened: `keep_s` is the time in seconds for which an ended
/// job can be queried, `grace_s` that between the stop signal and the kill, and `off` lists the
/// mechanisms that are switched off. Empty addresses stand for services that do not exist.
fn settings() -> CellSettings {
    let ip = Ipv4Addr::LOCALHOST.into();
    let address = SocketAddr::new(ip, 1);
    CellSettings {
        node: "entry-0".to_owned(),
        zone: "z1".to_owned(),
        ip,
        listen: Listen {
            callers: address,
            ready: address,
            metrics: address,
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
        on: Vec::new(),
        off: Vec::new(),
    }
}

/// What a process publishes to its tasks while the store does not answer it: the time since when,
/// by the monotonic clock of the process.
fn unreachable() -> OwnershipView {
    OwnershipView {
        unreachable_since: Some(Duration::ZERO),
        ..OwnershipView::default()
    }
}

/// Guards against ends of tasks that reach callers only 1.6 s after the store has recovered. The
/// store stops answering while a write is in progress, and never answers that write even after
/// it has recovered. The process waited for the write's timeout, and the next write was queued
/// behind it.
#[tokio::test]
async fn a_write_to_an_unreachable_store_is_abandoned_when_the_store_recovers() {
    let (_config, config) = watch::channel(None);
    let (ownership_tx, ownership) = watch::channel(OwnershipView::default());
    let (_stop, stop) = watch::channel(StopPhase::Running);
    let context = Context::new(settings(), config, ownership, stop);
    let write = tokio::spawn(async move {
        let never = pending::<Result<(), StoreError>>();
        context.abandon_on_recovery(never).await
    });
    tokio::task::yield_now().await;
    ownership_tx.send_replace(unreachable());
    tokio::task::yield_now().await;
    ownership_tx.send_replace(OwnershipView::default());

    let result = write.await.expect("write");

    assert!(matches!(result, Err(StoreError::Abandoned)), "{result:?}");
}

#[tokio::test]
async fn a_write_completes_while_the_store_answers() {
    let (_config, config) = watch::channel(None);
    let (_ownership_tx, ownership) = watch::channel(OwnershipView::default());
    let (_stop, stop) = watch::channel(StopPhase::Running);
    let context = Context::new(settings(), config, ownership, stop);

    let result = context.abandon_on_recovery(async { Ok(7) }).await;

    assert!(matches!(result, Ok(7)), "{result:?}");
}
