//! Failures of owners, workers and the store, with whole processes. According to the workers' log
//! of their runs, no task may run on two workers at a time or again after it was done; either is
//! a violation.

use std::time::Duration;

use hyper::Method;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::WAIT_LIMIT;
use site::job;

/// Submits `count` jobs of two tasks each; returns their paths. `payload` is the run time of a task
/// in milliseconds.
async fn submit_jobs(cell: &TestCell, caller: &Caller, count: u32, payload: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for nth in 0..count {
        let path = format!("/plain/{:016x}", 0xb000 + nth);
        caller
            .submit(&cell.servers(), &path, &job(2, payload))
            .await;
        paths.push(path);
    }
    paths
}

/// Waits until the jobs are completed; asserts that there were no violations.
async fn wait_completed(cell: &TestCell, caller: &Caller, paths: &[String]) {
    for path in paths {
        caller.wait_state(&cell.servers(), path, "completed").await;
    }
    assert_eq!(cell.log.violations(), Vec::<String>::new());
}

/// Waits until the stored owner satisfies `accepts`; returns its index, or 0 if there is none.
async fn wait_owner(cell: &TestCell, accepts: impl Fn(Option<usize>) -> bool) -> usize {
    let polling = async {
        while !accepts(cell.owner()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let found = tokio::time::timeout(WAIT_LIMIT, polling).await;
    assert!(found.is_ok(), "the expected owner never appeared");
    cell.owner().unwrap_or_default()
}

/// Guards against jobs that are lost or run twice when the owner dies. The owner is killed
/// while tasks run; another process has to claim the workers and adopt their runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_adopts_the_tasks_of_a_killed_owner() {
    let mut cell = TestCell::open(3, 3).await;
    let caller = Caller::new();
    let paths = submit_jobs(&cell, &caller, 8, "1500").await;
    let owner = wait_owner(&cell, |owner| owner.is_some()).await;

    cell.kill(owner).await;

    wait_owner(&cell, |next| next.is_some_and(|next| next != owner)).await;
    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Guards against done tasks that run again after a take-over. The store is down, so the owner
/// receives ends that it cannot store; it is killed, the store recovers and the successor claims
/// the workers, which report these ends again. The successor ignored those that it received
/// before it had read the jobs.
#[tokio::test(flavor = "multi_thread")]
async fn ends_that_were_not_stored_survive_a_killed_owner() {
    let mut cell = TestCell::open(3, 3).await;
    let caller = Caller::new();
    let paths = submit_jobs(&cell, &caller, 5, "400").await;
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

/// Guards against a pool without an owner until the ownership expires, at each planned stop. An
/// owner that is asked to stop has to release the pool, so that another process takes it at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_releases_the_pool() {
    let mut cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_jobs(&cell, &caller, 4, "1000").await;
    let owner = wait_owner(&cell, |owner| owner.is_some()).await;

    cell.stop(owner).await;

    wait_owner(&cell, |next| next.is_some_and(|next| next != owner)).await;
    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_lost_when_all_processes_are_killed() {
    let mut cell = TestCell::open(3, 2).await;
    let caller = Caller::new();
    let paths = submit_jobs(&cell, &caller, 6, "700").await;
    for at in 0..3 {
        cell.kill(at).await;
    }

    for at in 0..3 {
        cell.start(at).await;
    }

    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Guards against a job that runs twice, or is rejected although it was accepted. The store
/// commits the job's row, its reply is lost and the write is repeated. The write requires that
/// the row does not exist, so the repetition finds it and creates no second job.
#[tokio::test(flavor = "multi_thread")]
async fn lost_replies_of_the_store_create_no_second_job() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    submit_jobs(&cell, &caller, 1, "20").await;
    let lost_replies = StoreFaults {
        // The next three transactions are carried out and get no reply.
        lost_replies: 3,
        ..StoreFaults::default()
    };
    cell.store.set_faults(lost_replies);
    let path = "/plain/00000000000000c1";

    caller.submit(&cell.servers(), path, &job(2, "30")).await;

    wait_completed(&cell, &caller, &[path.to_owned()]).await;
    assert_eq!(cell.log.starts("00000000000000c1"), 2);
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_refused_and_tasks_continue_while_the_store_is_down() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_jobs(&cell, &caller, 3, "500").await;
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
    assert_eq!(
        cell.log.starts("00000000000000c2"),
        0,
        "the job was refused"
    );
    cell.close().await;
}

/// Guards against a job that never starts because the owner waits for it in the change feed. The
/// store has dropped the history that the feed reads from, so the owner has to read all rows.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_lost_when_the_store_drops_its_history() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    submit_jobs(&cell, &caller, 2, "20").await;
    cell.store.drop_history();

    let path = "/plain/00000000000000c3";
    caller.submit(&cell.servers(), path, &job(2, "20")).await;

    wait_completed(&cell, &caller, &[path.to_owned()]).await;
    cell.close().await;
}

/// Guards against tasks that never run again after their worker has died with its host. The
/// worker reports nothing before it dies; only the list of machines shows that its incarnation
/// has ended, and its tasks have to start elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_dead_worker_run_elsewhere() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_jobs(&cell, &caller, 4, "1500").await;
    caller
        .wait_state(&cell.servers(), &paths[3], "active")
        .await;

    cell.workers[0].die();

    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Guards against a task that runs on two workers at a time. A worker answers no call, but its
/// tasks keep running; they may start elsewhere only after the worker's lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_cut_off_worker_wait_for_the_expiry_of_its_lease() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let paths = submit_jobs(&cell, &caller, 2, "8000").await;
    caller
        .wait_state(&cell.servers(), &paths[1], "active")
        .await;

    cell.workers[0].set_silent(true);

    wait_completed(&cell, &caller, &paths).await;
    cell.close().await;
}

/// Guards against a task that is started twice: the reply to its start command is lost and the
/// owner repeats the command.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_starts_run_once() {
    let cell = TestCell::open(1, 2).await;
    let caller = Caller::new();
    submit_jobs(&cell, &caller, 1, "20").await;
    for worker in &cell.workers {
        // Each worker carries out the next two start commands without a reply.
        worker.lose_start_replies(2);
    }
    let path = "/plain/00000000000000c4";

    caller.submit(&cell.servers(), path, &job(4, "900")).await;

    wait_completed(&cell, &caller, &[path.to_owned()]).await;
    cell.close().await;
}

