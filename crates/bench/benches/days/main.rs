//! Plays simulated days with the users' bench, an external program, and analyses
//! them. A day is a scripted load of jobs together with the faults that the bench
//! injects; a site file lists days and faults. The worth of a job is the score
//! that it earns if it ends within its objective, the time that its queue allows
//! it; the worth of a day is the bench's score of the whole day. This program
//! must be run from the root of the repository:
//!
//! - `play BENCH SITE [--seeds 1,2,3] [--days NAME,...] [--vary] [--jobs N]
//!   [--why TEXT]` plays the days listed in the site file with each seed, N at
//!   the same time, and prints their worth. `--vary` and `--why` are passed on to
//!   the bench.
//! - `ablate BENCH SITE [--only NAME,...] [options of play]` plays the days once
//!   for each mechanism of the scheduling policy, with that mechanism switched
//!   off. For this it edits the settings template of this working tree and
//!   restores it afterwards.
//! - `single BENCH SITE [options of play except --days]` plays days with one or
//!   two of the faults that the site file lists, and prints the days on which the
//!   bench reported a broken rule.
//! - `account LOG [--worth W0,W1,...]` reads the log lines of all processes for a
//!   day (written by the bench with `run SITE DAY_LABEL --log all`), and prints
//!   why jobs lost worth and what a scheduler with perfect knowledge could have
//!   earned. `--worth` sets the worth of a job of mean size, by priority from 0.

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
