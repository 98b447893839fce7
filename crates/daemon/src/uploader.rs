//! Keeps the timeline in the platform's object store, at a bounded rate, so
//! that the events of a process outlive it.

use std::sync::Arc;
use std::time::Duration;

use event::Event;
use event::Stamp;
use event::Timeline;
use store::ObjectStore;

/// Interval of uploads; one object each, if anything happened.
const INTERVAL: Duration = Duration::from_secs(5);

/// Most events in one object; the rest follows with the next.
const EVENTS: usize = 4000;

/// Uploads new events until the process ends. While the store is down they
/// stay in the ring in memory, which forgets the oldest.
pub async fn upload_events<O: ObjectStore>(objects: O, timeline: Arc<Timeline>) {
    let mut after = 0;
    loop {
        tokio::time::sleep(INTERVAL).await;
        after = upload_since(&objects, &timeline, after).await;
    }
}

/// Uploads what happened after `after`; returns the stamp of the last event
/// that is stored.
pub async fn upload_since<O: ObjectStore>(objects: &O, timeline: &Timeline, after: Stamp) -> Stamp {
    let events = timeline.events_after(after, EVENTS);
    let Some(last) = events.last().map(|event| event.stamp) else {
        return after;
    };
    match objects
        .put(&object_name(&events, last), lines(&events))
        .await
    {
        Ok(()) => {
            timeline.mark_stored(last);
            last
        }
        Err(error) => {
            log::debug!("timeline not stored: {error}");
            after
        }
    }
}

/// Names sort by time, whichever process they come from.
fn object_name(events: &[Event], last: Stamp) -> String {
    let process = events.first().map_or("", |event| &event.process);
    format!("timeline/{last:020}-{process}")
}

fn lines(events: &[Event]) -> Vec<u8> {
    let mut body = Vec::new();
    for event in events {
        body.extend(serde_json::to_vec(event).unwrap_or_default());
        body.push(b'\n');
    }
    body
}
