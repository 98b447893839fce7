//! The harness of the other tests: what it leaves behind when one fails.

mod support;

use nix::errno::Errno;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::support::open_cell;

// Shards of a cell had no owner that could be reached for the whole of a test,
// and its callers got no final answer. Their rows named a run of a process that
// the test had never started: `"owner":"entry-2-1a2390386c9","epoch":2`, while
// its own was `entry-2-1a2390af470`. An earlier test had failed, which skips the
// close of its cell; its processes ran on, looked for their table, and found
// that of the later test, whose port was the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_cell_that_is_not_closed_leaves_no_process() {
    let cell = open_cell(1).await;
    let id = cell.members[0].process_id().expect("it runs");
    let id = Pid::from_raw(i32::try_from(id).expect("id"));

    drop(cell);

    assert_eq!(kill(id, None), Err(Errno::ESRCH));
}
