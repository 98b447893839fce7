//! The pages of logs and metrics list exactly what the code has.

mod template;

use std::collections::BTreeSet;
use std::path::Path;

use cell::CellMetrics;
use cell::CellSettings;

const PAGE: &str = include_str!("../../../docs/OBSERVABILITY.md");

/// Text of all source files below a folder.
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

/// Numbers that follow `mark` in a text.
fn numbers(text: &str, mark: &str) -> BTreeSet<u32> {
    let found = text.match_indices(mark).filter_map(|(at, _)| {
        let rest = &text[at + mark.len()..];
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    });
    found.collect()
}

#[test]
fn the_catalogue_lists_each_line_of_the_log() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let daemon = Path::new(env!("CARGO_MANIFEST_DIR")).join("../daemon/src");

    let mut logged = numbers(&sources(&source), "code = ");
    logged.extend(numbers(&sources(&daemon), "code = "));

    assert_eq!(numbers(PAGE, "\n| "), logged);
}

#[test]
fn the_page_lists_each_metric() {
    let metrics = CellMetrics::default();
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

/// The template with its placeholders filled in parses as settings.
#[test]
fn the_template_gives_valid_settings() {
    let text = template::filled();

    let settings = CellSettings::parse(&text);

    let settings = settings.expect("template");
    assert_eq!(settings.advice_address(), None);
    assert_eq!(settings.peer_address().port(), 7720);
}

#[test]
fn a_wrong_setting_is_named() {
    let wrong = "node: n\nzone: z\nip: nowhere\n";

    let error = CellSettings::parse(wrong).expect_err("wrong address");

    assert!(error.contains("line 3"), "{error}");
}
