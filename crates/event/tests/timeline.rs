//! Tests that the timeline counts the events that it drops before they are
//! written to the object store.

use event::Event;
use event::Kind;
use event::RING_CAPACITY;
use event::Timeline;

fn record_events(timeline: &Timeline, count: usize) {
    for _ in 0..count {
        timeline.record(Event::new(Kind::TaskPlaced));
    }
}

// Guards against an uncounted loss of events. If the object store is slow under
// load, the ring buffer drops events that are not stored yet; without the count,
// the stored timeline looks complete although events are missing.
#[test]
fn events_that_were_dropped_before_they_were_stored_are_counted() {
    let timeline = Timeline::new("a-1");
    record_events(&timeline, 10);
    let last = timeline.events_after(0, 10).last().map(|event| event.stamp);

    timeline.mark_stored(last.expect("ten events"));
    record_events(&timeline, RING_CAPACITY + 5);

    assert_eq!(timeline.lost(), 5);
}

#[test]
fn events_that_were_stored_are_not_lost() {
    let timeline = Timeline::new("a-1");
    record_events(&timeline, RING_CAPACITY);
    let last = timeline
        .events_after(0, RING_CAPACITY)
        .last()
        .map(|event| event.stamp);

    timeline.mark_stored(last.expect("a full ring"));
    record_events(&timeline, 100);

    assert_eq!(timeline.lost(), 0);
}
