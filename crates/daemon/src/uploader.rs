//! Uploads the timeline to the platform's object store at a bounded rate, so that the events
//! of a process can be read after it has ended.

use std::sync::Arc;
use std::time::Duration;

use event::Event;
use event::Stamp;
use event::Timeline;
use store::ObjectStore;

/// Interval between uploads. Each writes one object if there are new events.
const UPLOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of events in one object; the rest goes into the next object.
const MAX_EVENTS: usize = 4000;

/// Uploads new events until the process ends. While the object store is down, events stay in
/// the timeline's ring buffer, which drops the oldest when it is full.
pub async fn upload_events<O: ObjectStore>(objects: O, timeline: Arc<Timeline>) {
    let mut after = 0;
    loop {
        tokio::time::sleep(UPLOAD_INTERVAL).await;
        after = upload_since(&objects, &timeline, after).await;
    }
}

/// Uploads events newer than `after` and returns the stamp of the last stored event.
pub async fn upload_since<O: ObjectStore>(objects: &O, timeline: &Timeline, after: Stamp) -> Stamp {
    let events = timeline.events_after(after, MAX_EVENTS);
    let Some(last) = events.last().map(|event| event.stamp) else {
        return after;
    };
    match objects
        .put(&object_name(&events, last), to_json_lines(&events))
        .await
    {
        Ok(()) => {
            timeline.mark_stored(last);
            last
        }
        Err(error) => {
            log::debug!("timeline upload failed, will retry: {error}");
            after
        }
    }
}

/// Object names begin with the stamp, so that objects of all processes sort by time.
fn object_name(events: &[Event], last: Stamp) -> String {
    let process = events.first().map_or("", |event| &event.process);
    format!("timeline/{last:020}-{process}")
}

fn to_json_lines(events: &[Event]) -> Vec<u8> {
    let mut body = Vec::new();
    for event in events {
        body.extend(serde_json::to_vec(event).unwrap_or_default());
        body.push(b'\n');
    }
    body
}
