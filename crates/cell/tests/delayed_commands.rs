//! Workers leave orders unanswered and carry them out seconds later, after the
//! job was cancelled, or after another process has taken the pool. The judge is
//! the workers' own log: no task of a cancelled job runs on.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::DelayPlan;
use site::RunSpan;
use site::TestCell;
use site::WAIT_LIMIT;
use site::job;

const JOB: &str = "00000000000000f1";

/// A task that is at work until it is stopped.
const LONG: &str = "30000";

/// Time until a late order is carried out.
const DELAY: Duration = Duration::from_millis(2200);

/// Time within which a task is gone once an owner can see it: a renewal that
/// gets no answer lasts 0.5 s, and so does a stop.
const SEEN: Duration = Duration::from_millis(1500);

/// Time after its late start within which a task of a cancelled job has to be
/// gone, whatever share of the orders gets no answer: 3 s for a machine to
/// count as in touch, 3 s for the cancel and 0.2 s for the stop.
const GONE: Duration = Duration::from_millis(6200);

/// All orders of some kinds are carried out late.
fn late(starts: bool, stops: bool, renewals: bool) -> DelayPlan {
    let share = |late: bool| if late { 1.0 } else { 0.0 };
    DelayPlan {
        starts: share(starts),
        stops: share(stops),
        renewals: share(renewals),
        min_delay: DELAY,
        max_delay: DELAY,
    }
}

fn set_delay_plan(cell: &TestCell, plan: DelayPlan) {
    for worker in &cell.workers {
        worker.set_delay_plan(plan);
    }
}

fn path(id: &str) -> String {
    format!("/plain/{id}")
}

/// Waits until something is so.
async fn wait_for(what: &str, is: impl Fn() -> bool) {
    let looks = async {
        while !is() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let come = tokio::time::timeout(WAIT_LIMIT, looks).await;
    assert!(come.is_ok(), "{what}");
}

/// Whether workers name their lives.
#[derive(Clone, Copy, Debug)]
enum Lives {
    Named,
    Unreported,
}

/// Opens a cell whose owner knows its workers, which name their lives.
async fn open(processes: usize, workers: usize) -> (TestCell, Caller) {
    open_with(processes, workers, Lives::Named).await
}

async fn open_with(processes: usize, workers: usize, lives: Lives) -> (TestCell, Caller) {
    let cell = match lives {
        Lives::Named => TestCell::open(processes, workers).await,
        Lives::Unreported => TestCell::open_without_incarnations(processes, workers).await,
    };
    let caller = Caller::new();
    let first = path("00000000000000f0");
    caller.submit(&cell.servers(), &first, &job(4, "20")).await;
    caller
        .wait_state(&cell.servers(), &first, "completed")
        .await;
    (cell, caller)
}

/// Hands in the job while starts get no answer, and waits for one of those.
async fn start_late(cell: &TestCell, caller: &Caller, plan: DelayPlan) {
    set_delay_plan(cell, plan);
    let one = job(1, LONG);
    caller.submit(&cell.servers(), &path(JOB), &one).await;
    let waits = || {
        cell.workers
            .iter()
            .any(|worker| worker.delayed_starts() > 0)
    };
    wait_for("no start was sent", waits).await;
}

/// Cancels a job; any process may take the cancel.
async fn cancel(cell: &TestCell, caller: &Caller, id: &str) {
    let servers = cell.servers();
    let path = path(id);
    let tries = async {
        for server in servers.iter().cycle() {
            let sent = caller.send(Method::DELETE, *server, &path, &Value::Null);
            if sent.await.0 == 200 {
                return;
            }
        }
    };
    let taken = tokio::time::timeout(WAIT_LIMIT, tries).await;
    assert!(taken.is_ok(), "{id} cannot be cancelled");
}

/// Waits until no late start is left and no run of the job is at work; gives
/// its runs.
async fn wait_gone(cell: &TestCell, id: &str) -> Vec<RunSpan> {
    let over = || {
        let waits = cell
            .workers
            .iter()
            .any(|worker| worker.delayed_starts() > 0);
        let spans = cell.log.spans(id);
        !waits && spans.iter().all(|span| span.end.is_some())
    };
    wait_for("a task runs on", over).await;
    cell.log.spans(id)
}

/// The runs were stopped within `bound` of `from` or, if that was later, of
/// their begin.
fn assert_stopped(spans: &[RunSpan], from: Instant, bound: Duration) {
    for span in spans {
        let Some((end, how)) = &span.end else {
            panic!("{span:?} runs on");
        };
        assert_eq!(how, "stopped", "{span:?}");
        let took = end.saturating_duration_since(span.begin.max(from));
        assert!(took <= bound, "{span:?} ran on for {took:?}");
    }
}

async fn wait_successor(cell: &TestCell, owner: usize) {
    let other = || cell.owner().is_some_and(|next| next != owner);
    wait_for("nobody takes the pool", other).await;
}

/// Symptom feared: a task of a cancelled job begins seconds later and runs on.
/// Sequence: its start gets no answer; the job is cancelled; the stop reaches
/// the worker first, which then refuses the start.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_that_comes_before_the_late_start_keeps_it_from_starting() {
    let (cell, caller) = open_with(2, 2, Lives::Unreported).await;
    start_late(&cell, &caller, late(true, false, false)).await;

    cancel(&cell, &caller, JOB).await;

    assert_eq!(wait_gone(&cell, JOB).await.len(), 0, "it never began");
    cell.close().await;
}

