//! Crowds of clients that hold on to memory and descriptors of a process. The tests check that the
//! process lives, that its memory and its descriptors stay within those of its host, and that an
//! ordinary caller gets an answer.

mod crowd;
mod host;
mod odd_entries;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crowd::Conduct;
use crowd::Crowd;
use crowd::LARGEST_ACCEPTED;
use crowd::LARGEST_BODY;
use crowd::chunked_request;
use crowd::job_of_many_steps;
use crowd::padded_job;
use crowd::send_raw;
use host::Cell;
use host::CellSize;
use host::Host;
use host::Logs;
use host::serve_ordinary;
use hyper::Method;
use nix::sys::signal::Signal;
use site::Caller;
use site::StoreFaults;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Locked by each test, since the memory of a process is to be measured apart from other load.
static CELL_LOCK: Mutex<()> = Mutex::const_new(());

/// Members of a crowd whose bodies together are larger than the memory of a host.
const BODIES: usize = 400;

/// Members of a crowd with more connections than a host has descriptors.
const CONNECTIONS: usize = 500;

/// Members of a crowd that sends chunks of one byte, each of which takes far more than a byte to keep.
const SMALL_CHUNKS: usize = 24;

/// Members of a crowd that sends jobs, each of which takes far more memory than its body.
const MANY_STEPS: usize = 12;

/// Members of a crowd that sends jobs with an unknown field.
const UNKNOWN_FIELDS: usize = 8;

/// Members of a crowd that sends ordinary jobs, more than a process handles at the same time.
const ORDINARY_JOBS: usize = 200;

/// Workers of a pool whose connections take an eighth of the descriptors of the owner's process.
const WORKERS: usize = 50;

/// Workers of a pool whose connections take half of them.
const MOST_WORKERS: usize = 150;

/// Members of a crowd that cancels jobs, and cancels of each.
const CANCELERS: usize = 40;
const CANCELS: usize = 100;

/// Members of a crowd whose heads together are larger than the memory of a host.
const LONG_PATHS: usize = 24;

/// Prefix of the path of a queue.
const QUEUE: &str = "/plain/";

/// Seed of the pauses of a crowd's members.
const SEED: u64 = 68;

/// Lets a crowd gather at the callers' address of one process, and checks what must hold.
async fn withstand(conduct: Conduct, size: usize) {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(1).await;
    let crowd = Crowd::gather(cell.hosts[0].callers(), QUEUE, conduct, size, SEED);
    crowd.settle().await;

    cell.serve_ordinary(1).await;
    crowd.close().await;
    cell.serve_ordinary(2).await;

    cell.hosts[0].assert_bounds();
    cell.close().await;
}

// Guards against bodies of legal size, each sent at once up to its last byte, that together exceed the
// memory.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_sent_whole() {
    withstand(Conduct::Whole, BODIES).await;
}

// Guards against the same bodies sent piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_sent_piece_by_piece() {
    withstand(Conduct::Pieces, BODIES).await;
}

// Guards against chunked bodies of legal size in one chunk each.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_in_large_chunks() {
    withstand(Conduct::LargeChunk, BODIES).await;
}

// Guards against chunked bodies whose pieces take more memory than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_in_small_chunks() {
    withstand(Conduct::SmallChunks, SMALL_CHUNKS).await;
}

// Guards against trailers without an end, which are not part of the body.
#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_an_end() {
    withstand(Conduct::Trailers, CONNECTIONS).await;
}

// Guards against bodies that are announced to be far over the limit.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_over_the_limit() {
    withstand(Conduct::ExcessiveAnnounced, BODIES).await;
}

// Guards against chunked bodies far over the limit.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit() {
    withstand(Conduct::ExcessiveChunked, BODIES).await;
}

// Guards against whole bodies that are kept while a slow store answers.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_while_the_store_is_slow() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(1).await;
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_millis(1200),
        ..StoreFaults::default()
    });
    let server = cell.hosts[0].callers();
    let crowd = Crowd::gather(server, QUEUE, Conduct::PaddedJob, BODIES, SEED);
    crowd.settle().await;
    crowd.close().await;
    cell.store.set_faults(StoreFaults::default());

    cell.serve_ordinary(1).await;

    cell.hosts[0].assert_bounds();
    cell.close().await;
}

// Guards against jobs that take far more memory than their bodies once they are decoded.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_many_steps() {
    withstand(Conduct::ManySteps, MANY_STEPS).await;
}

