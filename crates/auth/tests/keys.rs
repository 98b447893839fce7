//! Digests of keys and the lookup of their holders.

use auth::KeyDigest;
use auth::KeyTable;

fn table() -> KeyTable<&'static str> {
    let mut table = KeyTable::default();
    table.insert(KeyDigest::of(b"secret"), "stores");
    table
}

#[test]
fn only_a_key_of_the_table_has_a_holder() {
    let table = table();

    assert_eq!(table.holder(KeyDigest::of(b"secret")), Some(&"stores"));
    assert_eq!(table.holder(KeyDigest::of(b"Secret")), None);
    assert_eq!(table.holder(KeyDigest::of(b"")), None);
}

/// Guards against a key that changes its holder because a second one is configured with it.
#[test]
fn a_key_keeps_its_first_holder() {
    let mut table = table();

    let added = table.insert(KeyDigest::of(b"secret"), "desk");

    assert!(!added);
    assert_eq!(table.holder(KeyDigest::of(b"secret")), Some(&"stores"));
}

#[test]
fn a_digest_is_read_from_64_hexadecimal_digits() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

    assert_eq!(KeyDigest::from_hex(empty), Some(KeyDigest::of(b"")));
    assert_eq!(KeyDigest::from_hex(&empty[1..]), None);
    assert_eq!(KeyDigest::from_hex(&empty.replace('e', "+")), None);
}

#[test]
fn no_text_makes_the_parser_of_digests_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = KeyDigest::from_hex(&String::from_utf8_lossy(bytes));
    });
}

#[test]
fn a_digest_is_not_shown() {
    assert_eq!(format!("{:?}", KeyDigest::of(b"secret")), "KeyDigest");
}
