//! Connections to the store that go silent: they stay open, but deliver nothing any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cell::Follower;
use platform::ReadTimeouts;
use platform::Store;
use platform::WORKER_TABLE;
use site::FakeStore;
use site::StoreFaults;
use site::serve;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use web::Client;

/// Number of calls at a time, which is the number of connections that stay open afterwards.
const CALLS: usize = 12;

/// Forwards connections to `server`. When `silenced` changes, those that are open by then stop
/// delivering data, and later ones work.
async fn relay(server: SocketAddr, silenced: watch::Receiver<()>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let mut silenced = silenced.clone();
            silenced.mark_unchanged();
            tokio::spawn(async move {
                let mut store = TcpStream::connect(server).await.expect("connect");
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut caller, &mut store) => {}
                    Ok(()) = silenced.changed() => std::future::pending().await,
                }
            });
        }
    });
    address
}

/// Reads a table several times at the same time, and so opens as many connections.
async fn open_connections(store: &Store) {
    let mut reads = JoinSet::new();
    for _ in 0..CALLS {
        let store = store.clone();
        reads.spawn(async move {
            let timeouts = ReadTimeouts::single(Duration::from_secs(5));
            store.read_part(WORKER_TABLE, "", timeouts).await
        });
    }
    while let Some(read) = reads.join_next().await {
        read.expect("no panic").expect("a reply");
    }
}

/// Guards against registrations that are not read for one timeout after another, one for each idle
/// connection that has gone silent, though the store answers on new connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_needs_one_timeout_for_all_silent_connections() {
    let fake_store = FakeStore::new();
    fake_store.set_faults(StoreFaults {
        slow_rows: Some((WORKER_TABLE, Duration::from_millis(300))),
        ..StoreFaults::default()
    });
    let (_stop, stopped) = watch::channel(false);
    let server = serve(Arc::clone(&fake_store), &stopped).await;
    let (silence, silenced) = watch::channel(());
    let address = relay(server, silenced).await;
    let store = Store::new(Client::new(Duration::from_secs(1)), address);
    let mut follower = Follower::new(&store, WORKER_TABLE, false);
    follower.next(Duration::ZERO).await.expect("full read");
    open_connections(&store).await;
    silence.send_replace(());

    // The owner reads registrations every 0.4 s.
    let mut lost = 0;
    while follower.next(Duration::ZERO).await.is_err() {
        lost += 1;
        tokio::time::sleep(Duration::from_millis(400)).await;
    }

    assert!(lost <= 2, "{lost} reads in a row got no reply");
}
