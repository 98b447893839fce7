//! Command line of the `clovermountd` daemon.
//!
//! The exit code is 1 if the process cannot start or stops because of a fault, and 2 if the
//! command line or the settings are invalid. With `--cell`, every error during the start gives 2,
//! except a failed set-up of the runtime or of the signal handlers, which gives 1.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cell::CellProcess;
use cell::CellSettings;
use daemon::Process;
use daemon::Settings;
use daemon::SignalAction;
use daemon::Signals;

/// Process of a clovermount cell. It runs until SIGTERM or SIGINT, then leaves
/// its work to the other processes and stops. Log level: `RUST_LOG` (default `info`).
#[derive(FromArgs)]
struct Options {
    /// serve requests, with this settings file (YAML); see docs/SETTINGS.md
    #[argh(option)]
    settings: Option<PathBuf>,
    /// serve jobs on the platform; the environment variable `CLOVERMOUNT_BOOT`
    /// names the settings file
    #[argh(switch)]
    cell: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let outcome = match (options.cell, options.settings) {
        (true, None) => run_cell(),
        (false, Some(path)) => run_process(&path),
        _ => Err((
            2,
            "required: either --settings FILE or --cell, and not both".to_owned(),
        )),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, reason)) => {
            eprintln!("{reason}");
            ExitCode::from(code)
        }
    }
}

/// Exit code and error message of a failed run.
type Failure = (u8, String);

fn failure(code: u8, error: impl std::fmt::Display) -> Failure {
    (code, error.to_string())
}

fn run_process(path: &std::path::Path) -> Result<(), Failure> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = Settings::load(path).map_err(|error| failure(2, error))?;
    let runtime = daemon::make_runtime().map_err(|error| failure(1, error))?;
    runtime.block_on(serve_process(&settings))
}

async fn serve_process(settings: &Settings) -> Result<(), Failure> {
    let mut signals = Signals::install().map_err(|error| failure(1, error))?;
    let mut process = Process::open(settings)
        .await
        .map_err(|error| failure(1, error))?;
    tokio::select! {
        error = process.wait_for_failure() => return Err(failure(1, error)),
        () = signals.wait_for_stop() => {}
    }
    process.close().await;
    Ok(())
}

/// Runs a process that serves jobs on the platform. It uses a single thread, since its host
/// has only a fraction of a core for it.
fn run_cell() -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| failure(1, error))?;
    runtime.block_on(serve_cell())
}

async fn serve_cell() -> Result<(), Failure> {
    let mut signals = Signals::install().map_err(|error| failure(1, error))?;
    let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned());
    let logs = cell::start_logging(&level);
    let path = CellSettings::path().map_err(|error| failure(2, error))?;
    log::info!(
        code = 105, settings:% = path.display();
        "process starting; reading its settings file"
    );
    let settings = CellSettings::load(&path).map_err(|error| failure(2, error))?;
    let mut current = settings.clone();
    let process = CellProcess::open(settings)
        .await
        .map_err(|error| failure(2, error))?;
    loop {
        tokio::select! {
            action = signals.next() => match action {
                SignalAction::Stop => break,
                SignalAction::Reload => cell::reload_settings(&path, &mut current),
            },
            () = logs.report_dropped() => {}
        }
    }
    process.close().await;
    Ok(())
}
