//! Plays simulated days with the users' bench, an external program, and analyses
//! them. It must be run from the root of the repository:
//!
//! - `play BENCH SITE [--seeds 1,2,3] [--days NAME,...] [--vary] [--jobs N]
//!   [--why TEXT]` plays the days listed in the site file with each seed and
//!   prints their worth.
//! - `ablate BENCH SITE [--only NAME,...] [options of play]` plays them with
//!   each mechanism of the policy switched off in turn. For this it edits the
//!   settings template of this working tree and restores it afterwards.
//! - `single BENCH SITE [options of play but --days]` plays each fault that the
//!   site file lists, alone and in pairs, and prints the days that broke a rule.
//! - `account LOG [--worth W0,W1,...]` reads the log of all processes for a day
//!   (written by the bench with `run SITE DAY_LABEL --log all`), and prints why jobs
//!   lost worth and what a scheduler with perfect knowledge could have earned.

mod ablate;
mod account;
mod bound;
mod history;
mod options;
mod play;
mod single;

use std::process::ExitCode;

use options::Options;

const USAGE: &str = "usage: days play BENCH SITE | ablate BENCH SITE | single BENCH SITE | account LOG; options are described at the top of benches/days/main.rs";

fn main() -> ExitCode {
    let words = std::env::args().skip(1);
    let result = Options::parse(words).and_then(|options| match options.command.as_str() {
        "play" => play::run(&options),
        "ablate" => ablate::run(&options),
        "single" => single::run(&options),
        "account" => account::run(&options),
        _ => Err(USAGE.to_owned()),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
