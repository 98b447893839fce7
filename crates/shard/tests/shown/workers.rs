//! What is said of a worker rests on what its tasks have shown.

use worker::EndResult;

use crate::desk::Desk;
use crate::desk::ended;
use crate::desk::lookup;

/// A shard that places all work on `w0`, which has failed four requests.
fn with_quarantined_worker() -> Desk {
    let mut desk = Desk::open(&["w0", "w1", "w2", "w3"]);
    desk.claim("w0", "run-1", 2, Vec::new());
    for full in ["w1", "w2", "w3"] {
        desk.claim(full, "run-1", 0, Vec::new());
    }
    for id in ["r1", "r2", "r3", "r4"] {
        let (_, seen) = desk.submit(lookup(id), true);
        let attempt = seen.starts().remove(0);
        let seen = desk.feed(ended(&attempt, id, EndResult::Failed));
        assert_eq!(seen.events().contains(&quarantined()), id == "r4");
    }
    desk
}

fn quarantined() -> String {
    "worker_quarantined".to_owned()
}

fn restored() -> String {
    "worker_restored".to_owned()
}

// A worker that failed everything was said to have left quarantine (305), and
// got work again. Its probe had not ended with success: the lease of the task
// ran out. Every end that was not a failure counted as a success.
#[test]
fn a_probe_that_was_cut_short_restores_no_worker() {
    let mut desk = with_quarantined_worker();
    desk.wait(2100);
    let (_, seen) = desk.submit(lookup("probe"), true);
    let attempt = seen.starts().remove(0);

    let seen = desk.feed(ended(&attempt, "probe", EndResult::LeaseOver));

    assert!(!seen.events().contains(&restored()), "{:?}", seen.events());
}

#[test]
fn a_probe_that_succeeds_restores_its_worker() {
    let mut desk = with_quarantined_worker();
    desk.wait(2100);
    let (_, seen) = desk.submit(lookup("probe"), true);
    let attempt = seen.starts().remove(0);

    let seen = desk.feed(ended(&attempt, "probe", EndResult::Succeeded));

    assert!(seen.events().contains(&restored()), "{:?}", seen.events());
}
