//! Entries of another writer in the lists that processes follow: nested too deeply, with numbers that are
//! too large, with ports out of range, and bytes that are no text. None of them ends or stops a reader,
//! hides a sound entry, or is logged more than once.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use job::Progress;
use job::StepProgress;
use platform::Row;
use platform::RowName;
use serde_json::json;
use site::Caller;
use site::TestCell;
use site::config;
use site::job;
use site::nested_json;
use site::odd_registrations;
use site::registration;

/// Time after which a process has read a row several times.
const READ_TIME: Duration = Duration::from_millis(1200);

/// Opens a cell of two processes and two workers, and completes one job.
async fn open() -> (TestCell, Caller) {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    complete(&cell, &caller, 0x200).await;
    (cell, caller)
}

async fn complete(cell: &TestCell, caller: &Caller, id: u64) {
    let path = format!("/plain/{id:016x}");
    caller.submit(&cell.servers(), &path, &job(2, "20")).await;
    caller.wait_state(&cell.servers(), &path, "completed").await;
}

/// Returns the counter of unreadable rows of a table, added up over all processes.
async fn unreadable(cell: &TestCell, caller: &Caller, table: &str) -> u64 {
    let mut sum = 0;
    for process in 0..cell.servers().len() {
        let text = caller.text(cell.metrics(process), "/metrics").await;
        let name = format!("clovermount_unreadable_rows_total{{table=\"{table}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&name));
        sum += line.map_or(0, |value| value.parse::<u64>().unwrap_or(0));
    }
    sum
}

/// Guards against an odd entry that is taken for a worker.
#[test]
fn odd_registrations_name_no_worker() {
    for value in odd_registrations() {
        let row = Row {
            name: RowName::new(platform::WORKER_TABLE, "", "w1"),
            value,
            version: 1,
            removed: false,
        };

        let worker = platform::decode_worker(&row);

        let start = &row.value[..row.value.len().min(200)];
        assert_eq!(worker, None, "{}", String::from_utf8_lossy(start));
    }
}

/// Guards against an odd registration that ends or stops the owner, or hides those of sound workers,
/// also from the next owner.
#[tokio::test(flavor = "multi_thread")]
async fn odd_registrations_stop_no_owner() {
    let (mut cell, caller) = open().await;
    let odd = odd_registrations();
    for (nth, value) in odd.iter().enumerate() {
        // Before, between and after the keys of the workers.
        for prefix in ["a", "w0", "z"] {
            let key = format!("{prefix}-odd-{nth}");
            cell.store
                .write_row(platform::WORKER_TABLE, "", &key, value);
        }
    }
    tokio::time::sleep(READ_TIME).await;
    // Each entry is read again and again.
    cell.store.drop_history();
    tokio::time::sleep(READ_TIME).await;

    complete(&cell, &caller, 0x201).await;
    let logged = unreadable(&cell, &caller, platform::WORKER_TABLE).await;
    let owner = cell.owner().expect("an owner");
    cell.kill(owner).await;
    cell.wait_owner(|next| next != owner).await;
    let other = [cell.server(1 - owner)];
    let path = "/plain/0000000000000202";
    caller.submit(&other, path, &job(2, "20")).await;

    caller.wait_state(&other, path, "completed").await;
    assert_eq!(logged, 3 * odd.len() as u64, "each is logged once");
    cell.close().await;
}

/// Guards against registrations whose capacities, added up, overflow.
#[tokio::test(flavor = "multi_thread")]
async fn large_registrations_stop_no_owner() {
    let (cell, caller) = open().await;
    for nth in 0..8 {
        let mut entry = registration("127.0.0.1:9".parse().expect("address"), 9);
        entry["capacity"] = json!({"cpu": job::MAX_AMOUNT, "mem_mb": job::MAX_AMOUNT});
        let key = format!("large-{nth}");
        cell.store.write(platform::WORKER_TABLE, &key, &entry);
    }
    tokio::time::sleep(READ_TIME).await;

    complete(&cell, &caller, 0x203).await;

    cell.close().await;
}

/// Guards against an odd row of a job that ends or stops the owner, or hides sound jobs, also from the
/// next owner; and against one that is logged with each read.
#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_of_jobs_stop_no_owner() {
    let (mut cell, caller) = open().await;
    let sound = cell
        .store
        .raw("jobs", &cell::job_row(0x200).part, "0000000000000200");
    let values = [
        nested_json().into_bytes(),
        vec![0xff; 40],
        vec![0xff, 0xfe],
        Vec::new(),
        sound.expect("row").iter().map(|byte| byte | 0x80).collect(),
    ];
    for (nth, value) in values.iter().enumerate() {
        let row = cell::job_row(0x210 + nth as u64);
        cell.store.write_row(&row.table, &row.part, &row.key, value);
        cell.store.write_row(&row.table, &row.part, "no id", value);
        cell.store
            .write_row(&row.table, "odd part", &format!("\u{fe}{nth}"), value);
        let progress = cell::progress_row(0x210 + nth as u64);
        cell.store
            .write_row(&progress.table, &progress.part, &progress.key, value);
        cell.store.write_row(
            &progress.table,
            &progress.part,
            &format!("odd {nth}"),
            value,
        );
        cell.store.write_row(
            "early_cancels",
            cell::OWNER_PART,
            &format!("odd {nth}"),
            value,
        );
        cell.store
            .write_row(cell::LEARNT_TABLE, cell::OWNER_PART, "owner", value);
    }
    tokio::time::sleep(READ_TIME).await;
    cell.store.drop_history();
    tokio::time::sleep(READ_TIME).await;

    complete(&cell, &caller, 0x220).await;
    let before = unreadable(&cell, &caller, cell::JOB_TABLE).await;
    cell.store.drop_history();
    tokio::time::sleep(READ_TIME).await;
    let after = unreadable(&cell, &caller, cell::JOB_TABLE).await;
    let owner = cell.owner().expect("an owner");
    cell.kill(owner).await;
    cell.wait_owner(|next| next != owner).await;
    let other = [cell.server(1 - owner)];
    let path = "/plain/0000000000000221";
    caller.submit(&other, path, &job(2, "20")).await;

    caller.wait_state(&other, path, "completed").await;
    assert_eq!(before, after, "logged once");
    cell.close().await;
}

