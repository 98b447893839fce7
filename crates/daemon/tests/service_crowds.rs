//! Crowds of clients at the HTTP interface of a process that runs with its own settings file.

#[path = "crowds/crowd.rs"]
#[allow(dead_code)]
mod crowd;
#[path = "crowds/host.rs"]
#[allow(dead_code)]
mod host;
mod support;

use std::sync::Arc;
use std::time::Duration;

use crowd::Conduct;
use crowd::Crowd;
use host::watch_peak;
use support::open_cell;

/// Most memory that the process may occupy, in bytes: its own, what bodies may take by default, and
/// 64 KiB for each member of the crowd.
const MEMORY: usize = 128 * 1024 * 1024;

/// Members of the crowd; their bodies are larger than that.
const MEMBERS: usize = 700;

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
    let memory = host::lock(&peak).memory;
    println!("peak: {memory}");
    assert!(
        memory <= MEMORY,
        "memory: found {memory} bytes, allowed: at most {MEMORY}"
    );
    assert!(cell.members[0].process_id().is_some());
    sampling.abort();
    cell.close();
}
