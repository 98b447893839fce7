//! Failures of owners, workers and the store, with whole processes. The judge
//! is the workers' own log: no task in two places, none again when done.

use std::time::Duration;

use hyper::Method;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::WAIT_LIMIT;
use site::job;

/// Submits `count` jobs of two tasks each; gives their paths.
async fn submit_some(cell: &TestCell, caller: &Caller, count: u32, text: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for nth in 0..count {
        let path = format!("/plain/{:016x}", 0xb000 + nth);
        caller.submit(&cell.servers(), &path, &job(2, text)).await;
        paths.push(path);
    }
    paths
}

async fn wait_completed(cell: &TestCell, caller: &Caller, paths: &[String]) {
    for path in paths {
        caller.wait_state(&cell.servers(), path, "completed").await;
    }
    assert_eq!(cell.log.violations(), Vec::<String>::new());
}

async fn wait_owner(cell: &TestCell, is: impl Fn(Option<usize>) -> bool) -> usize {
    let looks = async {
        while !is(cell.owner()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let found = tokio::time::timeout(WAIT_LIMIT, looks).await;
    assert!(found.is_ok(), "no such owner");
    cell.owner().unwrap_or_default()
}

/// Symptom: jobs were lost or ran twice when the owner died. Sequence: jobs
/// run; the owner is killed; another process claims the workers and adopts
/// what runs there.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_followed_and_its_tasks_are_adopted() {
    let mut cell = TestCell::open(3, 3).await;
    let caller = Caller::new();
    let paths = submit_some(&cell, &caller, 8, "1500").await;
    let owner = wait_owner(&cell, |owner| owner.is_some()).await;

    cell.kill(owner).await;

    wait_owner(&cell, |next| next.is_some_and(|next| next != owner)).await;
    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Symptom: after a take-over, tasks that were done ran again. Sequence: the
/// store is away, so ends are listed but not recorded; the owner is killed;
/// the store returns; the successor claims the workers. Cause: ends that a
/// worker listed before the jobs were read were passed over.
#[tokio::test(flavor = "multi_thread")]
async fn ends_that_were_never_recorded_survive_the_owner() {
    let mut cell = TestCell::open(3, 3).await;
    let caller = Caller::new();
    let paths = submit_some(&cell, &caller, 5, "400").await;
    let owner = wait_owner(&cell, |owner| owner.is_some()).await;
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    cell.store.set_faults(down);
    tokio::time::sleep(Duration::from_millis(800)).await;
    cell.kill(owner).await;

    cell.store.set_faults(StoreFaults::default());

    wait_completed(&cell, &caller, &paths).await;
    for path in &paths {
        let id = path.trim_start_matches("/plain/");
        assert_eq!(cell.log.starts(id), 2, "{path}");
    }
    cell.close().await;
}

/// Symptom: callers waited out the expiry at each planned stop. Sequence: the
/// owner is asked to stop; it gives the pool up; another takes it.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_the_pool_over() {
    let mut cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_some(&cell, &caller, 4, "1000").await;
    let owner = wait_owner(&cell, |owner| owner.is_some()).await;

    cell.stop(owner).await;

    wait_owner(&cell, |next| next.is_some_and(|next| next != owner)).await;
    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_processes_killed_at_once_lose_nothing() {
    let mut cell = TestCell::open(3, 2).await;
    let caller = Caller::new();
    let paths = submit_some(&cell, &caller, 6, "700").await;
    for at in 0..3 {
        cell.kill(at).await;
    }

    for at in 0..3 {
        cell.start(at).await;
    }

    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Symptom: a job ran twice, or was denied though it was accepted. Sequence:
/// the store commits the job and its answer is lost; the caller repeats.
/// Cause ruled out: the row must not exist, so the repetition finds it.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_make_no_second_job() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    submit_some(&cell, &caller, 1, "20").await;
    let lose = StoreFaults {
        lost_replies: 3,
        ..StoreFaults::default()
    };
    cell.store.set_faults(lose);
    let path = "/plain/00000000000000c1";

    caller.submit(&cell.servers(), path, &job(2, "30")).await;

    wait_completed(&cell, &caller, &[path.to_owned()]).await;
    assert_eq!(cell.log.starts("00000000000000c1"), 2);
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_down_refuses_jobs_and_work_goes_on() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_some(&cell, &caller, 3, "500").await;
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    cell.store.set_faults(down);
    let path = "/plain/00000000000000c2";
    let (status, _) = caller
        .send(Method::POST, cell.server(0), path, &job(1, "20"))
        .await;

    cell.store.set_faults(StoreFaults::default());

    assert_eq!(status, 503);
    wait_completed(&cell, &caller, &paths).await;
    assert_eq!(cell.log.starts("00000000000000c2"), 0, "it was refused");
    cell.close().await;
}

/// Symptom: jobs waited for the feed while the store had dropped its history.
/// Sequence: the history is dropped; a job is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_history_loses_no_job() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    submit_some(&cell, &caller, 2, "20").await;
    cell.store.forget();

    let path = "/plain/00000000000000c3";
    caller.submit(&cell.servers(), path, &job(2, "20")).await;

    wait_completed(&cell, &caller, &[path.to_owned()]).await;
    cell.close().await;
}

/// Symptom: tasks of a worker that died with its host never ran again.
/// Sequence: the worker dies silently; the machine list says that its life is
/// over; its tasks start elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_workers_tasks_run_elsewhere() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_some(&cell, &caller, 4, "1500").await;
    caller
        .wait_state(&cell.servers(), &paths[3], "active")
        .await;

    cell.workers[0].die();

    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Symptom: a task ran on two workers. Sequence: a worker is cut off and runs
/// on; its tasks may start elsewhere only after its lease is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_workers_tasks_wait_for_its_lease() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_some(&cell, &caller, 2, "8000").await;
    caller
        .wait_state(&cell.servers(), &paths[1], "active")
        .await;

    cell.workers[0].set_silent(true);

    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Symptom: a start whose answer was lost ran beside its repetition.
#[tokio::test(flavor = "multi_thread")]
async fn starts_without_answer_run_once() {
    let cell = TestCell::open(1, 2).await;
    let caller = Caller::new();
    submit_some(&cell, &caller, 1, "20").await;
    for worker in &cell.workers {
        worker.lose_start_replies(2);
    }
    let path = "/plain/00000000000000c4";

    caller.submit(&cell.servers(), path, &job(4, "900")).await;

    wait_completed(&cell, &caller, &[path.to_owned()]).await;
    cell.close().await;
}

/// Symptom: a task ran on two workers after the owner was cut from the store
/// alone. Sequence: the owner goes on giving orders; another takes over; the
/// old one learns of it from the workers, which refuse its epoch, while jobs
/// come in at all processes.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_from_the_store_alone_is_replaced() {
    let cell = TestCell::open(3, 3).await;
    let caller = Caller::new();
    let mut paths = submit_some(&cell, &caller, 4, "900").await;
    let owner = wait_owner(&cell, |owner| owner.is_some()).await;

    cell.store_proxies[owner].set_cut(true);

    for nth in 0..20 {
        let path = format!("/plain/{:016x}", 0xd000 + nth);
        caller.submit(&cell.servers(), &path, &job(2, "100")).await;
        paths.push(path);
    }
    wait_owner(&cell, |next| next.is_some_and(|next| next != owner)).await;
    cell.store_proxies[owner].set_cut(false);
    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Symptom: callers got no answer while the store was slow, though it accepted
/// their jobs. Sequence: a transaction takes longer than the time after which
/// the process tried again. Cause: the first try was given up, and the second
/// could not end within the caller's time.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_still_accepts_jobs() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    submit_some(&cell, &caller, 1, "20").await;
    let slow = StoreFaults {
        delay: Duration::from_millis(1500),
        ..StoreFaults::default()
    };
    cell.store.set_faults(slow);
    let path = "/plain/00000000000000c5";

    let (status, _) = caller
        .send(Method::POST, cell.server(0), path, &job(1, "20"))
        .await;

    assert_eq!(status, 200);
    cell.close().await;
}

