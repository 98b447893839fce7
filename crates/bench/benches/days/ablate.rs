//! `ablate`: plays the days once for each mechanism of the scheduling policy, with
//! that mechanism switched off, to show what each of them contributes to the worth of
//! the days, their score in the users' bench.

use std::path::Path;

use crate::options::Options;
use crate::play::PlayResult;
use crate::play::faulty_day_worths;
use crate::play::play_all;
use crate::play::summary;

/// Settings template of this working tree, relative to the repository root.
const TEMPLATE: &str = "deploy/settings.yaml";

/// Plays the days once with all mechanisms and once without each selected one,
/// and prints a table row for each. A mechanism is switched off by a line that is
/// appended to the settings template; the template is restored after each play.
pub fn run(options: &Options) -> Result<(), String> {
    let template = Path::new(TEMPLATE);
    let settings = std::fs::read_to_string(template).map_err(|error| error.to_string())?;
    let only = options.names("only");
    let mechanisms = job::Mechanism::all();
    let selected = |name: &str| only.as_ref().is_none_or(|only| only.contains(&name));
    let baseline = play_all(options, "all on")?;
    println!(
        "| off | mean worth, days with faults | difference | days with violations |\n|---|---|---|---|"
    );
    print_row("(nothing)", &baseline, &baseline);
    for mechanism in mechanisms {
        let name = mechanism.to_string();
        if !selected(&name) {
            continue;
        }
        let ablated = format!("{settings}\noff: [{name}]\n");
        let written = std::fs::write(template, ablated);
        let played = written
            .map_err(|error| error.to_string())
            .and_then(|()| play_all(options, &format!("without {name}")));
        std::fs::write(template, &settings).map_err(|error| error.to_string())?;
        print_row(&name, &played?, &baseline);
    }
    Ok(())
}

/// Prints the mean worth of days with faults, its difference from the baseline,
/// and the number of plays with violations.
fn print_row(name: &str, played: &[PlayResult], baseline: &[PlayResult]) {
    let mean = summary(&faulty_day_worths(played)).0;
    let baseline_mean = summary(&faulty_day_worths(baseline)).0;
    let violations = played
        .iter()
        .filter(|result| !result.violations.is_empty())
        .count();
    println!(
        "| {name} | {mean:.3} | {:+.3} | {violations} |",
        mean - baseline_mean
    );
}