/// Guards against a task that runs on two workers at a time after the owner was cut off from the
/// store, but not from the workers. The owner keeps sending commands while another process takes
/// the pool, until the workers refuse commands of its epoch. Meanwhile jobs arrive at all
/// processes.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_off_from_the_store_only_is_replaced() {
    let cell = TestCell::open(3, 3).await;
    let caller = Caller::new();
    let mut paths = submit_jobs(&cell, &caller, 4, "900").await;
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

/// Guards against callers that get no reply while the store is slow, although it stores their
/// jobs. A transaction takes 1.5 s, longer than the time after which the process tries again.
/// The process abandoned the first attempt, and the second could not end within the caller's
/// timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_still_accepts_jobs() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    submit_jobs(&cell, &caller, 1, "20").await;
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

/// Guards against refusing callers for 0.3 s although the store accepts every job. The store
/// leaves the calls of the change feed unanswered, so they time out after a second, and answers
/// all other calls. A process whose feed call had failed took the store for unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn a_hung_feed_refuses_no_job() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    submit_jobs(&cell, &caller, 1, "20").await;
    let hung = StoreFaults {
        hung_feed: true,
        ..StoreFaults::default()
    };
    cell.store.set_faults(hung);
    let mut statuses = Vec::new();

    // The loop takes longer than the timeout of a feed call, 1 s.
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

/// Guards against a planned stop during which no task starts for seconds. The owner is asked to
/// stop while the store is slow, so its last write, which releases the pool, takes a second, and
/// no successor can take the pool before. Once asked to stop, the owner started no more tasks.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_stops_starts_tasks_until_it_has_released_the_pool() {
    let mut cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000b9";
    // The worker has four cores, so the tasks run in six batches of four.
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

    let polling = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        log.starts("00000000000000b9")
    };
    let ((), after) = tokio::join!(cell.stop(owner), polling);

    assert!(after >= before + 4, "{before} starts, then {after}");
    cell.store.set_faults(StoreFaults::default());
    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}
