//! Workers that start again under their id, with whole processes.

use std::time::Duration;

use site::ATTEMPTS;
use site::Caller;
use site::DelayPlan;
use site::RefusedCalls;
use site::Restart;
use site::StoreFaults;
use site::TestCell;
use site::job;

/// Jobs that give each worker a history before it starts again.
const HISTORY: u64 = 24;

fn path(id: u64) -> String {
    format!("/plain/{id:016x}")
}

/// Submits `count` jobs of two tasks, with ids from `first` on.
async fn submit(cell: &TestCell, caller: &Caller, first: u64, count: u64, text: &str) {
    for id in first..first + count {
        caller
            .submit(&cell.servers(), &path(id), &job(2, text))
            .await;
    }
}

/// Waits until the jobs are shown in a state.
async fn wait(cell: &TestCell, caller: &Caller, first: u64, count: u64, state: &str) {
    for id in first..first + count {
        caller.wait_state(&cell.servers(), &path(id), state).await;
    }
}

/// All workers start again at the same time.
async fn restart_all(cell: &TestCell, restart: Restart) {
    let mut restarts = tokio::task::JoinSet::new();
    for place in cell.supervisors.clone() {
        restarts.spawn(async move { place.restart(restart).await });
    }
    restarts.join_all().await;
}

/// A cell of two workers, each of which has listed many ends, just before they start
/// again.
async fn with_history(caller: &Caller) -> TestCell {
    let cell = TestCell::open_stable_ids(1, 2).await;
    submit(&cell, caller, 0x100, HISTORY, "30").await;
    wait(&cell, caller, 0x100, HISTORY, "completed").await;
    cell
}

/// Guards against ends of a new life that are taken for those of the former one, and
/// forgotten by the worker before the owner has heard them.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_done_on_workers_that_started_again_do_not_run_again() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;

    restart_all(&cell, Restart::after(Duration::from_millis(300))).await;
    submit(&cell, &caller, 0x200, 12, "60").await;
    wait(&cell, &caller, 0x200, 12, "completed").await;

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against failed runs of a new life that count as no attempt.
#[tokio::test(flavor = "multi_thread")]
async fn failed_runs_on_workers_that_started_again_are_counted() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;

    restart_all(&cell, Restart::after(Duration::from_millis(300))).await;
    submit(&cell, &caller, 0x300, 6, "fail").await;
    wait(&cell, &caller, 0x300, 6, "failed").await;

    for id in 0x300..0x306 {
        for index in 0..2 {
            let task = format!("{id:016x}.0.0.{index}");
            let starts = cell.log.starts(&task);
            assert!(starts <= ATTEMPTS, "{task}: {starts} starts");
        }
    }
    cell.close().await;
}

/// Most starts of a task that crashes each worker: the platform bears two more after
/// three crashes.
const MOST_STARTS: usize = 5;

/// Guards against a worker's crash that counts for nothing since its id is there again.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_crashes_workers_which_start_again_is_given_up() {
    let cell = TestCell::open_stable_ids(2, 6).await;
    let caller = Caller::new();
    let text = job(1, "crash 0 300");
    caller.submit(&cell.servers(), &path(0xd1), &text).await;
    submit(&cell, &caller, 0xe00, 10, "300").await;

    let servers = cell.servers();
    let bad = path(0xd1);
    let shown = caller.wait_state(&servers, &bad, "failed");
    let shown = tokio::time::timeout(Duration::from_secs(20), shown).await;

    let starts = cell.log.starts("00000000000000d1");
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert!(shown.is_ok(), "not failed after {starts} starts");
    wait(&cell, &caller, 0xe00, 10, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// What is sent to the former lives may reach the next ones seconds later.
fn delayed_renewals(share: f64) -> DelayPlan {
    DelayPlan {
        starts: 0.0,
        stops: 0.0,
        renewals: share,
        min_delay: Duration::from_millis(300),
        max_delay: Duration::from_millis(2500),
    }
}

/// Submits jobs for as long as a few restarts of all workers take; gives how many.
async fn submit_through(cell: &TestCell, caller: &Caller, restarts: &[Restart]) -> u64 {
    let mut first = 0x1000;
    for restart in restarts {
        let jobs = submit(cell, caller, first, 8, "120");
        tokio::join!(restart_all(cell, *restart), jobs);
        submit(cell, caller, first + 8, 4, "40").await;
        first += 12;
    }
    first - 0x1000
}

/// Plays restarts while jobs come, and holds what workers did against what is promised.
async fn assert_outlived(cell: TestCell, caller: &Caller, restarts: &[Restart]) {
    let count = submit_through(&cell, caller, restarts).await;
    wait(&cell, caller, 0x1000, count, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against renewals of a former life that acknowledge the ends of the next one, or
/// give it a lease that nobody counts.
#[tokio::test(flavor = "multi_thread")]
async fn renewals_that_cross_a_restart_do_no_harm() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;
    for place in &cell.supervisors {
        place.current().set_delay_plan(delayed_renewals(0.4));
    }

    let restarts = [200, 700, 50].map(|down| Restart::after(Duration::from_millis(down)));
    assert_outlived(cell, &caller, &restarts).await;
}

/// Guards against an order of two lives that is told by their clocks.
#[tokio::test(flavor = "multi_thread")]
async fn workers_whose_clock_went_back_are_used_again() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;

    let restart = Restart {
        clock_back: 3_600_000,
        ..Restart::after(Duration::from_millis(200))
    };
    assert_outlived(cell, &caller, &[restart; 2]).await;
}

/// Guards against restarts that no list and no entry shows, since another one follows, and
/// against entries that come long after a worker has answered.
#[tokio::test(flavor = "multi_thread")]
async fn workers_that_start_again_twice_at_once_are_used_again() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;

    let quick = Restart::after(Duration::from_millis(10));
    let unwritten = Restart {
        registration_delay: Duration::from_millis(1500),
        ..quick
    };
    assert_outlived(cell, &caller, &[quick, quick, unwritten, quick]).await;
}

