//! Checks that the documentation lists exactly the log codes and metrics of the code.

mod template;

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use cell::CellMetrics;
use cell::CellSettings;

/// Page with a table of the log codes, one a row, and with the names of the metrics in backquotes.
const PAGE: &str = include_str!("../../../docs/OBSERVABILITY.md");

/// Returns the text of all source files below a folder.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).expect("folder") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            text.push_str(&sources(&path));
        } else {
            text.push_str(&std::fs::read_to_string(&path).expect("source"));
        }
    }
    text
}

/// Returns the numbers that directly follow `mark` in a text.
fn numbers(text: &str, mark: &str) -> BTreeSet<u32> {
    let found = text.match_indices(mark).filter_map(|(at, _)| {
        let rest = &text[at + mark.len()..];
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    });
    found.collect()
}

#[test]
fn the_documentation_lists_each_log_code() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let daemon = Path::new(env!("CARGO_MANIFEST_DIR")).join("../daemon/src");

    let mut logged = numbers(&sources(&source), "code = ");
    logged.extend(numbers(&sources(&daemon), "code = "));

    assert_eq!(numbers(PAGE, "\n| "), logged);
}

#[test]
fn the_documentation_lists_each_metric() {
    let metrics = CellMetrics::default();
    // A metric with labels is served once it has a value.
    for counter in [
        &metrics.submits,
        &metrics.states,
        &metrics.cancels,
        &metrics.starts,
        &metrics.ends,
        &metrics.stops,
        &metrics.lost_runs,
        &metrics.suspects,
        &metrics.advice,
        &metrics.saves,
        &metrics.unreadable,
    ] {
        counter.with_label_values(&["x"]).inc();
    }
    metrics.pool.with_label_values(&["x"]).set(1);
    metrics
        .forecast
        .with_label_values(&["x", "0", "x", "x"])
        .set(1);
    metrics.job.with_label_values(&["x"]).observe(1.0);

    let text = metrics.text();

    let served: BTreeSet<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next())
        .collect();
    let listed: BTreeSet<&str> = PAGE
        .split('`')
        .filter(|piece| piece.starts_with("clovermount_"))
        .collect();
    for name in served {
        assert!(
            listed.contains(name),
            "{name} is not in docs/OBSERVABILITY.md"
        );
    }
}

/// The deployment's settings template parses as settings once its placeholders are filled in.
#[test]
fn the_settings_template_is_valid() {
    let text = template::filled();

    let settings = CellSettings::parse(&text);

    let settings = settings.expect("template");
    assert_eq!(settings.advice_address(), None);
    assert_eq!(settings.peer_address().port(), 7720);
}

/// Guards against a process that does not start on a platform that does not state how long a draining
/// worker may get tasks.
#[test]
fn a_bound_that_the_platform_does_not_state_has_a_default() {
    let text = template::filled().replace("drain_ms: 1", "drain_ms: ");

    let settings = CellSettings::parse(&text).expect("template");

    assert_eq!(settings.drain_bound(), Duration::from_secs(2));
}

#[test]
fn an_invalid_setting_is_reported_with_its_line() {
    let wrong = "node: n\nzone: z\nip: nowhere\n";

    let error = CellSettings::parse(wrong).expect_err("wrong address");

    assert!(error.contains("line 3"), "{error}");
}
