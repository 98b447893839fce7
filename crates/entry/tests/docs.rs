//! Checks that docs/METRICS.md lists exactly the metrics that a process exports.

use entry::Metrics;
use model::Answer;
use model::Code;
use shard::View;

const DOCS_PAGE: &str = include_str!("../../../docs/METRICS.md");

#[test]
fn the_docs_list_exactly_the_exported_metrics() {
    let metrics = Metrics::new().expect("metrics");
    let mut answer = Answer::without_output("a", Code::Ok, "");
    answer.worker = "w".to_owned();
    metrics.count(&answer, "urgent");

    let text = metrics.render(&View::default(), 0.0);

    let exported = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: Vec<&str> = exported.filter_map(|line| line.split(' ').next()).collect();
    for name in &exported {
        assert!(DOCS_PAGE.contains(&format!("| `{name}` |")), "{name}");
    }
    let rows = DOCS_PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .count();
    assert_eq!(rows, exported.len());
}
