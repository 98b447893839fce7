//! Days of the users' bench, played and read. It is run from the repository:
//!
//! - `play BENCH SITE [--seeds 1,2,3] [--days NAME,...] [--vary] [--jobs N]
//!   [--why TEXT]` plays the standard days with each seed and prints the worth.
//! - `ablate BENCH SITE [--only NAME,...] [the same]` plays them with each
//!   mechanism of the policy switched off in turn, in the settings template of
//!   this working tree, which it puts back.
//! - `single BENCH SITE [the same]` plays each trouble that the site lists alone,
//!   and in pairs, and prints the days that broke a rule.
//! - `account LOG [--worth W0,W1,...]` reads what all processes logged on a day
//!   (`run SITE DAY_LABEL --log all`), and prints where jobs were lost and what
//!   perfect knowledge could have earned.

mod ablate;
mod account;
mod bound;
mod options;
mod play;
mod single;
mod story;

use std::process::ExitCode;

use options::Options;

const USAGE: &str = "usage: days play BENCH SITE | ablate BENCH SITE | single BENCH SITE | account LOG; see the head of this program";

fn main() -> ExitCode {
    let words = std::env::args().skip(1);
    let done = Options::parse(words).and_then(|options| match options.verb.as_str() {
        "play" => play::run(&options),
        "ablate" => ablate::run(&options),
        "single" => single::run(&options),
        "account" => account::run(&options),
        _ => Err(USAGE.to_owned()),
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
