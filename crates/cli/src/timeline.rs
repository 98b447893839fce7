//! `clovermount timeline`: prints the events of all processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use event::Event;
use event::stamp_millis;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;

use crate::api::Api;
use crate::api::print_json;
use crate::error::CliError;
use crate::error::FileSnafu;
use crate::exit::SUCCESS;

/// print the events of all processes, including those that have ended, sorted by
/// causal timestamp
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct TimelineCommand {
    /// address of an entry process, as IP:PORT (default `CLOVERMOUNT_SERVER`);
    /// repeat the option to include the latest events of further processes, which
    /// are not stored yet
    #[argh(option)]
    server: Vec<SocketAddr>,
    /// print only events of this request
    #[argh(option)]
    request: Option<String>,
    /// print only events of this worker
    #[argh(option)]
    worker: Option<String>,
    /// print only events of this shard
    #[argh(option)]
    shard: Option<u16>,
    /// write the events to this file in the Chrome trace format, for a trace
    /// viewer, instead of printing them
    #[argh(option)]
    trace: Option<PathBuf>,
    /// print as JSON
    #[argh(switch)]
    json: bool,
}

impl TimelineCommand {
    pub(crate) async fn run(self) -> Result<u8, CliError> {
        let first = Api::open(self.server.first().copied())?;
        let mut events: Vec<Event> = first.get("/v1/timeline").await?;
        for server in self.server.iter().skip(1) {
            let recent: Vec<Event> = first.with_server(*server).get("/v1/events").await?;
            events.extend(recent);
        }
        events.retain(|event| self.matches(event));
        events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
        events.dedup_by(|a, b| a.stamp == b.stamp && a.process == b.process);
        if let Some(path) = &self.trace {
            let text = chrome_trace(&events).to_string();
            std::fs::write(path, text).context(FileSnafu { path })?;
            return Ok(SUCCESS);
        }
        if self.json {
            print_json(&events);
            return Ok(SUCCESS);
        }
        for event in &events {
            println!("{}", format_event(event));
        }
        Ok(SUCCESS)
    }

    fn matches(&self, event: &Event) -> bool {
        // Events name a request by its key, `TEAM/ID`; the option may be the key or
        // the id alone.
        let matches_id = |text: &Option<String>, wanted: &str| {
            text.as_ref()
                .is_some_and(|text| text == wanted || text.ends_with(&format!("/{wanted}")))
        };
        self.request
            .as_ref()
            .is_none_or(|wanted| matches_id(&event.request, wanted))
            && self
                .worker
                .as_ref()
                .is_none_or(|wanted| matches_id(&event.worker, wanted))
            && self.shard.is_none_or(|wanted| event.shard == Some(wanted))
    }
}

fn format_event(event: &Event) -> String {
    let shard = event
        .shard
        .map_or_else(|| "-".to_owned(), |shard| shard.to_string());
    format!(
        "{} {} {} {} shard={shard} request={} worker={} {}",
        stamp_millis(event.stamp),
        event.process,
        event.kind.number(),
        event.kind,
        event.request.as_deref().unwrap_or("-"),
        event.worker.as_deref().unwrap_or("-"),
        event.detail
    )
}

/// Converts the events to the Chrome trace format, as instant events with one
/// row per process.
fn chrome_trace(events: &[Event]) -> Value {
    let rows: Vec<Value> = events
        .iter()
        .map(|event| {
            json!({
                "name": event.kind.to_string(),
                "ph": "i",
                "s": "p",
                "ts": stamp_millis(event.stamp) * 1000,
                "pid": event.process,
                "tid": event.shard.unwrap_or_default(),
                "args": {
                    "request": event.request,
                    "worker": event.worker,
                    "detail": event.detail,
                },
            })
        })
        .collect();
    json!({ "traceEvents": rows })
}
