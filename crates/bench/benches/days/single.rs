//! `single`: plays days with a single fault and days with a pair of faults,
//! because the effect of one fault does not show on days with many.

use std::path::Path;
use std::path::PathBuf;

use crate::options::Options;
use crate::play::Play;
use crate::play::PlayResult;
use crate::play::play_each;

/// Times at which the fault of a day with a single fault is injected, in seconds
/// from the start of the load: early, and again when all queues are full.
const FAULT_TIMES: [u32; 2] = [3, 18];

/// Time at which the second fault of a pair is injected, in seconds from the start
/// of the load: while the first one lasts.
const SECOND_FAULT_TIME: u32 = 5;

/// For each seed and each fault that the site file lists, plays a day with this
/// fault alone and a day with this fault and another one. Prints the days with
/// violations and those with the lowest worth.
pub fn run(options: &Options) -> Result<(), String> {
    let site = options.file(1, "SITE")?;
    let text = std::fs::read_to_string(site).map_err(|error| format!("{site}: {error}"))?;
    let faults = faults(&text);
    let seeds: Vec<u64> = options.numbers("seeds", "1")?;
    let folder = std::env::temp_dir().join(format!("clovermount-days-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let mut plays = Vec::new();
    for &seed in &seeds {
        for (index, fault) in faults.iter().enumerate() {
            let entries = FAULT_TIMES.map(|time| fault_entry(fault, time));
            let file = write(&folder, &format!("single-{index}"), &entries)?;
            plays.push(day(&file, seed));
            let other = &faults[partner(index, seed, faults.len())];
            let entries = [
                fault_entry(fault, FAULT_TIMES[0]),
                fault_entry(other, SECOND_FAULT_TIME),
            ];
            let file = write(&folder, &format!("pair-{index}-{seed}"), &entries)?;
            plays.push(day(&file, seed));
        }
    }
    let mut played = play_each(options, plays, "single faults and pairs")?;
    played.sort_by(|result, other| result.worth.total_cmp(&other.worth));
    report(&played);
    std::fs::remove_dir_all(&folder).map_err(|error| error.to_string())
}

/// Prints the days with violations, and the five days with the lowest worth.
fn report(played: &[PlayResult]) {
    let violating = played.iter().filter(|result| !result.violations.is_empty());
    println!(
        "{} days, {} with violations",
        played.len(),
        violating.clone().count()
    );
    for result in violating {
        println!(
            "BROKEN {} seed {}: {}",
            result.day,
            result.seed,
            result.violations.join("; ")
        );
    }
    for result in played.iter().take(5) {
        println!("{:.3} {} seed {}", result.worth, result.day, result.seed);
    }
}

/// Returns the entries of the list `troubles` of a site file, without braces: one
/// fault each.
fn faults(site: &str) -> Vec<String> {
    let lines = site
        .lines()
        .skip_while(|line| !line.starts_with("troubles"));
    let lines = lines.skip(1).take_while(|line| line.trim() != "]");
    let entries = lines.map(|line| line.trim().trim_end_matches(','));
    let bare = entries.map(|fault_entry| fault_entry.trim_matches(['{', '}']).trim());
    bare.map(str::to_owned).collect()
}

/// Formats an entry of the list `faults` of a day file: a fault and its time in
/// seconds.
fn fault_entry(fault: &str, time: u32) -> String {
    format!("{{ at = {time}.0, {fault} }}")
}

/// Returns the index of the second fault of a pair. It depends on the seed and
/// differs from `index` if there are at least two faults.
fn partner(index: usize, seed: u64, count: usize) -> usize {
    let step = usize::try_from(seed).unwrap_or(1) * 7 + 5;
    (index + step % count.max(2).saturating_sub(1) + 1) % count.max(1)
}

/// Writes a day file with the given faults and returns its path.
fn write(folder: &Path, name: &str, entries: &[String]) -> Result<PathBuf, String> {
    let path = folder.join(format!("{name}.toml"));
    let text = format!(
        "name = \"{name}\"\nfaults = [\n  {},\n]\n",
        entries.join(",\n  ")
    );
    std::fs::write(&path, text).map_err(|error| error.to_string())?;
    Ok(path)
}

/// Returns the play of a day file with a seed.
fn day(file: &Path, seed: u64) -> Play {
    Play {
        day: file.display().to_string(),
        seed,
    }
}
