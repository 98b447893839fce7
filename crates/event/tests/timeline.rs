//! What the timeline says of events that are no longer there.

use event::Event;
use event::Kind;
use event::RING_EVENTS;
use event::Timeline;

fn fill(timeline: &Timeline, events: usize) {
    for _ in 0..events {
        timeline.record(Event::new(Kind::TaskPlaced));
    }
}

// A time line looked whole, and the event that explained a request was not in
// it. The store had been slow under load, and the ring in memory had dropped
// what was not stored yet; its comment said that this is counted, and nothing
// counted it.
#[test]
fn events_that_were_dropped_before_they_were_stored_are_counted() {
    let timeline = Timeline::new("a-1");
    fill(&timeline, 10);
    let last = timeline.since(0, 10).last().map(|event| event.stamp);

    timeline.note_stored(last.expect("ten events"));
    fill(&timeline, RING_EVENTS + 5);

    assert_eq!(timeline.lost(), 5);
}

#[test]
fn events_that_were_stored_are_not_lost() {
    let timeline = Timeline::new("a-1");
    fill(&timeline, RING_EVENTS);
    let last = timeline
        .since(0, RING_EVENTS)
        .last()
        .map(|event| event.stamp);

    timeline.note_stored(last.expect("a full ring"));
    fill(&timeline, 100);

    assert_eq!(timeline.lost(), 0);
}