// Guards against unknown fields that take far more memory than their text while a job is decoded.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_with_an_unknown_field() {
    let _lock = CELL_LOCK.lock().await;
    let size = CellSize {
        body: LARGEST_ACCEPTED,
        ..CellSize::default()
    };
    let mut cell = Cell::open_sized(size).await;
    let server = cell.hosts[0].callers();
    let crowd = Crowd::gather(server, QUEUE, Conduct::UnknownField, UNKNOWN_FIELDS, SEED);
    crowd.settle().await;

    cell.serve_ordinary(1).await;
    crowd.close().await;

    cell.hosts[0].assert_bounds();
    cell.close().await;
}

// Guards against small bodies that are decoded to large jobs, which are kept until a slow store
// answers.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_a_full_row_while_the_store_is_slow() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(1).await;
    // Longer than the test, so that none of the jobs is accepted.
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_mins(5),
        ..StoreFaults::default()
    });
    let server = cell.hosts[0].callers();
    let crowd = Crowd::gather(server, QUEUE, Conduct::FullRow, BODIES, SEED);
    crowd.settle().await;
    crowd.close().await;
    cell.store.set_faults(StoreFaults::default());

    cell.serve_ordinary(1).await;

    cell.hosts[0].assert_bounds();
    cell.close().await;
}

// Guards against heads without an end that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end() {
    withstand(Conduct::Head, CONNECTIONS).await;
}

// Guards against silent connections that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing() {
    withstand(Conduct::Silent, CONNECTIONS).await;
}

// Guards against clients that send requests and do not read the replies.
#[tokio::test(flavor = "multi_thread")]
async fn replies_that_are_not_read() {
    withstand(Conduct::Unread, CONNECTIONS).await;
}

// Guards against log lines as long as the heads of requests, which are kept while the log output is
// slow.
#[tokio::test(flavor = "multi_thread")]
async fn long_paths_while_nobody_reads_the_log() {
    let _lock = CELL_LOCK.lock().await;
    let size = CellSize {
        logs: Logs::Blocked,
        ..CellSize::default()
    };
    let mut cell = Cell::open_sized(size).await;
    let server = cell.hosts[0].callers();
    let crowd = Crowd::gather(server, "/nowhere/", Conduct::LongPaths, LONG_PATHS, SEED);
    crowd.settle().await;

    cell.serve_ordinary(1).await;
    crowd.close().await;

    cell.hosts[0].assert_bounds();
    cell.close().await;
}

/// Lets a crowd with large bodies gather at another address than that for callers.
async fn withstand_at(address: fn(&Host) -> SocketAddr, path: &'static str) {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(2).await;
    let server = address(&cell.hosts[0]);
    let crowd = Crowd::gather(server, path, Conduct::Whole, BODIES, SEED);
    crowd.settle().await;

    cell.serve_ordinary(1).await;
    let ready = cell.hosts[0].ready();
    Caller::new().wait_status(ready, "/-/readyz", 200).await;
    crowd.close().await;
    cell.serve_ordinary(2).await;

    cell.hosts[0].assert_bounds();
    cell.hosts[1].assert_bounds();
    cell.close().await;
}

// Guards against large bodies at the address for the other processes.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_at_the_address_for_peers() {
    withstand_at(Host::peers, "/accept").await;
}

// Guards against large bodies at the address for readiness checks.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_at_the_address_for_readiness() {
    withstand_at(Host::ready, "/-/readyz").await;
}

// Guards against large bodies at the address of the metrics.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_at_the_address_of_the_metrics() {
    withstand_at(Host::metrics, "/metrics").await;
}

// Guards against listeners that each keep their bound while their sum exceeds the host.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_at_all_addresses_at_once() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(1).await;
    let host = &cell.hosts[0];
    let gather = |server, path, conduct| Crowd::gather(server, path, conduct, 150, SEED);
    let crowds = [
        gather(host.callers(), QUEUE, Conduct::Whole),
        gather(host.callers(), QUEUE, Conduct::Head),
        gather(host.peers(), "/accept", Conduct::Pieces),
        gather(host.peers(), "/accept", Conduct::Head),
        gather(host.ready(), "/-/readyz", Conduct::LargeChunk),
        gather(host.metrics(), "/metrics", Conduct::Unread),
    ];
    for crowd in &crowds {
        crowd.settle().await;
    }

    cell.serve_ordinary(1).await;
    for crowd in crowds {
        crowd.close().await;
    }
    cell.serve_ordinary(2).await;

    cell.hosts[0].assert_bounds();
    cell.close().await;
}

