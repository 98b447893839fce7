//! Statistics of the requests sent by `demo` and `replay`, by class.

use std::collections::BTreeMap;

use fake::Outcome;
use hdrhistogram::Histogram;
use model::Class;
use model::Family;

/// Upper bound of the histogram of waits, in milliseconds; longer waits are
/// counted as this value.
const MAX_WAIT_MILLIS: u64 = 3_600_000;

/// Statistics of the requests of one class.
#[derive(Debug)]
pub(crate) struct ClassReport {
    /// Waits from the submission to the start of the tasks, in milliseconds, as the
    /// answers state them. Requests whose answer names no worker are left out.
    pub(crate) waits: Histogram<u64>,
    /// Number of requests.
    pub(crate) total: u64,
    /// Number of requests that succeeded.
    pub(crate) succeeded: u64,
    /// Number of requests whose final answer says that they did not run.
    pub(crate) not_run: u64,
}

/// Computes the statistics of each class.
pub(crate) fn reports_by_class(outcomes: &[Outcome]) -> BTreeMap<Class, ClassReport> {
    let mut classes = BTreeMap::new();
    for outcome in outcomes {
        let report = classes
            .entry(outcome.request.class)
            .or_insert_with(|| ClassReport {
                waits: Histogram::new_with_bounds(1, MAX_WAIT_MILLIS, 3).expect("constant bounds"),
                total: 0,
                succeeded: 0,
                not_run: 0,
            });
        report.total += 1;
        match outcome.family() {
            Family::Succeeded => report.succeeded += 1,
            Family::NotRun => report.not_run += 1,
            _ => {}
        }
        if let Some(body) = &outcome.answer
            && !body.answer.worker.is_empty()
        {
            report.waits.saturating_record(body.answer.waited_millis);
        }
    }
    classes
}

/// Prints the statistics as a table.
pub(crate) fn print_report(classes: &BTreeMap<Class, ClassReport>) {
    println!("class        requests succeeded not_run  wait ms p50     p99     max");
    for (class, report) in classes {
        println!(
            "{:<12} {:>8} {:>9} {:>7} {:>12} {:>7} {:>7}",
            class.to_string(),
            report.total,
            report.succeeded,
            report.not_run,
            report.waits.value_at_quantile(0.5),
            report.waits.value_at_quantile(0.99),
            report.waits.max(),
        );
    }
}
