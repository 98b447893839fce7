//! Prints the results of benchmarks, and computes how long requests wait for their
//! start.

use std::collections::HashMap;
use std::time::Duration;

use fake::Outcome;
use fake::Run;
use hdrhistogram::Histogram;
use model::Class;
use model::Family;
use model::request_key;

/// Largest value of a histogram: one hour in nanoseconds. Histograms of microseconds
/// have the same bound, which they do not reach.
const MAX_VALUE: u64 = 3_600_000_000_000;

/// Prints one result as `name value unit`.
pub(crate) fn print(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Converts a count to a printable value; saturates at `u32::MAX`.
pub(crate) fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Returns a histogram per class of the waiting times in microseconds, each from
/// the time at which the caller sent the request until a worker first started it.
///
/// `runs` are the entries of the run log, in which the simulated workers record each
/// run of a task, in the order of their starts. Their times count from the creation
/// of the log, those of `outcomes` from the start of the load; `load_start` is the
/// start of the load on the clock of the log (`RunLog::now`). Requests that never
/// started are left out.
pub(crate) fn start_waits(
    outcomes: &[Outcome],
    runs: &[Run],
    load_start: Duration,
) -> HashMap<Class, Histogram<u64>> {
    // First start by request key, `TEAM/ID`.
    let mut starts: HashMap<&str, Duration> = HashMap::new();
    for run in runs {
        starts.entry(&run.request).or_insert(run.started_at);
    }
    let mut histograms: HashMap<Class, Histogram<u64>> = HashMap::new();
    for outcome in outcomes {
        let key = request_key(fake::TEAM, &outcome.request.id);
        let Some(start) = starts.get(key.as_str()) else {
            continue;
        };
        let wait = start.saturating_sub(load_start + outcome.sent_at);
        let histogram = histograms
            .entry(outcome.request.class)
            .or_insert_with(new_histogram);
        histogram.saturating_record(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX));
    }
    histograms
}

/// Returns an empty histogram for times up to an hour, in microseconds or
/// nanoseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_VALUE, 3).expect("histogram bounds are valid")
}

/// Prints the median, the 99th percentile and the maximum, in milliseconds, of a
/// histogram in microseconds.
pub(crate) fn print_quantiles(name: &str, histogram: &Histogram<u64>) {
    let quantile = |q| millis(Duration::from_micros(histogram.value_at_quantile(q)));
    print(&format!("{name}.p50"), quantile(0.5), "ms");
    print(&format!("{name}.p99"), quantile(0.99), "ms");
    print(
        &format!("{name}.max"),
        millis(Duration::from_micros(histogram.max())),
        "ms",
    );
}

/// Maximum number of unsuccessful requests whose answers are printed.
const MAX_PRINTED: usize = 6;

/// Prints the answers to the first unsuccessful requests, and the number of all
/// requests and of those whose result code is of each family: whether and how the
/// request ran.
pub(crate) fn print_families(name: &str, outcomes: &[Outcome]) {
    let unsuccessful = outcomes.iter().filter(|o| o.family() != Family::Succeeded);
    for outcome in unsuccessful.take(MAX_PRINTED) {
        let answer = outcome
            .answer
            .as_ref()
            .map(|body| (body.answer.code, &body.answer.reason));
        println!(
            "# {} {answer:?} after {:?}",
            outcome.request.id, outcome.latency
        );
    }
    print(&format!("{name}.requests"), count(outcomes.len()), "count");
    for (label, family) in [
        ("succeeded", Family::Succeeded),
        ("failed", Family::Failed),
        ("not_run", Family::NotRun),
        ("may_have_run", Family::MayHaveRun),
        ("unanswered", Family::Pending),
    ] {
        let number = outcomes.iter().filter(|o| o.family() == family).count();
        print(&format!("{name}.{label}"), count(number), "count");
    }
}
