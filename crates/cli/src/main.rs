//! Command line client of clovermount, for callers and operators.

mod api;
mod cancel;
mod check;
mod config;
mod demo;
mod drain;
mod error;
mod exit;
mod explain;
mod hosts;
mod keys;
mod replay;
mod report;
mod status;
mod submit;
mod timeline;
mod token;
mod trace;

use std::process::ExitCode;

use argh::FromArgs;

use crate::error::CliError;
use crate::exit::exit_code;

/// Command line of clovermount, a cluster scheduler for sites under a power
/// cap. Most commands call an entry process, which is a process of the cell that
/// serves callers and operators over HTTP: pass its address with --server or in
/// `CLOVERMOUNT_SERVER`, and your bearer token in `CLOVERMOUNT_TOKEN`.
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    command: Command,
}

/// The subcommands; the doc comment of each struct is its help text.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Submit(submit::Submit),
    Status(status::Status),
    Cancel(cancel::Cancel),
    Config(config::ConfigCommand),
    Hosts(hosts::HostsCommand),
    Cell(hosts::CellCommand),
    Drain(drain::Drain),
    Timeline(timeline::TimelineCommand),
    Trace(trace::TraceCommand),
    Replay(replay::Replay),
    Keys(keys::Keys),
    Token(token::TokenCommand),
    Check(check::Check),
    Explain(explain::Explain),
    Demo(demo::Demo),
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::from(exit::FAILURE);
        }
    };
    match runtime.block_on(run(options.command)) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(exit_code(&error))
        }
    }
}

async fn run(command: Command) -> Result<u8, CliError> {
    match command {
        Command::Submit(command) => command.run().await,
        Command::Status(command) => command.run().await,
        Command::Cancel(command) => command.run().await,
        Command::Config(command) => command.run().await,
        Command::Hosts(command) => command.run().await,
        Command::Cell(command) => command.run().await,
        Command::Drain(command) => command.run().await,
        Command::Timeline(command) => command.run().await,
        Command::Trace(command) => command.run(),
        Command::Replay(command) => command.run().await,
        Command::Keys(command) => command.run(),
        // `token` has no options.
        Command::Token(_) => Ok(token::TokenCommand::run()),
        Command::Check(command) => Ok(command.run()),
        Command::Explain(command) => command.run(),
        Command::Demo(command) => command.run().await,
    }
}
