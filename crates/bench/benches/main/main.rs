//! Benchmarks of the scheduling code, and of whole cells with a simulated platform
//! and simulated workers. `cargo bench -p bench --bench main -- NAME...` runs the
//! named ones, or all if no name is given, and prints lines of the form
//! `name value unit`. A benchmark that needs a cell starts this program again as
//! the daemon, once per process of the cell.

mod cell;
mod control;
mod decide;
mod faults;
mod figures;
mod pack;
mod path;
mod plan;
mod scale;
mod sched_core;
mod slopes;

use std::path::PathBuf;
use std::process::ExitCode;

use daemon::Process;
use daemon::Settings;

/// First argument that makes this program run as the daemon; the last argument is
/// then the path of the settings file.
const DAEMON: &str = "daemon";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == DAEMON) {
        let file = PathBuf::from(arguments.last().expect("settings file argument is missing"));
        let runtime = daemon::make_runtime().expect("failed to create the runtime");
        return runtime.block_on(run_daemon(file));
    }
    let runtime = tokio::runtime::Runtime::new().expect("failed to create the runtime");
    let names: Vec<&str> = arguments
        .iter()
        .map(String::as_str)
        .filter(|name| !name.starts_with("--"))
        .collect();
    let selected = |name: &str| names.is_empty() || names.contains(&name);
    for (name, run) in without_cell() {
        if selected(name) {
            run();
        }
    }
    runtime.block_on(run_with_cell(selected));
    ExitCode::SUCCESS
}

/// Benchmarks that need no cell, by name.
fn without_cell() -> [(&'static str, fn()); 4] {
    [
        ("decide", decide::run),
        ("pack", pack::run),
        ("plan", plan::run),
        ("slopes", slopes::run),
    ]
}

/// Runs the selected benchmarks that need a cell.
async fn run_with_cell(selected: impl Fn(&str) -> bool) {
    if selected("path") {
        path::run().await;
    }
    if selected("durable") {
        path::run_durable().await;
    }
    if selected("spill") {
        path::run_spill().await;
    }
    if selected("takeover") {
        faults::run_takeover().await;
    }
    if selected("handover") {
        faults::run_handover().await;
    }
    if selected("pause") {
        faults::run_pause().await;
    }
    if selected("outage") {
        faults::run_outage().await;
    }
    if selected("config") {
        faults::run_config().await;
    }
    if selected("drain") {
        faults::run_drain().await;
    }
    if selected("cancelwave") {
        faults::run_cancel_wave().await;
    }
    if selected("scale") {
        scale::run().await;
    }
    if selected("control") {
        control::run().await;
    }
}

/// Runs the daemon until it receives SIGTERM, or one of its essential async tasks
/// ends, which is an error.
async fn run_daemon(file: PathBuf) -> ExitCode {
    let settings = Settings::load(&file).expect("failed to load the settings");
    let mut process = Process::open(&settings)
        .await
        .expect("failed to open the process");
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .expect("failed to install the signal handler");
    let task_error = tokio::select! {
        error = process.wait_for_failure() => Some(error),
        _ = term.recv() => None,
    };
    if let Some(error) = task_error {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    process.close().await;
    ExitCode::SUCCESS
}
