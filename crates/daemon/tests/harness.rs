//! Clean-up of the test harness after a failed test.

mod support;

use nix::errno::Errno;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::support::open_cell;

// Guards against processes that outlive a failed test, which drops its cell without closing
// it. They keep connecting to the port of their table. Once a later test has opened its own
// table on that port, they claim shards in it: a shard row contains
// `"owner":"entry-2-1a2390386c9","epoch":2`, while the incarnation of the later test's process
// is `entry-2-1a2390af470`. The later test's processes cannot reach such owners, so its callers
// get no final answer.
#[tokio::test(flavor = "multi_thread")]
async fn dropping_a_cell_ends_its_processes() {
    let cell = open_cell(1).await;
    let id = cell.members[0].process_id().expect("a running process");
    let id = Pid::from_raw(i32::try_from(id).expect("id"));

    drop(cell);

    assert_eq!(kill(id, None), Err(Errno::ESRCH));
}