/// Lets crowds gather at all addresses of two processes, whose owner is connected to `workers` workers,
/// beside a slow store.
async fn withstand_beside_workers(workers: usize) {
    let _lock = CELL_LOCK.lock().await;
    let size = CellSize {
        processes: 2,
        workers,
        ..CellSize::default()
    };
    let mut cell = Cell::open_sized(size).await;
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_millis(1200),
        ..StoreFaults::default()
    });
    let mut crowds = Vec::new();
    for host in &cell.hosts {
        let (callers, peers) = (host.callers(), host.peers());
        crowds.extend([
            Crowd::gather(callers, QUEUE, Conduct::OrdinaryJob, ORDINARY_JOBS, SEED),
            Crowd::gather(peers, "/accept", Conduct::Silent, CONNECTIONS / 2, SEED),
            Crowd::gather(host.ready(), "/-/readyz", Conduct::Silent, 50, SEED),
            Crowd::gather(host.metrics(), "/metrics", Conduct::Silent, 50, SEED),
        ]);
    }
    for crowd in &crowds {
        crowd.settle().await;
    }
    for crowd in crowds {
        crowd.close().await;
    }
    cell.store.set_faults(StoreFaults::default());

    cell.serve_ordinary(1).await;

    cell.hosts[0].assert_bounds();
    cell.hosts[1].assert_bounds();
    cell.close().await;
}

// Guards against connections and requests of clients that leave no descriptors to the connections to the
// workers and to a slow store.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_connections_to_many_workers() {
    withstand_beside_workers(WORKERS).await;
}

// Guards against the same beside an owner whose connections to the workers take most of its descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_beside_an_owner_with_few_descriptors_left() {
    withstand_beside_workers(MOST_WORKERS).await;
}

// Guards against parts of the listeners that fit a host of one size and not the others.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_at_hosts_of_all_sizes() {
    for (memory, descriptors) in [(120, 3075), (160, 4100), (512, 8192)] {
        let _lock = CELL_LOCK.lock().await;
        let size = CellSize {
            memory,
            descriptors,
            ..CellSize::default()
        };
        let mut cell = Cell::open_sized(size).await;
        let host = &cell.hosts[0];
        let gather = |server, path, conduct| Crowd::gather(server, path, conduct, 800, SEED);
        let crowds = [
            gather(host.callers(), QUEUE, Conduct::Whole),
            gather(host.callers(), QUEUE, Conduct::Head),
            gather(host.peers(), "/accept", Conduct::Head),
            gather(host.peers(), "/accept", Conduct::Pieces),
        ];
        crowds[0].settle().await;

        cell.serve_ordinary(1).await;
        for crowd in crowds {
            crowd.close().await;
        }
        cell.serve_ordinary(2).await;

        cell.hosts[0].assert_bounds();
        cell.close().await;
    }
}

// Guards against a crowd that keeps a process from stopping by itself, or its callers from an answer
// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_beside_a_crowd() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(2).await;
    let server = cell.hosts[0].callers();
    let crowd = Crowd::gather(server, QUEUE, Conduct::Whole, BODIES, SEED);
    crowd.settle().await;

    cell.hosts[0].signal(Signal::SIGTERM);
    let (status, _) = Caller::new()
        .send(Method::GET, server, "/plain/00000000000000ff", &().into())
        .await;
    let code = cell.hosts[0].wait_exit().await;
    serve_ordinary(&[cell.hosts[1].callers()], 1).await;
    crowd.close().await;

    assert_ne!(status, 0, "a stopping process answers ordinary callers");
    assert_eq!(code, Some(0));
    cell.hosts[0].assert_peak();
    cell.hosts[1].assert_bounds();
    cell.close().await;
}

// Guards against a crowd that keeps a process from taking the pool over.
#[tokio::test(flavor = "multi_thread")]
async fn a_take_over_beside_a_crowd() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(2).await;
    let servers: Vec<_> = cell.hosts.iter().map(Host::callers).collect();
    let crowds: Vec<Crowd> = servers
        .iter()
        .map(|&server| Crowd::gather(server, QUEUE, Conduct::Pieces, BODIES, SEED))
        .collect();
    for crowd in &crowds {
        crowd.settle().await;
    }
    let owner = cell.owner();
    let other = 1 - owner;

    cell.hosts[owner].signal(Signal::SIGKILL);
    serve_ordinary(&[servers[other]], 1).await;
    for crowd in crowds {
        crowd.close().await;
    }

    cell.hosts[other].assert_bounds();
    cell.close().await;
}

