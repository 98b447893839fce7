//! Checks that docs/CODES.md lists exactly the result codes defined in the code.

use model::Code;
use strum::IntoEnumIterator;

const DOCS_PAGE: &str = include_str!("../../../docs/CODES.md");

#[test]
fn the_docs_list_each_code_with_number_and_family() {
    let rows: Vec<&str> = DOCS_PAGE
        .lines()
        .filter(|line| {
            line.split('|')
                .nth(2)
                .is_some_and(|name| name.trim().starts_with('`'))
        })
        .collect();

    for code in Code::iter() {
        let family = code.family().to_string().replace('_', " ");
        let start = format!("| {} | `{code}` | {family} | ", code.number());
        assert!(rows.iter().any(|row| row.starts_with(&start)), "{start}");
    }
    assert_eq!(rows.len(), Code::iter().count());
}