/// Guards against a stored job or its progress with a number that overflows a sum, which ended the task
/// of each owner in turn.
#[tokio::test(flavor = "multi_thread")]
async fn stored_numbers_that_overflow_stop_no_owner() {
    let (mut cell, caller) = open().await;
    let row = cell::job_row(0x200);
    let stored = cell.store.raw(&row.table, &row.part, &row.key);
    let sound = cell::decode_job_row(&stored.expect("row")).expect("job");
    let mut huge = sound.clone();
    huge.queue.slack = Duration::MAX;
    huge.queue.stretch = f64::MAX;
    huge.received = Duration::MAX;
    for step in &mut huge.steps {
        step.estimate = Duration::MAX;
        step.need.cpu = u64::MAX;
    }
    let mut repeated = sound.clone();
    repeated.schedule = Some(job::Schedule {
        rounds: u32::MAX,
        first: Duration::MAX,
        interval: Duration::MAX,
    });
    for (id, spec) in [(0x230, &huge), (0x231, &repeated)] {
        let row = cell::job_row(id);
        let value = cell::encode_row(spec);
        cell.store
            .write_row(&row.table, &row.part, &row.key, &value);
        let progress = Progress {
            steps: [((u32::MAX, u32::MAX), StepProgress::default())].into(),
            ..Progress::default()
        };
        let row = cell::progress_row(id);
        let value = cell::encode_row(&progress);
        cell.store
            .write_row(&row.table, &row.part, &row.key, &value);
    }
    tokio::time::sleep(READ_TIME).await;

    complete(&cell, &caller, 0x232).await;
    let owner = cell.owner().expect("an owner");
    cell.kill(owner).await;
    cell.wait_owner(|next| next != owner).await;
    let other = [cell.server(1 - owner)];
    let path = "/plain/0000000000000233";
    caller.submit(&other, path, &job(2, "20")).await;

    caller.wait_state(&other, path, "completed").await;
    cell.close().await;
}