/// Symptom: callers were refused for 0.3 s though the store took every job.
/// Sequence: the store drops its history; feeds hear nothing for a second and
/// are cut; calls are answered all the while. Cause: a process whose feed
/// failed counted the store as silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_hung_feed_refuses_no_job() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    submit_some(&cell, &caller, 1, "20").await;
    let hung = StoreFaults {
        hung_feed: true,
        ..StoreFaults::default()
    };
    cell.store.set_faults(hung);
    let mut statuses = Vec::new();

    // Longer than the feed's own timeout of 1 s.
    for nth in 0..30 {
        let path = format!("/plain/{:016x}", 0xe000 + nth);
        let small = job(1, "20");
        let send = caller.send(Method::POST, cell.server(0), &path, &small);
        statuses.push(send.await.0);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(statuses, vec![200; 30]);
    cell.close().await;
}

/// Symptom: nothing started for seconds in a planned stop. Sequence: the owner is
/// asked to stop while the store is slow; its last write takes as long; from the
/// signal on it starts nothing, and its successor waits for that write. Cause: an
/// owner that stops did nothing but write.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_stops_goes_on_until_the_pool_is_given_up() {
    let mut cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000b9";
    // Six waves of four tasks.
    caller.submit(&cell.servers(), path, &job(24, "250")).await;
    let log = cell.log.clone();
    while log.starts("00000000000000b9") < 4 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let owner = cell.owner().expect("an owner");
    cell.store.set_faults(StoreFaults {
        delay: Duration::from_secs(1),
        ..StoreFaults::default()
    });
    let before = log.starts("00000000000000b9");

    let looks = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        log.starts("00000000000000b9")
    };
    let ((), after) = tokio::join!(cell.stop(owner), looks);

    assert!(after >= before + 4, "{before} starts, then {after}");
    cell.store.set_faults(StoreFaults::default());
    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}
