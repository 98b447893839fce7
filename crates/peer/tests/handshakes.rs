//! Handshakes beside clients that never continue theirs.

use peer::HandshakeDecision;
use peer::MAX_HANDSHAKES;
use peer::VALIDATE_FROM;
use peer::decide_handshake;

#[test]
fn few_handshakes_need_no_validation() {
    assert_eq!(
        decide_handshake(VALIDATE_FROM - 1, false),
        HandshakeDecision::Begin
    );
}

// Guards against clients with stated addresses that take the places of all others.
#[test]
fn clients_that_receive_nothing_leave_places_to_others() {
    let blind = decide_handshake(VALIDATE_FROM, false);
    let other = decide_handshake(MAX_HANDSHAKES - 1, true);

    assert_eq!(blind, HandshakeDecision::Validate);
    assert_eq!(other, HandshakeDecision::Begin);
}

// Guards against handshakes without a bound.
#[test]
fn handshakes_are_refused_at_the_limit() {
    assert_eq!(
        decide_handshake(MAX_HANDSHAKES, true),
        HandshakeDecision::Refuse
    );
}
