//! Until when a start may reach its worker, and whether the store counts as serving workers.

use std::time::Duration;

use cell::StartDeadline;
use cell::StoreContact;

/// Time after which a draining worker may get no more tasks.
const BOUND: Duration = Duration::from_secs(2);

const USUAL_DELIVERY: Duration = Duration::from_millis(5);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_start_is_sent_while_the_registrations_are_current() {
    let deadline = StartDeadline::new(ms(10_000), BOUND, true);

    assert!(deadline.admits(ms(10_450), USUAL_DELIVERY));
}

/// Guards against a start that reaches its worker after the bound, although it was sent before.
#[test]
fn a_start_is_held_if_it_would_arrive_after_the_bound() {
    let deadline = StartDeadline::new(ms(10_000), BOUND, true);

    assert!(!deadline.admits(ms(11_500), ms(600)));
    assert!(deadline.admits(ms(11_000), ms(600)));
}

/// Guards against a stop of all work during an outage, in which no worker can register.
#[test]
fn starts_have_no_deadline_while_the_store_serves_nobody() {
    let deadline = StartDeadline::new(ms(10_000), BOUND, false);

    assert!(deadline.admits(ms(60_000), ms(600)));
}

/// Guards against a slow host that takes its own timeouts for an outage of the store.
#[test]
fn the_store_may_serve_workers_while_it_answers_a_peer() {
    let mut contact = StoreContact::default();
    contact.record(ms(9_800), ms(300));

    assert!(contact.may_serve(ms(10_000), ms(5_000), true));
}

/// Guards against a host that is so slow that it hears neither the store nor its peers in time.
#[test]
fn the_store_may_serve_workers_while_the_owner_runs_late() {
    let mut contact = StoreContact::default();
    contact.record_lag(ms(9_000), ms(400));

    assert!(contact.may_serve(ms(10_000), ms(5_000), true));
    assert!(!contact.may_serve(ms(13_000), ms(5_000), true));
}

/// Guards against a stop of all work during an outage that all processes see.
#[test]
fn the_store_serves_nobody_once_no_process_gets_a_reply() {
    let mut contact = StoreContact::default();
    contact.record(ms(9_800), ms(2_000));

    assert!(!contact.may_serve(ms(10_000), ms(7_900), false));
}

/// Guards against a process that is alone and would wait for the statement of a peer.
#[test]
fn a_process_without_peers_relies_on_its_own_calls() {
    let mut contact = StoreContact::default();

    assert!(!contact.may_serve(ms(10_000), ms(5_000), true));
    assert!(contact.may_serve(ms(10_000), ms(5_000), false));

    contact.record(ms(1_000), Duration::ZERO);
    assert!(!contact.may_serve(ms(10_000), ms(5_000), true));
}
