//! Stand-ins of the platform, workers and clients, and the cases that use them.
//!
//! `standins CASE FOLDER` runs a case in the root of the repository and writes `record.txt` to the
//! folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod cell;
mod gang;
mod http;
mod json;
mod lasting;
mod occurrences;
mod record;
mod site;
mod store;
mod trial;
mod twice;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match site::open_record(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "occurrences" => occurrences::run(trouble, record.clone()),
        "lasting" => lasting::run(trouble, record.clone()),
        "gang" => gang::run(1, trouble, record.clone()),
        "pools" => gang::run(2, trouble, record.clone()),
        "trial" => trial::run(trouble, record.clone()),
        _ => Err(format!("no case {case}")),
    };
    let (line, code) = match verdict {
        Ok(broken) if broken.is_empty() => ("held".to_owned(), 0),
        Ok(broken) => {
            for line in &broken {
                record.line(format!("broken: {line}"));
            }
            (
                format!("broken, {} times; first: {}", broken.len(), broken[0]),
                1,
            )
        }
        Err(reason) => (format!("could not run: {reason}"), 2),
    };
    record.line(&line);
    println!("{line}");
    ExitCode::from(code)
}
