//! Entries of another writer in the host list.

use store::Host;
use store::HostDecoder;
use store::HostState;

fn host(id: &str, port: u32) -> String {
    format!(
        r#"{{"id":"{id}","address":"127.0.0.1:{port}","domain":"a","rack":"r1","state":"live"}}"#
    )
}

/// Returns odd entries: nested too deeply, with a number or port out of range, or of another form.
fn odd_entries() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    vec![
        nested.clone(),
        format!(r#"{{"id":{nested}}}"#),
        format!(r#"{{"id":"w1","address":{nested}}}"#),
        host("w1", 65_536),
        r#"{"id":"w1","address":1e999}"#.to_owned(),
        host("w1", 1).replace("live", "resting"),
        "1e999".to_owned(),
        "{}".to_owned(),
    ]
}

fn ids(hosts: &[Host]) -> Vec<&str> {
    hosts.iter().map(|host| host.id.as_str()).collect()
}

/// Guards against an odd entry that hides the sound ones.
#[test]
fn an_odd_entry_hides_no_sound_one() {
    for odd in odd_entries() {
        let list = format!("[{odd},{}]", host("w2", 2));

        let hosts = HostDecoder::default().decode(list.as_bytes());

        assert_eq!(ids(&hosts.expect("a list")), ["w2"], "{odd:.60}");
    }
}

/// Guards against a worker that counts as gone because its entry was overwritten.
#[test]
fn a_worker_keeps_its_last_readable_entry() {
    let mut decoder = HostDecoder::default();
    let sound = format!("[{},{}]", host("w1", 1), host("w2", 2));
    let odd = format!("[{},{}]", host("w1", 65_536), host("w2", 2));

    decoder.decode(sound.as_bytes()).expect("a list");
    let first = decoder.decode(odd.as_bytes()).expect("a list");
    let second = decoder.decode(odd.as_bytes()).expect("a list");
    let gone = decoder.decode(b"[]").expect("a list");

    assert_eq!(ids(&first), ["w2", "w1"]);
    assert_eq!(first, second);
    assert_eq!(first[1].state, HostState::Live);
    assert!(gone.is_empty(), "a worker without an entry is gone");
}

/// Guards against a text that is no list and counts as an empty one.
#[test]
fn a_text_that_is_no_list_is_an_error() {
    for text in [&b""[..], b"{}", b"\xff\xfe", b"[\"\xff\"]", b"[1"] {
        assert!(HostDecoder::default().decode(text).is_err());
    }
}
