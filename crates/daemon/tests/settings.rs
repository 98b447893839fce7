//! Validation of settings: typical mistakes in a settings file, and the example files.

use std::path::Path;

use daemon::Settings;

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/halvorsen-tacoma.yaml");
    std::fs::read_to_string(path).expect("example")
}

fn parse_error(text: &str) -> String {
    Settings::parse(text).expect_err("invalid settings")
}

#[test]
fn the_examples_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");

    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder).expect("examples") {
        let path = entry.expect("entry").path();
        names.push(Settings::load(&path).expect("valid").name);
    }

    names.sort();
    assert_eq!(names, ["ikeja-1", "tacoma-1"]);
}

#[test]
fn an_unknown_field_is_refused_with_its_line() {
    let error = parse_error(&example().replace("domain: tacoma", "domane: tacoma"));

    assert!(error.contains("domane"), "{error}");
    assert!(error.contains("line 3"), "{error}");
}

#[test]
fn a_value_of_the_wrong_type_is_refused_with_its_line() {
    let error = parse_error(&example().replace("shards: 16", "shards: many"));

    assert!(error.contains("line 5"), "{error}");
}

#[test]
fn a_hold_time_near_the_ttl_is_refused_with_the_allowed_range() {
    let error = parse_error(&example().replace("hold_millis: 1600", "hold_millis: 1900"));

    assert!(error.contains("hold_millis: found \"1900\""), "{error}");
    assert!(error.contains("nine tenths"), "{error}");
    assert!(error.starts_with("line "), "{error}");
}

#[test]
fn a_missing_field_is_named() {
    let error = parse_error(&example().replace("name: tacoma-1\n", ""));

    assert!(error.contains("name"), "{error}");
}

#[test]
fn a_token_that_is_not_a_hash_is_refused() {
    let text = example();
    let line = text
        .lines()
        .find(|line| line.contains("sha256"))
        .expect("a token");

    let error = parse_error(&text.replace(line, "  - sha256: secret"));

    assert!(error.contains("64 hexadecimal digits"), "{error}");
}

#[test]
fn memory_that_does_not_hold_two_bodies_is_refused() {
    let text = example().replace("http:\n", "http:\n  memory_bytes: 1000000\n");

    let error = parse_error(&text);

    assert!(
        error.contains("memory_bytes") && error.contains("at least twice body_bytes"),
        "{error}"
    );
}
