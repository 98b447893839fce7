//! Change feeds with more rows than fit into one reply, and feeds that are slow or hang.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cell::Change;
use cell::Follower;
use platform::Store;
use site::FakeStore;
use site::StoreFaults;
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

/// Guards against losing the rows of the first page when a read is cancelled during the second, as
/// happens when the store answers again after an outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_read_loses_no_rows() {
    let (fake_store, mut follower, _stop) = open(false, Duration::ZERO).await;
    for nth in 0..600 {
        fake_store.write_row(TABLE, "", &format!("w{nth:04}"), b"{}");
    }
    let page_time = Duration::from_millis(200);
    fake_store.set_faults(StoreFaults {
        slow_feed: Some((TABLE, page_time)),
        ..StoreFaults::default()
    });
    let cancelled = tokio::time::timeout(page_time * 3 / 2, follower.next(Duration::ZERO)).await;

    let change = follower.next(Duration::ZERO).await.expect("changes");

    assert!(cancelled.is_err(), "the second page was read in time");
    let (Change::Snapshot(rows) | Change::Delta(rows)) = change;
    assert_eq!(rows.len(), 600);
}

/// Starts a store, and a follower that has read the empty table in a page that took `first_read`.
async fn open(
    all_parts: bool,
    first_read: Duration,
) -> (Arc<FakeStore>, Follower, watch::Sender<bool>) {
    let fake_store = FakeStore::new();
    fake_store.set_faults(StoreFaults {
        slow_rows: Some((TABLE, first_read)),
        ..StoreFaults::default()
    });
    let (stop, stopped) = watch::channel(false);
    let address = serve(fake_store.clone(), &stopped).await;
    let store = Store::new(Client::new(Duration::from_secs(1)), address);
    let mut follower = Follower::new(&store, TABLE, all_parts);
    follower.next(Duration::ZERO).await.expect("full read");
    (fake_store, follower, stop)
}

/// Delays replies of the feed and of full reads.
fn slow(feed: Duration, rows: Duration) -> StoreFaults {
    StoreFaults {
        slow_feed: Some((TABLE, feed)),
        slow_rows: Some((TABLE, rows)),
        ..StoreFaults::default()
    }
}

/// Guards against reading a large table over and over while the feed gets no reply: a full read is
/// repeated only after twice its duration.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_full_read_is_not_repeated_at_once() {
    let (fake_store, mut follower, _stop) = open(false, Duration::from_secs(1)).await;
    fake_store.set_faults(StoreFaults {
        hung_feed: true,
        ..StoreFaults::default()
    });

    let first = follower.next(Duration::ZERO).await;
    let second = follower.next(Duration::ZERO).await;
    let third = follower.next(Duration::ZERO).await;

    assert!(first.is_err() && second.is_err(), "{first:?}, {second:?}");
    assert!(matches!(third, Ok(Change::Snapshot(_))), "{third:?}");
}

/// Guards against reading all parts of a table, each of which takes a request, about as often as
/// the feed.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_read_of_parts_is_repeated_later() {
    let (fake_store, mut follower, _stop) = open(true, Duration::from_millis(250)).await;
    fake_store.set_faults(StoreFaults {
        hung_feed: true,
        ..StoreFaults::default()
    });

    let first = follower.next(Duration::ZERO).await;
    let second = follower.next(Duration::ZERO).await;
    let third = follower.next(Duration::ZERO).await;

    assert!(first.is_err() && second.is_err(), "{first:?}, {second:?}");
    assert!(matches!(third, Ok(Change::Snapshot(_))), "{third:?}");
}

/// Guards against full reads for as long as the store is slow: the timeout of the feed follows the
/// delay of the full read.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_of_a_slow_store_continues_with_the_feed() {
    let (fake_store, mut follower, _stop) = open(false, Duration::ZERO).await;
    let delay = Duration::from_millis(700);
    fake_store.set_faults(slow(delay, delay));

    let first = follower.next(Duration::ZERO).await;
    let second = follower.next(Duration::ZERO).await;

    assert!(matches!(first, Ok(Change::Snapshot(_))), "{first:?}");
    assert!(matches!(second, Ok(Change::Delta(_))), "{second:?}");
}

/// Guards against a follower that never reads a store whose replies take longer than its first
/// timeouts.
#[tokio::test(flavor = "multi_thread")]
async fn timeouts_grow_until_a_reply_arrives() {
    let (fake_store, mut follower, _stop) = open(false, Duration::ZERO).await;
    let delay = Duration::from_millis(2_200);
    fake_store.set_faults(slow(delay, delay));
    let mut lost = 0;

    while follower.next(Duration::ZERO).await.is_err() {
        lost += 1;
        assert!(lost < 5, "{lost} reads in a row got no reply");
    }
}

/// Guards against a follower behind a hung feed that never reads the table, because each page takes
/// longer than the first timeout.
#[tokio::test(flavor = "multi_thread")]
async fn timeouts_of_full_reads_grow_until_a_reply_arrives() {
    let (fake_store, mut follower, _stop) = open(false, Duration::ZERO).await;
    fake_store.set_faults(StoreFaults {
        hung_feed: true,
        slow_rows: Some((TABLE, Duration::from_millis(2_200))),
        ..StoreFaults::default()
    });
    let mut lost = 0;

    while follower.next(Duration::ZERO).await.is_err() {
        lost += 1;
        assert!(lost < 6, "{lost} reads in a row got no reply");
    }
}

/// Guards against rows that count as current although the read stopped before the last page.
#[tokio::test(flavor = "multi_thread")]
async fn rows_are_not_current_before_the_last_page() {
    let (fake_store, mut follower, _stop) = open(false, Duration::from_millis(1_200)).await;
    fake_store.set_faults(slow(Duration::from_millis(400), Duration::ZERO));
    for nth in 0..3600 {
        fake_store.write_row(TABLE, "", &format!("w{nth:04}"), b"{}");
    }
    let started = Instant::now();

    let part = follower.next(Duration::ZERO).await.expect("changes");
    let (part_age, part_time) = (follower.age(), started.elapsed());
    let rest = follower.next(Duration::ZERO).await.expect("changes");
    let (age, time) = (follower.age(), started.elapsed());

    let (Change::Delta(part), Change::Delta(rest)) = (part, rest) else {
        panic!("not changes");
    };
    assert_eq!(part.len() + rest.len(), 3600);
    assert!(part_age > Some(part_time), "{part_age:?}");
    assert!(age < Some(time), "{age:?}");
}
