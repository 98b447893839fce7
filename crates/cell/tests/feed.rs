//! A change feed with more rows than fit into one reply.

use std::time::Duration;

use cell::Change;
use cell::Follower;
use platform::Store;
use site::FakeStore;
use site::serve;
use tokio::sync::watch;
use web::Client;

const TABLE: &str = "servers";

/// Guards against reading the change feed more slowly than rows are written: workers got work for
/// ten seconds after they had registered that they were leaving. 3,000 workers write 2,000 rows a
/// second, and a feed reply contains at most 500, but the owner read only one reply every 0.4 s,
/// even after a full one.
#[tokio::test(flavor = "multi_thread")]
async fn a_feed_is_read_until_a_reply_is_not_full() {
    let fake_store = FakeStore::new();
    let (_stop, stopped) = watch::channel(false);
    let address = serve(fake_store.clone(), &stopped).await;
    let store = Store::new(Client::new(Duration::from_secs(1)), address);
    // `false`: only the unnamed part of the table, which contains the rows written below.
    let mut follower = Follower::new(&store, TABLE, false);
    let first = follower.next(Duration::ZERO).await.expect("full read");
    for nth in 0..1200 {
        fake_store.write_row(TABLE, "", &format!("w{nth:04}"), b"{}");
    }

    let change = follower.next(Duration::ZERO).await.expect("changes");

    assert!(matches!(first, Change::Snapshot(rows) if rows.is_empty()));
    let Change::Delta(rows) = change else {
        panic!("not a change");
    };
    assert_eq!(rows.len(), 1200);
}
