//! Workers that restart under the same id, with whole processes. A violation, according to the
//! workers' log of their runs, is a task that runs twice at the same time, or again after it was
//! done or had no attempts left, or a worker with more tasks than cores.

use std::time::Duration;

use site::ATTEMPTS;
use site::Caller;
use site::DelayPlan;
use site::RefusedCalls;
use site::Restart;
use site::StoreFaults;
use site::TestCell;
use site::job;

/// Number of jobs that run before the workers restart, so that each worker has reported many
/// ends.
const HISTORY_JOBS: u64 = 24;

fn path(id: u64) -> String {
    format!("/plain/{id:016x}")
}

/// Submits `count` jobs of two tasks, with ids from `first` on; `payload` is the run time in
/// milliseconds, or `fail`.
async fn submit(cell: &TestCell, caller: &Caller, first: u64, count: u64, payload: &str) {
    for id in first..first + count {
        caller
            .submit(&cell.servers(), &path(id), &job(2, payload))
            .await;
    }
}

/// Waits until the jobs with ids from `first` on have the status `state`.
async fn wait_jobs(cell: &TestCell, caller: &Caller, first: u64, count: u64, state: &str) {
    for id in first..first + count {
        caller.wait_state(&cell.servers(), &path(id), state).await;
    }
}

/// Restarts all workers at the same time.
async fn restart_all(cell: &TestCell, restart: Restart) {
    let mut restarts = tokio::task::JoinSet::new();
    for supervisor in cell.supervisors.clone() {
        restarts.spawn(async move { supervisor.restart(restart).await });
    }
    restarts.join_all().await;
}

/// Opens a cell of two workers, each of which has reported many ends.
async fn open_with_history(caller: &Caller) -> TestCell {
    let cell = TestCell::open_stable_ids(1, 2).await;
    submit(&cell, caller, 0x100, HISTORY_JOBS, "30").await;
    wait_jobs(&cell, caller, 0x100, HISTORY_JOBS, "completed").await;
    cell
}

/// Guards against losing ends of a new incarnation. Workers number their ends, and a new
/// incarnation starts again at 1: an acknowledgement of the many ends of the former incarnation
/// would cover ends of the new one that the owner has not received.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_done_on_restarted_workers_do_not_run_again() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;

    restart_all(&cell, Restart::after(Duration::from_millis(300))).await;
    submit(&cell, &caller, 0x200, 12, "60").await;
    wait_jobs(&cell, &caller, 0x200, 12, "completed").await;

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against failed runs of a new incarnation that are not counted as attempts, so that the
/// task is started more often than allowed.
#[tokio::test(flavor = "multi_thread")]
async fn failed_runs_on_restarted_workers_are_counted() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;

    restart_all(&cell, Restart::after(Duration::from_millis(300))).await;
    submit(&cell, &caller, 0x300, 6, "fail").await;
    wait_jobs(&cell, &caller, 0x300, 6, "failed").await;

    for id in 0x300..0x306 {
        for index in 0..2 {
            let task = format!("{id:016x}.0.0.{index}");
            let starts = cell.log.starts(&task);
            assert!(starts <= ATTEMPTS, "{task}: {starts} starts");
        }
    }
    cell.close().await;
}

/// Largest number of starts of a task that crashes each worker: the platform's rules allow two
/// more starts after three crashes.
const MAX_STARTS: usize = 5;

