//! Which hosts of a large cell take a free pool, and how many of them try.

use std::time::Duration;

use cell::takeover_delay;
use site::TestCell;

/// Guards against a pool whose owner changes every two seconds, so that no task starts, after the
/// former owner of a cell with 299 hosts has died. Each host read that the pool was free, waited
/// for its take-over delay and then wrote the ownership row without reading it again. Up to a
/// hundred writes, and behind them the renewals of the new owner, were queued in the part of the
/// store that contains the owner's rows, so the ownership expired.
#[tokio::test(flavor = "multi_thread")]
async fn a_free_pool_is_taken_with_few_writes() {
    // Twelve processes and one worker.
    let mut cell = TestCell::open(12, 1).await;
    let owner = cell.wait_owner(|_| true).await;
    let before = cell.store.transactions(cell::OWNERSHIP_TABLE);

    cell.kill(owner).await;
    cell.wait_owner(|next| next != owner).await;
    // Longer than the take-over delay of a host of one core, at most 0.2 s.
    tokio::time::sleep(Duration::from_millis(600)).await;
    // Only writes that take the pool count; renewals require another row. One of these writes
    // succeeds, and the others are from hosts that read the row just before it.
    let writes = cell.store.transactions(cell::OWNERSHIP_TABLE) - before;
    assert!(writes <= 4, "{writes} hosts wrote");
    cell.close().await;
}

/// Guards against a small host that takes a free pool before larger hosts have restarted. A killed
/// process restarts within 0.6 s, but a host with 0.12 of a core waited for only 0.4 s: it took
/// the pool of an owner that was killed together with a third of all hosts, needed 2.4 s to read
/// the stored state and could not keep up with 350 workers. In one of nine test runs in which
/// an owner and a third of all hosts were killed, no task started for 5.7 s.
#[test]
fn a_small_host_takes_a_free_pool_only_after_larger_hosts_have_restarted() {
    const RESTART_TIME: Duration = Duration::from_millis(600);
    // The delay depends on a hash of the host's name, and on whether the host has less than 0.2 of
    // a core.
    let names: Vec<String> = (0..100).map(|nth| format!("entry-{nth}")).collect();

    let small = names.iter().map(|name| takeover_delay(name, 0.12)).min();
    let large = names.iter().map(|name| takeover_delay(name, 0.5)).max();

    let (small, large) = (small.expect("hosts"), large.expect("hosts"));
    assert!(small > RESTART_TIME + large, "{small:?}, {large:?}");
}
