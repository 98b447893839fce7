//! Crowds of clients at the HTTP interface, and at the transport between the processes, of a process that
//! runs with its own settings file.

#[path = "crowds/crowd.rs"]
#[allow(dead_code)]
mod crowd;
#[path = "crowds/host.rs"]
#[allow(dead_code)]
mod host;
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crowd::Conduct;
use crowd::Crowd;
use fake::UdpPlan;
use fake::UdpRelay;
use host::Peak;
use host::watch_peak;
use quinn::Endpoint;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use support::open_cell;
use tokio::task::JoinSet;

/// Most memory that the process may occupy, in bytes: its own, what bodies may take by default, and
/// 64 KiB for each member of the crowd.
const MEMORY: usize = 128 * 1024 * 1024;

/// Members of the crowd; their bodies are larger than that.
const MEMBERS: usize = 700;

/// Connections that are begun and never completed.
const HANDSHAKES: usize = 1000;

/// Fails if the process has occupied more than its host has.
#[track_caller]
fn assert_memory(peak: &Mutex<Peak>) {
    let memory = host::lock(peak).memory;
    println!("peak: {memory}");
    assert!(
        memory <= MEMORY,
        "memory: found {memory} bytes, allowed: at most {MEMORY}"
    );
}

/// Opens an endpoint that has no certificate.
fn open_client() -> Endpoint {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("protocol version")
        .with_root_certificates(RootCertStore::empty())
        .with_no_client_auth();
    let tls = QuicClientConfig::try_from(tls).expect("cipher suites");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut endpoint = Endpoint::client(any).expect("endpoint");
    endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(tls)));
    endpoint
}

// Guards against bodies of legal size that together exceed the memory, and against ordinary callers
// without an answer beside them.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_at_the_service_interface() {
    let cell = open_cell(1).await;
    let server = cell.http(0);
    let id = cell.members[0].process_id().expect("a process that runs");
    let peak = Arc::default();
    let sampling = watch_peak(id, server.ip(), &peak);
    let crowd = Crowd::gather(server, "/v1/requests/", Conduct::Whole, MEMBERS, 68);
    crowd.settle().await;

    let beside = cell.wait_ready(Duration::from_mins(1)).await;
    crowd.close().await;
    let after = cell.wait_ready(Duration::from_mins(1)).await;

    assert_eq!(beside, Ok(()));
    assert_eq!(after, Ok(()));
    assert_memory(&peak);
    assert!(cell.members[0].process_id().is_some());
    sampling.abort();
    cell.close();
}

// Guards against handshakes at the transport between the processes whose clients never continue them.
#[tokio::test(flavor = "multi_thread")]
async fn handshakes_that_never_end() {
    let cell = open_cell(1).await;
    let server = cell.members[0].settings.peer.listen;
    let id = cell.members[0].process_id().expect("a process that runs");
    let peak = Arc::default();
    let sampling = watch_peak(id, server.ip(), &peak);
    let relay = UdpRelay::open(server, 68).await.expect("relay");
    // The clients receive nothing.
    relay.set_plan(UdpPlan {
        outbound_loss: 1.0,
        ..UdpPlan::default()
    });
    let client = open_client();
    let mut attempts = JoinSet::new();
    for _ in 0..HANDSHAKES {
        let attempt = client.connect(relay.address(), "cell").expect("attempt");
        attempts.spawn(tokio::time::timeout(Duration::from_secs(3), attempt));
    }
    while attempts.join_next().await.is_some() {}

    let after = cell.wait_ready(Duration::from_mins(1)).await;

    assert_eq!(after, Ok(()));
    assert_memory(&peak);
    assert!(cell.members[0].process_id().is_some());
    sampling.abort();
    cell.close();
}