/// Guards against a crash that is not counted against the task because the worker has restarted
/// under the same id before the owner notices the crash.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_crashes_restarting_workers_fails() {
    let cell = TestCell::open_stable_ids(2, 6).await;
    let caller = Caller::new();
    // `crash INDEX RUN_TIME`: the task with index 0 crashes its worker.
    let crashing_job = job(1, "crash 0 300");
    caller
        .submit(&cell.servers(), &path(0xd1), &crashing_job)
        .await;
    submit(&cell, &caller, 0xe00, 10, "300").await;

    let servers = cell.servers();
    let crashing_path = path(0xd1);
    let failed = caller.wait_state(&servers, &crashing_path, "failed");
    let failed = tokio::time::timeout(Duration::from_secs(20), failed).await;

    let starts = cell.log.starts("00000000000000d1");
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert!(failed.is_ok(), "not failed after {starts} starts");
    wait_jobs(&cell, &caller, 0xe00, 10, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Returns a plan that delays a share of the renewals, so that renewals sent to an incarnation
/// may reach the next one seconds later.
fn delayed_renewals(share: f64) -> DelayPlan {
    DelayPlan {
        starts: 0.0,
        stops: 0.0,
        renewals: share,
        min_delay: Duration::from_millis(300),
        max_delay: Duration::from_millis(2500),
    }
}

/// Submits jobs while all workers restart several times; returns the number of jobs.
async fn submit_during(cell: &TestCell, caller: &Caller, restarts: &[Restart]) -> u64 {
    let mut first = 0x1000;
    for restart in restarts {
        let jobs = submit(cell, caller, first, 8, "120");
        tokio::join!(restart_all(cell, *restart), jobs);
        submit(cell, caller, first + 8, 4, "40").await;
        first += 12;
    }
    first - 0x1000
}

/// Restarts all workers while jobs arrive; asserts that the jobs complete without violations.
async fn assert_jobs_complete(cell: TestCell, caller: &Caller, restarts: &[Restart]) {
    let count = submit_during(&cell, caller, restarts).await;
    wait_jobs(&cell, caller, 0x1000, count, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against renewals sent to a former incarnation that reach the next one and acknowledge
/// its ends, or extend its lease although the owner has not recorded a lease for it.
#[tokio::test(flavor = "multi_thread")]
async fn renewals_delayed_across_a_restart_cause_no_violations() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;
    for supervisor in &cell.supervisors {
        supervisor.current().set_delay_plan(delayed_renewals(0.4));
    }

    let restarts = [200, 700, 50].map(|down| Restart::after(Duration::from_millis(down)));
    assert_jobs_complete(cell, &caller, &restarts).await;
}

/// Guards against inferring the order of two incarnations from their start times: if the worker's
/// clock was set back, the later incarnation has the earlier start time and would be ignored.
#[tokio::test(flavor = "multi_thread")]
async fn workers_whose_clock_was_set_back_are_used_again() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;

    let restart = Restart {
        // One hour, in milliseconds.
        clock_back: 3_600_000,
        ..Restart::after(Duration::from_millis(200))
    };
    assert_jobs_complete(cell, &caller, &[restart; 2]).await;
}

/// Guards against a worker that is no longer used after two restarts in a row, the first of which
/// no worker report and no registration shows, or after a restart whose registration is written
/// long after the new incarnation has answered the owner's calls.
#[tokio::test(flavor = "multi_thread")]
async fn workers_that_restart_twice_in_a_row_are_used_again() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;

    let quick = Restart::after(Duration::from_millis(10));
    let late_registration = Restart {
        registration_delay: Duration::from_millis(1500),
        ..quick
    };
    assert_jobs_complete(cell, &caller, &[quick, quick, late_registration, quick]).await;
}

/// Guards against counting a running incarnation as ended because of an older list of machines:
/// the list was made while the worker was down and arrives after its restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_list_of_machines_does_not_end_the_next_incarnation() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;
    cell.advice.set_list_delay(Duration::from_millis(600));

    let restarts = [700, 900].map(|down| Restart::after(Duration::from_millis(down)));
    assert_jobs_complete(cell, &caller, &restarts).await;
}

