//! The table of metrics lists exactly those that a process shows.

use entry::Metrics;
use model::Answer;
use model::Code;
use shard::View;

const PAGE: &str = include_str!("../../../docs/METRICS.md");

#[test]
fn the_table_lists_each_metric() {
    let metrics = Metrics::new().expect("metrics");
    let mut answer = Answer::without_output("a", Code::Ok, "");
    answer.worker = "w".to_owned();
    metrics.count(&answer, "urgent");

    let text = metrics.render(&View::default(), 0.0);

    let shown = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let shown: Vec<&str> = shown.filter_map(|line| line.split(' ').next()).collect();
    for name in &shown {
        assert!(PAGE.contains(&format!("| `{name}` |")), "{name}");
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(rows, shown.len());
}
