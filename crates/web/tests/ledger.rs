//! Which connections of a listener hold memory and places, and which one yields.

use std::time::Duration;
use std::time::Instant;

use web::ConnectionKey;
use web::Decision;
use web::Ledger;
use web::Limits;
use web::SETTLING_TIME;

/// Largest body, in bytes. A body of at most a sixteenth of it is small.
const BODY: usize = 1600;

fn limits() -> Limits {
    Limits {
        body_bytes: BODY,
        connections: 3,
        memory: 4 * BODY,
        ..Limits::default()
    }
}

/// Opens a connection and lets it receive a body of which `bytes` have arrived.
fn receiving(ledger: &mut Ledger, bytes: usize, now: Instant) -> ConnectionKey {
    let key = ledger.open(now);
    ledger.receive(key, now);
    assert_eq!(ledger.reserve(key, bytes), Decision::Granted);
    key
}

#[test]
fn places_are_granted_up_to_the_limit() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());

    for _ in 0..3 {
        assert_eq!(ledger.make_place(now), Decision::Granted);
        ledger.open(now);
    }

    assert_eq!(ledger.make_place(now), Decision::Wait(None));
}

// Guards against a crowd of idle connections that keeps new callers out.
#[test]
fn the_connection_without_a_request_for_the_longest_time_yields_its_place() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let later = now + Duration::from_secs(1);
    let active = ledger.open(now);
    let oldest = ledger.open(now + Duration::from_millis(1));
    ledger.open(later);
    ledger.finish(active, later);

    let decision = ledger.make_place(later + SETTLING_TIME);
    let next = ledger.make_place(later + SETTLING_TIME);
    ledger.close(oldest);

    assert_eq!(decision, Decision::Wait(Some(oldest)));
    assert_eq!(next, Decision::Wait(None));
    assert_eq!(ledger.make_place(later), Decision::Granted);
}

// Guards against a new connection that is closed before its request can have arrived.
#[test]
fn new_connections_and_requests_in_progress_keep_their_places() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    for _ in 0..2 {
        let key = ledger.open(now);
        ledger.handle(key, now);
    }
    let new = ledger.open(now + SETTLING_TIME);

    let early = ledger.make_place(now + SETTLING_TIME);
    let late = ledger.make_place(now + 2 * SETTLING_TIME);

    assert_eq!(early, Decision::Wait(None));
    assert_eq!(late, Decision::Wait(Some(new)));
}

// Guards against a request that is dropped, although it has arrived whole since its connection was told to
// yield.
#[test]
fn a_request_that_has_arrived_no_longer_yields() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let keys = [(); 3].map(|()| ledger.open(now));
    let later = now + SETTLING_TIME;
    let Decision::Wait(Some(told)) = ledger.make_place(later) else {
        panic!("a connection yields");
    };

    ledger.handle(told, later);

    assert!(keys.contains(&told));
    assert!(!ledger.is_yielding(told));
    let next = ledger.make_place(later);
    assert!(
        matches!(next, Decision::Wait(Some(key)) if key != told),
        "{next:?}"
    );
}

// Guards against large bodies without an end that keep the memory from others.
#[test]
fn the_largest_body_that_is_not_whole_yields_its_memory() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let whole = receiving(&mut ledger, BODY, now);
    ledger.handle(whole, now);
    receiving(&mut ledger, BODY - 200, now);
    let largest = receiving(&mut ledger, BODY, now);
    let own = ledger.open(now);
    ledger.receive(own, now);

    let decision = ledger.reserve(own, BODY / 2);
    let next = ledger.reserve(own, BODY / 2);
    ledger.close(largest);

    assert_eq!(decision, Decision::Wait(Some(largest)));
    assert_eq!(next, Decision::Wait(None));
    assert_eq!(ledger.reserve(own, BODY / 2), Decision::Granted);
}

// Guards against bodies that displace each other in turn: of two of a size the older one yields, and
// one that would be larger than all others is refused.
#[test]
fn a_body_displaces_only_larger_or_older_ones() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let older = receiving(&mut ledger, BODY, now);
    receiving(&mut ledger, BODY, now + Duration::from_millis(1));
    let own = receiving(&mut ledger, BODY - 100, now + Duration::from_millis(2));

    assert_eq!(ledger.reserve(own, 200), Decision::Refused);
    assert_eq!(ledger.reserve(own, 100), Decision::Granted);
    let next = ledger.open(now);
    ledger.receive(next, now);
    assert_eq!(ledger.reserve(next, BODY), Decision::Wait(Some(older)));
}

// Guards against large whole bodies that wait for a slow store and leave nothing to small requests.
#[test]
fn small_bodies_have_memory_that_large_ones_cannot_take() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    for _ in 0..3 {
        let key = receiving(&mut ledger, BODY, now);
        ledger.handle(key, now);
    }

    let large = ledger.open(now);
    ledger.receive(large, now);
    let small = ledger.open(now);
    ledger.receive(small, now);

    assert_eq!(ledger.reserve(large, BODY / 2), Decision::Refused);
    assert_eq!(ledger.reserve(small, BODY / 16), Decision::Granted);
}

// Guards against memory that stays booked after a request has been answered or its connection has
// ended.
#[test]
fn memory_is_released_with_the_reply_and_with_the_connection() {
    let now = Instant::now();
    let mut ledger = Ledger::new(limits());
    let answered = receiving(&mut ledger, BODY, now);
    let closed = receiving(&mut ledger, BODY, now);

    ledger.finish(answered, now);
    ledger.close(closed);

    assert_eq!(ledger.bytes(), 0);
    assert_eq!(ledger.expiry(answered), Some(now + limits().idle));
    assert_eq!(ledger.reserve(closed, 1), Decision::Refused);
}