/// Guards against a successor that takes the runs of a new incarnation for those of the former
/// incarnation, which the worker's row names. The workers restart between the death of the owner
/// and the take-over, and once more after that.
#[tokio::test(flavor = "multi_thread")]
async fn owners_killed_while_workers_restart_cause_no_violations() {
    let caller = Caller::new();
    let mut cell = TestCell::open_stable_ids(3, 3).await;
    submit(&cell, &caller, 0x100, HISTORY_JOBS, "30").await;
    wait_jobs(&cell, &caller, 0x100, HISTORY_JOBS, "completed").await;

    let mut first = 0x1000;
    for down in [50, 400] {
        submit(&cell, &caller, first, 9, "250").await;
        let owner = cell.wait_owner(|_| true).await;
        cell.kill(owner).await;
        restart_all(&cell, Restart::after(Duration::from_millis(down))).await;
        cell.wait_owner(|next| next != owner).await;
        restart_all(&cell, Restart::after(Duration::from_millis(down))).await;
        cell.start(owner).await;
        first += 9;
    }

    wait_jobs(&cell, &caller, 0x1000, first - 0x1000, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against workers that are no longer used after they have restarted while the store
/// was down, when neither their registration nor their row could be written.
#[tokio::test(flavor = "multi_thread")]
async fn workers_that_restart_while_the_store_is_down_are_used_again() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;
    submit(&cell, &caller, 0x1000, 6, "400").await;

    cell.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    restart_all(&cell, Restart::after(Duration::from_millis(200))).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    cell.store.set_faults(StoreFaults::default());
    submit(&cell, &caller, 0x1006, 6, "50").await;
    wait_jobs(&cell, &caller, 0x1000, 12, "completed").await;

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against counting an incarnation as ended because a worker report names no incarnation.
/// The owner ignores such reports, and the worker counts as unresponsive until it reports its
/// incarnation again.
#[tokio::test(flavor = "multi_thread")]
async fn worker_reports_without_an_incarnation_are_ignored() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;
    submit(&cell, &caller, 0x1000, 4, "600").await;

    for supervisor in &cell.supervisors {
        supervisor.current().set_omits_incarnation(true);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    // Starts of all tasks.
    let starts = cell.log.starts("");
    for supervisor in &cell.supervisors {
        supervisor.current().set_omits_incarnation(false);
    }
    wait_jobs(&cell, &caller, 0x1000, 4, "completed").await;

    assert_eq!(cell.log.starts(""), starts);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an owner that keeps calling a worker at the address of its former
/// incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_restarts_at_another_address_is_used_again() {
    let caller = Caller::new();
    let mut cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, 4, "30").await;
    wait_jobs(&cell, &caller, 0x100, 4, "completed").await;

    let restart = Restart::after(Duration::from_millis(200));
    cell.move_worker(0, restart).await;
    submit(&cell, &caller, 0x1000, 4, "30").await;
    wait_jobs(&cell, &caller, 0x1000, 4, "completed").await;

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against a former owner that uses incarnations which started after its successor had
/// claimed their workers. It cannot write the row of a new incarnation, so as long as writes are
/// refused, no task may start on one.
#[tokio::test(flavor = "multi_thread")]
async fn an_incarnation_is_not_used_before_its_row_is_written() {
    let caller = Caller::new();
    let cell = open_with_history(&caller).await;
    submit(&cell, &caller, 0x1000, 6, "300").await;

    cell.store.set_faults(StoreFaults {
        refused_calls: RefusedCalls::Writes,
        ..StoreFaults::default()
    });
    restart_all(&cell, Restart::after(Duration::from_millis(100))).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    // Starts of all tasks.
    let before = cell.log.starts("");
    tokio::time::sleep(Duration::from_millis(800)).await;
    let after = cell.log.starts("");
    cell.store.set_faults(StoreFaults::default());
    wait_jobs(&cell, &caller, 0x1000, 6, "completed").await;

    assert_eq!(after, before);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an owner that releases the pool although there is no successor. A start command
/// is delayed until the worker has restarted; the next incarnation refuses it, and the owner took
/// this refusal for that of a worker which a successor has claimed.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_refused_by_the_next_incarnation_does_not_depose_the_owner() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, 4, "30").await;
    wait_jobs(&cell, &caller, 0x100, 4, "completed").await;
    let before = cell.epoch();

    cell.delay_starts(0, Duration::from_millis(900));
    submit(&cell, &caller, 0x1000, 1, "30").await;
    restart_all(&cell, Restart::after(Duration::from_millis(30))).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    cell.delay_starts(0, Duration::ZERO);
    wait_jobs(&cell, &caller, 0x1000, 1, "completed").await;

    assert_eq!(cell.epoch(), before);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an acknowledgement sent to a former incarnation that reaches the next one after
/// a start command, and removes the end of the started run before any owner has received it.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledgements_that_reach_the_next_incarnation_remove_no_end() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, HISTORY_JOBS, "30").await;
    wait_jobs(&cell, &caller, 0x100, HISTORY_JOBS, "completed").await;

    for first in [0x1000, 0x2000, 0x3000] {
        let restarted = cell.restart_before_ack(0);
        tokio::join!(restarted, submit(&cell, &caller, first, 1, "20"));
        submit(&cell, &caller, first + 1, 1, "20").await;
        wait_jobs(&cell, &caller, first, 2, "completed").await;
    }

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an acknowledgement that is sent while a start command is in transit: if the
/// worker restarts, the next incarnation may carry out the start first, and the acknowledgement
/// would then remove the end of its run.
#[tokio::test(flavor = "multi_thread")]
async fn no_end_is_acknowledged_while_a_start_is_in_transit() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    cell.delay_starts(0, Duration::from_millis(60));

    submit(&cell, &caller, 0x100, HISTORY_JOBS, "30").await;
    wait_jobs(&cell, &caller, 0x100, HISTORY_JOBS, "completed").await;

    assert_eq!(cell.overlapping_acks(0), 0);
    cell.close().await;
}

/// Guards against an acknowledgement that is sent while a start command that got no reply may
/// still be carried out; the acknowledgement could remove the end of its run.
#[tokio::test(flavor = "multi_thread")]
async fn no_end_is_acknowledged_while_an_unanswered_start_may_arrive() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, HISTORY_JOBS, "30").await;
    wait_jobs(&cell, &caller, 0x100, HISTORY_JOBS, "completed").await;
    cell.delay_starts(0, Duration::from_secs(3));
    submit(&cell, &caller, 0x1000, 1, "30").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    cell.delay_starts(0, Duration::ZERO);

    // Meanwhile the task of the unanswered start is started again, and others end.
    wait_jobs(&cell, &caller, 0x1000, 1, "completed").await;
    submit(&cell, &caller, 0x2000, 2, "30").await;
    wait_jobs(&cell, &caller, 0x2000, 2, "completed").await;
    tokio::time::sleep(Duration::from_millis(1200)).await;

    assert_eq!(cell.overlapping_acks(0), 0);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Waits until the current incarnation has received a higher fencing token than `before`, which
/// shows that the owner has claimed it.
async fn wait_claimed(cell: &TestCell, before: u64) {
    let claimed = async {
        while cell.supervisors[0].current().token() <= before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let claimed = tokio::time::timeout(Duration::from_secs(10), claimed).await;
    assert!(claimed.is_ok(), "the next incarnation is not claimed");
}

/// Guards against commands sent to a former incarnation that the next one carries out after the
/// owner has claimed it: the higher fencing token makes it refuse them.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_incarnation_is_claimed_with_a_higher_token() {
    let cell = TestCell::open_stable_ids(1, 1).await;
    wait_claimed(&cell, 0).await;
    let before = cell.supervisors[0].current().token();

    restart_all(&cell, Restart::after(Duration::from_millis(20))).await;

    wait_claimed(&cell, before).await;
    cell.close().await;
}

/// Guards against an unanswered start command that the next incarnation carries out after a
/// renewal: the task may run elsewhere by then. The renewal has a higher fencing token, so the
/// start is refused.
#[tokio::test(flavor = "multi_thread")]
async fn commands_after_an_unanswered_start_have_a_higher_token() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, HISTORY_JOBS, "30").await;
    wait_jobs(&cell, &caller, 0x100, HISTORY_JOBS, "completed").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = cell.supervisors[0].current().token();

    cell.delay_starts(0, Duration::from_secs(2));
    submit(&cell, &caller, 0x1000, 1, "30").await;
    tokio::time::sleep(Duration::from_millis(1600)).await;
    let raised = cell.supervisors[0].current().token();
    cell.delay_starts(0, Duration::ZERO);
    wait_jobs(&cell, &caller, 0x1000, 1, "completed").await;

    assert!(raised > before, "token {raised}, before {before}");
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against using an incarnation before its row is written. A write of the row of the former
/// incarnation was in progress during the restart, and the owner took its completion for that of
/// the next incarnation's row.
#[tokio::test(flavor = "multi_thread")]
async fn the_row_of_a_former_incarnation_does_not_allow_the_next_one() {
    let cell = TestCell::open_stable_ids(1, 1).await;
    wait_claimed(&cell, 0).await;
    let before = cell.supervisors[0].current().token();
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_millis(1200),
        ..StoreFaults::default()
    });

    // Makes the owner write the worker's row, which takes 1.2 s.
    cell.resize(0, 8);
    tokio::time::sleep(Duration::from_millis(600)).await;
    restart_all(&cell, Restart::after(Duration::from_millis(20))).await;
    wait_claimed(&cell, before).await;

    let row = cell
        .store
        .raw(cell::USED_WORKER_TABLE, cell::OWNER_PART, "w0");
    let row = cell::decode_used_worker(&row.expect("a row")).expect("readable");
    assert_eq!(
        row.incarnation,
        Some(cell.supervisors[0].current().incarnation)
    );
    cell.close().await;
}
