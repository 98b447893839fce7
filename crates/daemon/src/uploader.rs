//! Uploads the timeline (the recent events of a process) to the platform's object store at a
//! bounded rate, so that the events can be read after the process has ended.

use std::sync::Arc;
use std::time::Duration;

use event::Event;
use event::Stamp;
use event::Timeline;
use store::ObjectStore;

/// Interval between uploads. Each upload writes one object, or none if there are no new events.
const UPLOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of events in one object; the next upload continues with the rest.
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

/// Uploads events newer than the timestamp `after`, at most 4000, as one object. Returns the
/// timestamp of the last one stored: `after` if there are none or the upload fails.
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
            log::debug!(
                "upload of events to the object store failed, they stay in memory: {error}"
            );
            after
        }
    }
}

/// Name of the object for these events. It begins with the timestamp of the last one, so that the
/// objects of all processes sort by time.
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
