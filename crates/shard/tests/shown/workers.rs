//! Quarantine of a worker depends only on tasks that succeeded or failed on it.

use worker::EndResult;

use crate::fixture::Fixture;
use crate::fixture::idempotent_request;
use crate::fixture::task_ended;

/// A shard that places all tasks on `w0`, since the other workers have no slots.
/// `w0` is quarantined after the failures of four requests in a row: no task is
/// placed there, except one probe every 2 s.
fn with_quarantined_worker() -> Fixture {
    let mut fixture = Fixture::with_unclaimed(&["w0", "w1", "w2", "w3"]);
    fixture.claim("w0", "run-1", 2, Vec::new());
    for name in ["w1", "w2", "w3"] {
        fixture.claim(name, "run-1", 0, Vec::new());
    }
    for id in ["r1", "r2", "r3", "r4"] {
        let (_, effects) = fixture.submit(idempotent_request(id), true);
        let attempt = effects.starts().remove(0);
        let effects = fixture.send(task_ended(&attempt, id, EndResult::Failed));
        assert_eq!(effects.events().contains(&quarantined_event()), id == "r4");
    }
    fixture
}

fn quarantined_event() -> String {
    "worker_quarantined".to_owned()
}

fn restored_event() -> String {
    "worker_restored".to_owned()
}

// Guards against ending the quarantine of a worker on which every task fails
// (event 305). The lease of its probe task expired, and every end that was not a
// failure counted as a success.
#[test]
fn interrupted_probe_does_not_end_quarantine() {
    let mut fixture = with_quarantined_worker();
    fixture.advance(2100);
    let (_, effects) = fixture.submit(idempotent_request("probe"), true);
    let attempt = effects.starts().remove(0);

    let effects = fixture.send(task_ended(&attempt, "probe", EndResult::LeaseOver));

    assert!(
        !effects.events().contains(&restored_event()),
        "{:?}",
        effects.events()
    );
}

#[test]
fn successful_probe_ends_quarantine() {
    let mut fixture = with_quarantined_worker();
    fixture.advance(2100);
    let (_, effects) = fixture.submit(idempotent_request("probe"), true);
    let attempt = effects.starts().remove(0);

    let effects = fixture.send(task_ended(&attempt, "probe", EndResult::Succeeded));

    assert!(
        effects.events().contains(&restored_event()),
        "{:?}",
        effects.events()
    );
}