/// A start that gets no answer is carried out after the cancel of its job; the stop that is
/// answered then ends it.
async fn late_start_is_stopped(lives: Lives, plan: DelayPlan) {
    let (cell, caller) = open_with(2, 2, lives).await;
    start_late(&cell, &caller, plan).await;
    cancel(&cell, &caller, JOB).await;
    wait_for("no late start", || cell.log.starts(JOB) > 0).await;

    set_delay_plan(&cell, DelayPlan::default());

    let spans = wait_gone(&cell, JOB).await;
    assert_stopped(&spans, Instant::now(), SEEN);
    let took = spans[0].end.as_ref().map(|(end, _)| *end - spans[0].begin);
    assert!(took.is_some_and(|took| took <= SEEN), "{spans:?}");
    cell.close().await;
}

/// Guards against a late start that runs on since stops come late, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_start_is_stopped_though_stops_come_late_too() {
    late_start_is_stopped(Lives::Unreported, late(true, true, false)).await;
}

/// Guards against a late start that begins at a worker which names its lives, though that has
/// obeyed a renewal since the start was given up.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_start_does_not_begin_after_a_later_renewal() {
    let (cell, caller) = open(2, 2).await;
    start_late(&cell, &caller, late(true, true, false)).await;

    cancel(&cell, &caller, JOB).await;

    assert_eq!(wait_gone(&cell, JOB).await.len(), 0, "it never began");
    cell.close().await;
}

/// Guards against the same where no renewal has overtaken the start, which begins then.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_start_that_no_renewal_has_overtaken_is_stopped() {
    late_start_is_stopped(Lives::Named, late(true, true, true)).await;
}

/// What a successor has of the workers besides their answers.
#[derive(Clone, Copy, Debug)]
enum Known {
    /// Registration, and row of a worker in use.
    Both,
    /// The registrations have vanished.
    Rows,
    /// The rows of workers in use are gone.
    Registrations,
}

