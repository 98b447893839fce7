//! Counting of events that the timeline drops from memory.

use event::Event;
use event::Kind;
use event::RING_CAPACITY;
use event::Timeline;

fn record_events(timeline: &Timeline, count: usize) {
    for _ in 0..count {
        timeline.record(Event::new(Kind::TaskPlaced));
    }
}

// Guards against an uncounted loss of events: when the object store was slow
// under load, the ring buffer dropped events that were not stored yet, and the
// stored timeline looked complete although it had gaps.
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