// Guards against a crowd that is let in, or ordinary callers that are not, when many of them come at
// once.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_ordinary_callers_beside_a_crowd() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(1).await;
    let server = cell.hosts[0].callers();
    let crowd = Crowd::gather(server, QUEUE, Conduct::Pieces, BODIES, SEED);
    let burst: Vec<_> = (0..200)
        .map(|number| {
            tokio::spawn(async move {
                let path = format!("/plain/{:016x}", 0x00b0_0000 + number);
                let job = site::job(1, "10");
                Caller::new().send(Method::POST, server, &path, &job).await
            })
        })
        .collect();
    for call in burst {
        call.await.expect("a call returns");
    }
    crowd.settle().await;

    cell.serve_ordinary(1).await;
    crowd.close().await;

    cell.hosts[0].assert_bounds();
    cell.close().await;
}

// Guards against limits that refuse the largest request that the configuration allows.
#[tokio::test(flavor = "multi_thread")]
async fn the_largest_request_is_served_in_calm() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(1).await;
    let server = cell.hosts[0].callers();
    let body = padded_job(LARGEST_BODY);

    let mut statuses = Vec::new();
    for (number, chunk) in [(1, 1), (2, 1000), (3, LARGEST_BODY)] {
        let path = format!("{QUEUE}{number:016x}");
        statuses.push(send_raw(server, &chunked_request(&path, &body, chunk)).await);
    }

    assert_eq!(statuses, [200, 200, 200]);
    cell.hosts[0].assert_bounds();
    cell.close().await;
}

// Guards against a job that the store cannot keep, and that its caller therefore submits in vain.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_larger_than_a_row_is_rejected_at_once() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(1).await;
    let server = cell.hosts[0].callers();
    let body = job_of_many_steps(LARGEST_BODY);

    let path = format!("{QUEUE}{:016x}", 1);
    let status = send_raw(server, &chunked_request(&path, &body, 9000)).await;

    assert_eq!(status, 413);
    cell.hosts[0].assert_bounds();
    cell.close().await;
}

// Guards against a crowd that cancels jobs which nobody has submitted, each of which may be kept.
#[tokio::test(flavor = "multi_thread")]
async fn cancels_of_unknown_ids() {
    let _lock = CELL_LOCK.lock().await;
    let mut cell = Cell::open(2).await;
    let before = cell.store.version();
    let reads_before = cell.store.reads(cell::JOB_TABLE);
    let started = Instant::now();
    let servers = [cell.hosts[0].callers(), cell.hosts[1].callers()];
    let mut crowd = JoinSet::new();
    for member in 0..CANCELERS {
        crowd.spawn(cancel_unknown(servers[member % 2], member));
    }

    cell.serve_ordinary(1).await;
    let answers: Vec<u16> = crowd.join_all().await.concat();
    let writes = u128::from(cell.store.version() - before);
    cell.serve_ordinary(2).await;

    let stored = answers.iter().filter(|status| **status == 410).count();
    let known = [410, 429, 503, 504];
    assert!(answers.iter().all(|status| known.contains(status)));
    assert!(stored > 0 && cell.store.count(cell::EARLY_CANCEL_TABLE) <= cell::MAX_EARLY_CANCELS);
    // The owner writes at most once in 30 ms; the workers and the ordinary job write, too.
    let allowed = started.elapsed().as_millis() / 30 + 100;
    let reads = cell.store.reads(cell::JOB_TABLE) - reads_before;
    println!(
        "{stored} of {} stored, {reads} reads, {writes} writes",
        answers.len()
    );
    assert!(reads < answers.len() / 4, "found {reads} reads");
    assert!(
        writes <= allowed,
        "found {writes} writes, allowed: {allowed}"
    );
    cell.hosts[0].assert_bounds();
    cell.hosts[1].assert_bounds();
    cell.close().await;
}

/// Cancels jobs one after the other; returns the statuses of the answers.
async fn cancel_unknown(server: SocketAddr, member: usize) -> Vec<u16> {
    let caller = Caller::new();
    let mut answers = Vec::new();
    for nth in 0..CANCELS {
        let path = format!("{QUEUE}{:016x}", 0x10_0000 + member * CANCELS + nth);
        let cancel = caller.send(Method::DELETE, server, &path, &serde_json::Value::Null);
        answers.push(cancel.await.0);
    }
    answers
}
