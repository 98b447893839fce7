//! `play`: plays each day with several seeds and prints its worth for each seed.

use std::process::Command;
use std::sync::Mutex;

use serde_json::Value;

use crate::options::Options;

/// Default number of days played at the same time (`--jobs`): half the processors
/// of the machines from which the documented results come.
const DEFAULT_JOBS: &str = "4";

/// A day and the seed with which it is to be played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Name of the day in the site file, or path of a day file.
    pub day: String,
    pub seed: u64,
}

/// Result of one play.
#[derive(Clone, Debug)]
pub struct PlayResult {
    /// Name of the day in the site file, or path of a day file.
    pub day: String,
    pub seed: u64,
    /// Score of the day, `G` in the report of the bench.
    pub worth: f64,
    /// Broken rules, missed expectations and an error of the bench itself, as the
    /// bench reports them.
    pub violations: Vec<String>,
}

/// Plays all days and prints a table row for each.
pub fn run(options: &Options) -> Result<(), String> {
    let played = play_all(options, "play")?;
    println!("| day | worth by seed | mean | spread |\n|---|---|---|---|");
    for day in days(options)? {
        let day_results: Vec<&PlayResult> = played
            .iter()
            .filter(|day_result| day_result.day == day)
            .collect();
        let worths: Vec<f64> = day_results
            .iter()
            .map(|day_result| day_result.worth)
            .collect();
        let formatted: Vec<String> = worths.iter().map(|worth| format!("{worth:.3}")).collect();
        let (mean, spread) = summary(&worths);
        println!(
            "| {day} | {} | {mean:.3} | {spread:.3} |",
            formatted.join(", ")
        );
    }
    let faulty_day_worths: Vec<f64> = faulty_day_worths(&played);
    println!(
        "| days with faults | | {:.3} | |",
        summary(&faulty_day_worths).0
    );
    for day_result in played
        .iter()
        .filter(|day_result| !day_result.violations.is_empty())
    {
        println!(
            "BROKEN {} seed {}: {}",
            day_result.day,
            day_result.seed,
            day_result.violations.join("; ")
        );
    }
    Ok(())
}

/// Worth of each play of a day with faults, which is any day whose name does not
/// start with `quiet`.
pub fn faulty_day_worths(played: &[PlayResult]) -> Vec<f64> {
    let faulty = played
        .iter()
        .filter(|day_result| !day_result.day.starts_with("quiet"));
    faulty.map(|day_result| day_result.worth).collect()
}

/// Returns the mean of the worths, and the difference between the highest and the
/// lowest.
pub fn summary(worths: &[f64]) -> (f64, f64) {
    #[allow(clippy::cast_precision_loss)]
    let mean = worths.iter().sum::<f64>() / worths.len().max(1) as f64;
    let high = worths.iter().copied().fold(f64::MIN, f64::max);
    let low = worths.iter().copied().fold(f64::MAX, f64::min);
    (mean, (high - low).max(0.0))
}

/// Returns the names of the days to be played: those of `--days`, or all days of
/// the site file.
pub fn days(options: &Options) -> Result<Vec<String>, String> {
    if let Some(names) = options.names("days") {
        return Ok(names.into_iter().map(str::to_owned).collect());
    }
    let site = options.file(1, "SITE")?;
    let text = std::fs::read_to_string(site).map_err(|error| format!("{site}: {error}"))?;
    let blocks = text.split("[[day]]").skip(1);
    let names = blocks.filter_map(|block| {
        let line = block.lines().find(|line| line.starts_with("name = "))?;
        Some(
            line.trim_start_matches("name = ")
                .trim_matches('"')
                .to_owned(),
        )
    });
    Ok(names.collect())
}

/// Plays each day with each seed. `label` is added to the reason that the bench
/// records with the play (its option `--why`).
pub fn play_all(options: &Options, label: &str) -> Result<Vec<PlayResult>, String> {
    let seeds: Vec<u64> = options.numbers("seeds", "1,2,3")?;
    let mut plays = Vec::new();
    for day in days(options)? {
        plays.extend(seeds.iter().map(|&seed| Play {
            day: day.clone(),
            seed,
        }));
    }
    play_each(options, plays, label)
}

/// Plays the given days, as many at the same time as `--jobs` says, and returns
/// the results sorted by day and seed.
pub fn play_each(
    options: &Options,
    mut plays: Vec<Play>,
    label: &str,
) -> Result<Vec<PlayResult>, String> {
    let jobs: Vec<usize> = options.numbers("jobs", DEFAULT_JOBS)?;
    plays.reverse();
    // The first play runs alone because it builds the programs, which the
    // following plays reuse.
    let first = plays
        .pop()
        .ok_or("no day to play: the list of days or seeds is empty")?;
    let mut played = vec![play(options, &first, label)?];
    let queue = Mutex::new(plays);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.first().copied().unwrap_or(1) {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().expect("a playing thread panicked").pop();
                    let Some(next) = next else { return };
                    let result = play(options, &next, label);
                    results
                        .lock()
                        .expect("a playing thread panicked")
                        .push(result);
                }
            });
        }
    });
    for result in results.into_inner().expect("a playing thread panicked") {
        played.push(result?);
    }
    played.sort_by(|day_result, other| {
        (&day_result.day, day_result.seed).cmp(&(&other.day, other.seed))
    });
    Ok(played)
}

/// Runs the bench for one day and seed and reads the report that it writes.
fn play(options: &Options, play: &Play, label: &str) -> Result<PlayResult, String> {
    let bench = options.file(0, "BENCH")?;
    let site = options.file(1, "SITE")?;
    let Play { day, seed } = play;
    // The day may be the path of a file, so its separators are replaced.
    let name = day.replace(['/', '.'], "-");
    let process = std::process::id();
    let report = std::env::temp_dir().join(format!("clovermount-day-{process}-{name}-{seed}.json"));
    let why = options.text("why").unwrap_or("days with several seeds");
    let mut command = Command::new(bench);
    command.args(["run", site, day, "--seed", &seed.to_string(), "--jobs", "1"]);
    command
        .args(["--why", &format!("{why} ({label})"), "--report"])
        .arg(&report);
    if options.vary {
        command.arg("--vary");
    }
    let output = command
        .output()
        .map_err(|error| format!("{bench}: {error}"))?;
    let text = std::fs::read_to_string(&report);
    let Ok(text) = text else {
        let printed = String::from_utf8_lossy(&output.stdout);
        return Err(format!(
            "{day} seed {seed}: the bench wrote no report; its output: {printed}"
        ));
    };
    let _ = std::fs::remove_file(&report);
    let report: Value = serde_json::from_str(&text).map_err(|error| format!("{day}: {error}"))?;
    let mut violations: Vec<String> = item_strings(&report["breaks"]);
    violations.extend(item_strings(&report["missed"]));
    if !report["fault"].is_null() {
        violations.push(report["fault"].to_string());
    }
    Ok(PlayResult {
        day: day.clone(),
        seed: *seed,
        worth: report["G"].as_f64().unwrap_or(0.0),
        violations,
    })
}

/// Converts the items of a JSON array to strings; any other value gives none.
fn item_strings(value: &Value) -> Vec<String> {
    let items = value.as_array().cloned().unwrap_or_default();
    items.iter().map(Value::to_string).collect()
}