/// Guards against a submitted job with a number that overflows a sum, which ended the task of each owner
/// in turn.
#[tokio::test(flavor = "multi_thread")]
async fn submitted_numbers_that_overflow_stop_no_owner() {
    let (cell, caller) = open().await;
    let numbers = [
        ("estimate_ms", json!(1.8e22)),
        ("cpu", json!(u64::MAX)),
        ("mem_mb", json!(u64::MAX)),
        ("gpu", json!(u64::MAX)),
    ];
    for (nth, (field, number)) in numbers.iter().enumerate() {
        let mut body = job(2, "20");
        body["steps"][0][field] = number.clone();
        let path = format!("/plain/{:016x}", 0x240 + nth);
        caller.submit(&cell.servers(), &path, &body).await;
    }
    let mut body = job(2, "20");
    body["repeat_count"] = json!(1000);
    body["interval_ms"] = json!(1.8e22);
    body["start_at_ms"] = json!(1.8e22);
    caller
        .submit(&cell.servers(), "/plain/0000000000000250", &body)
        .await;
    tokio::time::sleep(READ_TIME).await;

    complete(&cell, &caller, 0x251).await;

    cell.close().await;
}

/// Guards against an odd entry of the configuration that hides the sound ones, and against the reply 404
/// for a queue that is configured and cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_of_the_configuration_hides_no_sound_one() {
    let (cell, caller) = open().await;
    let mut newer = config(2);
    let routes = newer["routes"].as_array_mut().expect("routes");
    let mut added = routes[0].clone();
    added["name"] = json!("added");
    added["prefix"] = json!("/added/");
    routes.insert(0, json!({"name": "odd", "host": 5}));
    routes.push(json!("REPLACED"));
    routes.push(added);
    let text = newer.to_string().replace("\"REPLACED\"", &nested_json());
    cell.store.write_row("op", "", "config", text.as_bytes());
    cell.store.write_row("op", "", "wave", &[0xff, 0xfe]);
    cell.store
        .write_row("op", "", "wave/1", nested_json().as_bytes());
    tokio::time::sleep(READ_TIME).await;

    let path = "/added/0000000000000260";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    let unknown = "/unknown/0000000000000260";
    let body = job(1, "20");
    let send = caller.send(Method::POST, cell.server(0), unknown, &body);
    let (status, _) = send.await;

    assert_eq!(status, 503, "the queue may be the one that cannot be read");
    cell.close().await;
}

/// Guards against an odd entry in the list of machines that hides the others: the tasks of a worker that
/// has ended then waited for the expiry of its lease, 4.5 s.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_machine_does_not_hide_that_a_worker_has_ended() {
    let (cell, caller) = open().await;
    let nested = nested_json();
    let entry = format!(r#"{{"machine":"m9","state":"up","id":"w9","capacity":{nested}}}"#);
    cell.advice.add_odd_machine(&entry);
    let entry = r#"{"machine":"m8","state":"down","capacity":{"cpu":1e999}}"#;
    cell.advice.add_odd_machine(entry);
    let path = "/plain/0000000000000270";
    caller
        .submit(&cell.servers(), path, &job(1, "300000"))
        .await;
    caller.wait_state(&cell.servers(), path, "active").await;
    let mut workers = cell.workers.iter();
    let worker = workers.find(|worker| worker.running() > 0);

    let died = Instant::now();
    worker.expect("a worker with the task").die();
    let restarted = async {
        while cell.log.starts("0000000000000270") < 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let restarted = tokio::time::timeout(Duration::from_secs(30), restarted).await;

    let elapsed = died.elapsed();
    assert!(restarted.is_ok(), "the task starts again");
    assert!(elapsed < Duration::from_secs(3), "after {elapsed:?}");
    cell.close().await;
}
