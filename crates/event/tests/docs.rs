//! Checks that docs/EVENTS.md lists exactly the event kinds defined in the code.

use event::Kind;
use strum::IntoEnumIterator;

const DOCS_PAGE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn the_docs_list_each_event_kind_with_its_number() {
    let rows: Vec<&str> = DOCS_PAGE
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(1)
        .collect();

    for kind in Kind::iter() {
        let start = format!("| {} | `{kind}` | ", kind.number());
        assert!(rows.iter().any(|row| row.starts_with(&start)), "{start}");
    }
    assert_eq!(rows.len(), Kind::iter().count());
}
