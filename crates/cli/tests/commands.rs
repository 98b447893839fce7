//! Runs the commands of callers and operators against an embedded cell.

use std::path::PathBuf;
use std::process::Output;
use std::time::Duration;

use daemon::Process;
use fake::CALLER_TOKEN;
use fake::Cell;
use fake::CellPlan;
use fake::OPERATOR_TOKEN;
use tokio::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_clovermount");

async fn open_cell() -> (Cell, Vec<Process>) {
    let plan = CellPlan {
        processes: 2,
        ..CellPlan::default()
    };
    let cell = Cell::open(plan).await.expect("cell");
    let mut processes = Vec::new();
    for member in &cell.members {
        processes.push(Process::open(&member.settings).await.expect("process"));
    }
    while cell.configure().await.is_err() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cell.wait_ready_through(&cell.members, Duration::from_secs(30))
        .await
        .expect("cell ready");
    (cell, processes)
}

async fn run(cell: &Cell, token: &str, arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .env("CLOVERMOUNT_SERVER", cell.http(0).to_string())
        .env("CLOVERMOUNT_TOKEN", token)
        .output()
        .await
        .expect("clovermount runs")
}

fn text(output: &Output) -> String {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_submits_queries_and_cancels() {
    let (cell, _processes) = open_cell().await;

    let submitted = ["submit", "--id", "a", "--idempotent", "--run-millis", "5"];
    let submitted = run(&cell, CALLER_TOKEN, &submitted).await;
    let queried = run(&cell, CALLER_TOKEN, &["status", "a"]).await;
    let unknown = run(&cell, CALLER_TOKEN, &["status", "nobody"]).await;
    let malformed = run(
        &cell,
        CALLER_TOKEN,
        &["submit", "--id", "b", "--members", "3"],
    )
    .await;
    let detached = [
        "submit", "--id", "c", "--class", "batch", "--label", "day", "--detach",
    ];
    let detached = run(&cell, CALLER_TOKEN, &detached).await;
    let cancelled = run(&cell, CALLER_TOKEN, &["cancel", "--label", "day"]).await;

    assert_eq!(submitted.status.code(), Some(0), "{}", text(&submitted));
    assert!(
        text(&submitted).starts_with("100 ok (succeeded)"),
        "{}",
        text(&submitted)
    );
    assert_eq!(text(&queried), text(&submitted));
    assert_eq!(unknown.status.code(), Some(3), "{}", text(&unknown));
    assert_eq!(malformed.status.code(), Some(11), "{}", text(&malformed));
    assert!(
        text(&malformed).contains("members: found 3, allowed"),
        "{}",
        text(&malformed)
    );
    assert_eq!(detached.status.code(), Some(0), "{}", text(&detached));
    assert_eq!(text(&cancelled), "1 cancelled or asked to stop\n");
    cell.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_patches_drains_and_inspects() {
    let (cell, _processes) = open_cell().await;
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("patch.json");
    std::fs::write(&file, r#"{"pack_percent": 40}"#).expect("file");
    let file = file.to_string_lossy().into_owned();
    let patch = ["config", "patch", "--version", "1", "--id", "p", &file];

    let denied = run(&cell, CALLER_TOKEN, &patch).await;
    let accepted = run(&cell, OPERATOR_TOKEN, &patch).await;
    let stale = ["config", "patch", "--version", "1", "--id", "q", &file];
    let stale = run(&cell, OPERATOR_TOKEN, &stale).await;
    let drained = run(&cell, OPERATOR_TOKEN, &["drain", "w0003"]).await;
    let shown = run(&cell, OPERATOR_TOKEN, &["config", "get"]).await;
    let history = run(&cell, OPERATOR_TOKEN, &["config", "history"]).await;
    let hosts = run(&cell, OPERATOR_TOKEN, &["hosts"]).await;
    let members = run(&cell, OPERATOR_TOKEN, &["cell"]).await;
    let timeline = run(&cell, OPERATOR_TOKEN, &["timeline", "--shard", "0"]).await;
    let wrong_token = run(&cell, "guess", &["hosts"]).await;

    assert_eq!(denied.status.code(), Some(3), "{}", text(&denied));
    assert!(text(&accepted).contains("version 2"), "{}", text(&accepted));
    assert!(
        text(&stale).contains("version 2 is current"),
        "{}",
        text(&stale)
    );
    assert!(text(&drained).contains("version 3"), "{}", text(&drained));
    assert!(
        text(&shown).contains(r#""drained":["w0003"]"#),
        "{}",
        text(&shown)
    );
    assert!(
        text(&history).contains(r#""patch_id":"p""#),
        "{}",
        text(&history)
    );
    assert_eq!(text(&hosts).lines().count(), 48);
    assert!(text(&members).contains("entry-1"), "{}", text(&members));
    assert!(
        text(&timeline).contains("shard_serving"),
        "{}",
        text(&timeline)
    );
    assert_eq!(wrong_token.status.code(), Some(3), "{}", text(&wrong_token));
    cell.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn replay_checks_the_expectations_of_a_trace() {
    let (cell, _processes) = open_cell().await;
    let traces = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let file = traces.join("counter-rush-short.ndjson");
    let file = file.to_string_lossy().into_owned();

    let replayed = run(&cell, OPERATOR_TOKEN, &["replay", &file]).await;

    assert_eq!(replayed.status.code(), Some(0), "{}", text(&replayed));
    assert!(
        text(&replayed).contains("holds: interactive"),
        "{}",
        text(&replayed)
    );
    cell.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn replay_reports_the_line_of_an_invalid_step() {
    let (cell, _processes) = open_cell().await;
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("bad.ndjson");
    let trace = "{\"format\":1,\"name\":\"x\",\"expect\":[]}\n{\"at\":0,\"act\":{\"dance\":1}}\n";
    std::fs::write(&file, trace).expect("file");
    let file = file.to_string_lossy().into_owned();

    let replayed = run(&cell, CALLER_TOKEN, &["replay", &file]).await;

    assert_eq!(replayed.status.code(), Some(2), "{}", text(&replayed));
    assert!(text(&replayed).contains("line 2"), "{}", text(&replayed));
    cell.close();
}
