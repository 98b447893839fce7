//! Measurements. `cargo bench -p bench -- NAME...` runs the named ones, or all
//! without a name, and prints lines of `name value unit`. Each that needs a
//! cell starts real processes: this program again, as the daemon.

mod cell;
mod control;
mod cores;
mod decide;
mod faults;
mod figures;
mod pack;
mod path;
mod plan;
mod scale;
mod slopes;

use std::path::PathBuf;
use std::process::ExitCode;

use daemon::Process;
use daemon::Settings;

/// First argument with which this program runs as the daemon.
const DAEMON: &str = "daemon";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == DAEMON) {
        let file = PathBuf::from(arguments.last().expect("a settings file"));
        let runtime = daemon::make_runtime().expect("a runtime");
        return runtime.block_on(run_daemon(file));
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let names: Vec<&str> = arguments
        .iter()
        .map(String::as_str)
        .filter(|name| !name.starts_with("--"))
        .collect();
    let wanted = |name: &str| names.is_empty() || names.contains(&name);
    for (name, run) in plain() {
        if wanted(name) {
            run();
        }
    }
    runtime.block_on(run_cells(wanted));
    ExitCode::SUCCESS
}

/// Measurements that need no cell.
fn plain() -> [(&'static str, fn()); 4] {
    [
        ("decide", decide::run),
        ("pack", pack::run),
        ("plan", plan::run),
        ("slopes", slopes::run),
    ]
}

async fn run_cells(wanted: impl Fn(&str) -> bool) {
    if wanted("path") {
        path::run().await;
    }
    if wanted("durable") {
        path::run_durable().await;
    }
    if wanted("spill") {
        path::run_spill().await;
    }
    if wanted("takeover") {
        faults::run_takeover().await;
    }
    if wanted("handover") {
        faults::run_handover().await;
    }
    if wanted("pause") {
        faults::run_pause().await;
    }
    if wanted("outage") {
        faults::run_outage().await;
    }
    if wanted("config") {
        faults::run_config().await;
    }
    if wanted("drain") {
        faults::run_drain().await;
    }
    if wanted("cancelwave") {
        faults::run_cancel_wave().await;
    }
    if wanted("scale") {
        scale::run().await;
    }
    if wanted("control") {
        control::run().await;
    }
}

/// Runs the daemon until it is asked to stop, or one of its tasks ends.
async fn run_daemon(file: PathBuf) -> ExitCode {
    let settings = Settings::load(&file).expect("settings");
    let mut process = Process::open(&settings).await.expect("process");
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .expect("signal handler");
    let crash = tokio::select! {
        error = process.wait_for_failure() => Some(error),
        _ = term.recv() => None,
    };
    if let Some(error) = crash {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    process.close().await;
    ExitCode::SUCCESS
}