/// Guards against a list of machines made while a worker was down, which comes when it is
/// there again and ends its next life.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_list_of_machines_ends_no_next_life() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;
    cell.advice.set_list_delay(Duration::from_millis(600));

    let restarts = [700, 900].map(|down| Restart::after(Duration::from_millis(down)));
    assert_outlived(cell, &caller, &restarts).await;
}

/// Guards against a successor that takes the runs of a life which it never met for those of
/// the life that its predecessor knew.
#[tokio::test(flavor = "multi_thread")]
async fn owners_that_die_while_workers_start_again_do_no_harm() {
    let caller = Caller::new();
    let mut cell = TestCell::open_stable_ids(3, 3).await;
    submit(&cell, &caller, 0x100, HISTORY, "30").await;
    wait(&cell, &caller, 0x100, HISTORY, "completed").await;

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

    wait(&cell, &caller, 0x1000, first - 0x1000, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against workers that are not used any more if they start again while the store is
/// away, so that neither an entry nor a row can be written.
#[tokio::test(flavor = "multi_thread")]
async fn workers_that_start_again_while_the_store_is_away_are_used_again() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;
    submit(&cell, &caller, 0x1000, 6, "400").await;

    cell.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    restart_all(&cell, Restart::after(Duration::from_millis(200))).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    cell.store.set_faults(StoreFaults::default());
    submit(&cell, &caller, 0x1006, 6, "50").await;
    wait(&cell, &caller, 0x1000, 12, "completed").await;

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against a list of another writer that takes a worker's life away: it changes
/// nothing, and the worker counts as silent until it names its life again.
#[tokio::test(flavor = "multi_thread")]
async fn lists_that_name_no_life_change_nothing() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;
    submit(&cell, &caller, 0x1000, 4, "600").await;

    for place in &cell.supervisors {
        place.current().set_omits_incarnation(true);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let starts = cell.log.starts("");
    for place in &cell.supervisors {
        place.current().set_omits_incarnation(false);
    }
    wait(&cell, &caller, 0x1000, 4, "completed").await;

    assert_eq!(cell.log.starts(""), starts);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against a worker that is asked for good at the address of its former life.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_starts_again_elsewhere_is_used_again() {
    let caller = Caller::new();
    let mut cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, 4, "30").await;
    wait(&cell, &caller, 0x100, 4, "completed").await;

    let restart = Restart::after(Duration::from_millis(200));
    cell.move_worker(0, restart).await;
    submit(&cell, &caller, 0x1000, 4, "30").await;
    wait(&cell, &caller, 0x1000, 4, "completed").await;

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an owner that has lost the pool, cannot write, and uses lives that began
/// after its successor had claimed their workers.
#[tokio::test(flavor = "multi_thread")]
async fn a_life_is_not_used_before_its_row_is_written() {
    let caller = Caller::new();
    let cell = with_history(&caller).await;
    submit(&cell, &caller, 0x1000, 6, "300").await;

    cell.store.set_faults(StoreFaults {
        refused_calls: RefusedCalls::Writes,
        ..StoreFaults::default()
    });
    restart_all(&cell, Restart::after(Duration::from_millis(100))).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = cell.log.starts("");
    tokio::time::sleep(Duration::from_millis(800)).await;
    let after = cell.log.starts("");
    cell.store.set_faults(StoreFaults::default());
    wait(&cell, &caller, 0x1000, 6, "completed").await;

    assert_eq!(after, before);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an owner that takes the refusal of a start which reached the next life late
/// for the word of a successor, and gives the pool up.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_the_next_life_refuses_does_not_depose_the_owner() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, 4, "30").await;
    wait(&cell, &caller, 0x100, 4, "completed").await;
    let before = cell.epoch();

    cell.delay_starts(0, Duration::from_millis(900));
    submit(&cell, &caller, 0x1000, 1, "30").await;
    restart_all(&cell, Restart::after(Duration::from_millis(30))).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    cell.delay_starts(0, Duration::ZERO);
    wait(&cell, &caller, 0x1000, 1, "completed").await;

    assert_eq!(cell.epoch(), before);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an acknowledgement for a former life that reaches the next one after a
/// start has, and forgets its end before anyone has heard of it.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledgements_that_reach_the_next_life_forget_no_end() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, HISTORY, "30").await;
    wait(&cell, &caller, 0x100, HISTORY, "completed").await;

    for first in [0x1000, 0x2000, 0x3000] {
        let restarted = cell.restart_before_ack(0);
        tokio::join!(restarted, submit(&cell, &caller, first, 1, "20"));
        submit(&cell, &caller, first + 1, 1, "20").await;
        wait(&cell, &caller, first, 2, "completed").await;
    }

    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an acknowledgement that is sent while a start is on its way, which the
/// next life may carry out first.
#[tokio::test(flavor = "multi_thread")]
async fn no_end_is_acknowledged_while_a_start_is_on_its_way() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    cell.delay_starts(0, Duration::from_millis(60));

    submit(&cell, &caller, 0x100, HISTORY, "30").await;
    wait(&cell, &caller, 0x100, HISTORY, "completed").await;

    assert_eq!(cell.overlapping_acks(0), 0);
    cell.close().await;
}

/// Guards against an acknowledgement that is sent while a start may still be carried out that
/// nobody listens for any more.
#[tokio::test(flavor = "multi_thread")]
async fn no_end_is_acknowledged_while_a_start_without_an_answer_may_come() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, HISTORY, "30").await;
    wait(&cell, &caller, 0x100, HISTORY, "completed").await;
    cell.delay_starts(0, Duration::from_secs(3));
    submit(&cell, &caller, 0x1000, 1, "30").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    cell.delay_starts(0, Duration::ZERO);

    // Its task starts again meanwhile, and others end.
    wait(&cell, &caller, 0x1000, 1, "completed").await;
    submit(&cell, &caller, 0x2000, 2, "30").await;
    wait(&cell, &caller, 0x2000, 2, "completed").await;
    tokio::time::sleep(Duration::from_millis(1200)).await;

    assert_eq!(cell.overlapping_acks(0), 0);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Waits until the worker that is there has seen a higher token than `before`.
async fn wait_claimed(cell: &TestCell, before: u64) {
    let claimed = async {
        while cell.supervisors[0].current().token() <= before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let claimed = tokio::time::timeout(Duration::from_secs(10), claimed).await;
    assert!(claimed.is_ok(), "the next life is not claimed");
}

/// Guards against orders for a former life that the next one obeys after it was claimed.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_life_is_claimed_with_a_higher_token() {
    let cell = TestCell::open_stable_ids(1, 1).await;
    wait_claimed(&cell, 0).await;
    let before = cell.supervisors[0].current().token();

    restart_all(&cell, Restart::after(Duration::from_millis(20))).await;

    wait_claimed(&cell, before).await;
    cell.close().await;
}

/// Guards against a start that got no answer and reaches the next life after that has obeyed a
/// renewal: its task may run elsewhere by then.
#[tokio::test(flavor = "multi_thread")]
async fn orders_after_a_start_without_an_answer_carry_a_higher_token() {
    let caller = Caller::new();
    let cell = TestCell::open_stable_ids(1, 1).await;
    submit(&cell, &caller, 0x100, HISTORY, "30").await;
    wait(&cell, &caller, 0x100, HISTORY, "completed").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = cell.supervisors[0].current().token();

    cell.delay_starts(0, Duration::from_secs(2));
    submit(&cell, &caller, 0x1000, 1, "30").await;
    tokio::time::sleep(Duration::from_millis(1600)).await;
    let raised = cell.supervisors[0].current().token();
    cell.delay_starts(0, Duration::ZERO);
    wait(&cell, &caller, 0x1000, 1, "completed").await;

    assert!(raised > before, "token {raised}, before {before}");
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against a row of the former life, whose write was under way, that lets the next
/// one be used before its own.
#[tokio::test(flavor = "multi_thread")]
async fn the_row_of_a_former_life_lets_no_other_be_used() {
    let cell = TestCell::open_stable_ids(1, 1).await;
    wait_claimed(&cell, 0).await;
    let before = cell.supervisors[0].current().token();
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_millis(1200),
        ..StoreFaults::default()
    });

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