/// The owner sends a start that gets no answer and is killed; its successor
/// gets no answer to its first renewals either, so the start is carried out;
/// the job is cancelled meanwhile. Once renewals are answered, the task goes.
async fn late_start_of_a_killed_owner(known: Known) {
    let (mut cell, caller) = open(2, 2).await;
    let owner = cell.owner().expect("an owner");
    start_late(&cell, &caller, late(true, false, true)).await;
    for at in 0..cell.workers.len() {
        match known {
            Known::Both => {}
            Known::Rows => cell.unregister(at),
            Known::Registrations => {
                let id = &cell.workers[at].id;
                cell.store
                    .remove_from(cell::USED_WORKER_TABLE, cell::OWNER_PART, id);
            }
        }
    }
    cell.kill(owner).await;
    wait_successor(&cell, owner).await;
    cancel(&cell, &caller, JOB).await;
    wait_for("no late start", || cell.log.starts(JOB) > 0).await;
    let answered = Instant::now();

    set_delay_plan(&cell, DelayPlan::default());

    let spans = wait_gone(&cell, JOB).await;
    assert_eq!(spans.len(), 1, "{known:?}");
    assert_stopped(&spans, answered, SEEN);
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owners_late_start_is_stopped_by_its_successor() {
    late_start_of_a_killed_owner(Known::Both).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_successor_finds_workers_whose_registration_has_vanished() {
    late_start_of_a_killed_owner(Known::Rows).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_successor_finds_registered_workers_without_a_row() {
    late_start_of_a_killed_owner(Known::Registrations).await;
}

/// Half of all orders get no answer and are carried out later, half of the jobs
/// are cancelled, and the owner is killed meanwhile: the tasks of cancelled
/// jobs go in time, those of the others run once.
async fn half_of_the_orders_come_late(lives: Lives) {
    let (mut cell, caller) = open_with(3, 3, lives).await;
    let half = DelayPlan {
        starts: 0.5,
        stops: 0.5,
        renewals: 0.5,
        min_delay: Duration::from_secs(2),
        max_delay: Duration::from_secs(5),
    };
    set_delay_plan(&cell, half);
    let ids = |from: u64| (0..8).map(move |nth| format!("{:016x}", from + nth));
    let mut canceled = Vec::new();
    for (gone, kept) in ids(0xf100).zip(ids(0xf200)) {
        let servers = cell.servers();
        caller.submit(&servers, &path(&gone), &job(1, LONG)).await;
        caller.submit(&servers, &path(&kept), &job(1, "300")).await;
        cancel(&cell, &caller, &gone).await;
        canceled.push((gone, Instant::now()));
    }
    let owner = cell.owner().expect("an owner");
    cell.kill(owner).await;
    wait_successor(&cell, owner).await;

    for (id, at) in canceled {
        for span in wait_gone(&cell, &id).await {
            let (end, how) = span.end.expect("it has ended");
            let took = end.saturating_duration_since(span.begin.max(at));
            assert!(took <= GONE, "{id}: {how} after {took:?}");
        }
    }

    set_delay_plan(&cell, DelayPlan::default());
    for id in ids(0xf200) {
        caller
            .wait_state(&cell.servers(), &path(&id), "completed")
            .await;
    }
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn half_of_the_orders_may_come_late() {
    half_of_the_orders_come_late(Lives::Named).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn half_of_the_orders_may_come_late_at_workers_that_name_no_life() {
    half_of_the_orders_come_late(Lives::Unreported).await;
}

/// Answers that were ready came up to 1.7 s late, after their callers' objective:
/// a call that waits for ends at a worker was left unanswered, and no other was
/// made until it was given up.
#[tokio::test(flavor = "multi_thread")]
async fn an_unanswered_call_hides_an_end_for_a_moment_only() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = path(JOB);
    let first = "/plain/00000000000000f0";
    caller.submit(&cell.servers(), first, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), first, "completed").await;
    let never = Duration::from_mins(1);
    let renewals = DelayPlan {
        renewals: 1.0,
        min_delay: never,
        max_delay: never,
        ..DelayPlan::default()
    };
    set_delay_plan(&cell, renewals);
    wait_for("no call", || cell.workers[0].delayed_renewals() == 1).await;
    set_delay_plan(&cell, DelayPlan::default());
    let begun = Instant::now();

    caller.submit(&cell.servers(), &path, &job(1, "100")).await;
    caller.wait_state(&cell.servers(), &path, "completed").await;

    let took = begun.elapsed();
    assert!(took < Duration::from_millis(1200), "{took:?}");
    cell.close().await;
}
