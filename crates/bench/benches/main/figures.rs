//! Printing of figures, and waits from request to start.

use std::collections::HashMap;
use std::time::Duration;

use fake::Outcome;
use fake::Run;
use hdrhistogram::Histogram;
use model::Class;
use model::Family;
use model::request_key;

/// An hour, in nanoseconds.
const LONGEST: u64 = 3_600_000_000_000;

/// Prints one figure.
pub(crate) fn print(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// A duration in milliseconds.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// A count as a figure.
pub(crate) fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Waits from request to first start, by class, in microseconds: from when
/// the caller sent it to when the worker started it.
pub(crate) fn waits(
    outcomes: &[Outcome],
    runs: &[Run],
    load_began: Duration,
) -> HashMap<Class, Histogram<u64>> {
    let mut starts: HashMap<&str, Duration> = HashMap::new();
    for run in runs {
        starts.entry(&run.request).or_insert(run.started_at);
    }
    let mut classes: HashMap<Class, Histogram<u64>> = HashMap::new();
    for outcome in outcomes {
        let key = request_key(fake::TEAM, &outcome.request.id);
        let Some(start) = starts.get(key.as_str()) else {
            continue;
        };
        let wait = start.saturating_sub(load_began + outcome.sent_at);
        let histogram = classes
            .entry(outcome.request.class)
            .or_insert_with(new_histogram);
        histogram.saturating_record(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX));
    }
    classes
}

/// A histogram of times up to an hour, in microseconds or nanoseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 3).expect("constant bounds")
}

/// Prints quantiles of a histogram of microseconds, in milliseconds.
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

/// Most answers without success that are shown in full.
const SHOWN: usize = 6;

/// Prints how many requests did not succeed, and by what family.
pub(crate) fn print_families(name: &str, outcomes: &[Outcome]) {
    let bad = outcomes.iter().filter(|o| o.family() != Family::Succeeded);
    for outcome in bad.take(SHOWN) {
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
    for (what, family) in [
        ("succeeded", Family::Succeeded),
        ("failed", Family::Failed),
        ("not_run", Family::NotRun),
        ("may_have_run", Family::MayHaveRun),
        ("unanswered", Family::Pending),
    ] {
        let number = outcomes.iter().filter(|o| o.family() == family).count();
        print(&format!("{name}.{what}"), count(number), "count");
    }
}
