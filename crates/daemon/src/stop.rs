//! The planned stop of a process, in steps that each have a timeout.
//!
//! Platforms kill a process about 30 s after SIGTERM. The timeouts add up to less, so the
//! stop completes in time even if the platform's services, the other processes or the
//! callers do not respond. The hand-over of the shards and the wait for callers each record an
//! event that says what was not completed.

use std::time::Duration;
use std::time::Instant;

use event::Event;
use event::Kind;
use shard::HandoverReport;
use shard::ShardManagerCommand;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Process;
use crate::upload_since;

/// Timeout of the hand-over of all shards. A shard has 5 s to finish its journal, then one or
/// two calls to the table follow.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a stopping process still accepts requests, so that the load balancer sees
/// the failing health check before connections are refused.
const BALANCER_GRACE: Duration = Duration::from_millis(1500);

/// Timeout for the answers to requests in progress. Equals the default wait of a submission
/// with `wait=false`, whose caller waits only until the request is accepted.
const ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of two steps: of answering the callers that still wait after [`ANSWERS_TIMEOUT`],
/// and of closing the connections to the other processes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

impl Process {
    /// Stops the process as planned: transfers its shards to other processes and lets the
    /// requests in progress finish, without refusing any. Callers of requests that run for longer
    /// than the stop waits (10 s) are answered that these are still pending, and can ask another
    /// process.
    pub async fn close(mut self) {
        self.context.timeline.record(Event::new(Kind::StopBegan));
        self.stopping.send_replace(true);
        self.hand_over().await;
        tokio::time::sleep(BALANCER_GRACE).await;
        self.stop_http.send_replace(true);
        self.drain_callers().await;
        self.tasks.abort();
        let _ = timeout(CLOSE_TIMEOUT, self.endpoint.close()).await;
        self.context.timeline.record(Event::new(Kind::Stopped));
        // Starts with the oldest event in memory and uploads as many as one object may contain.
        upload_since(&self.context.objects, &self.context.timeline, 0).await;
    }

    /// Has the shard manager transfer all shards to other processes and delete the lease of this
    /// process, and records the result.
    async fn hand_over(&self) {
        let began = Instant::now();
        let reply = async {
            let (report_sender, report) = oneshot::channel();
            self.shard_manager
                .send(ShardManagerCommand::Leave(report_sender))
                .await
                .ok()?;
            report.await.ok()
        };
        let outcome = match timeout(HANDOVER_TIMEOUT, reply).await {
            Ok(Some(report)) => describe(report),
            Ok(None) => {
                "hand-over: failed, the shard manager (async task keeper) has ended".to_owned()
            }
            Err(_) => "hand-over: timed out, no result from the shard manager".to_owned(),
        };
        self.record_step(began, &outcome);
    }

    /// Waits for the answers to the requests in progress, at most for [`ANSWERS_TIMEOUT`], and
    /// then answers the callers that still wait that their request is pending.
    ///
    /// A request may run for longer than the time that the platform allows for a stop. If this
    /// process waited for the answer, the platform would kill it, which breaks all connections.
    async fn drain_callers(&mut self) {
        let began = Instant::now();
        if timeout(ANSWERS_TIMEOUT, &mut self.tasks.http).await.is_ok() {
            self.record_step(began, "callers: all connections have ended");
            return;
        }
        let open = self.in_flight.count();
        self.redirect_callers.send_replace(true);
        let ended = timeout(CLOSE_TIMEOUT, &mut self.tasks.http).await.is_ok();
        let connections = if ended { "ended" } else { "cut" };
        let outcome = format!(
            "callers: {open} still waited and were answered as pending, connections {connections}"
        );
        self.record_step(began, &outcome);
    }

    /// Records an event with the outcome and the duration of a step of the stop.
    fn record_step(&self, began: Instant, outcome: &str) {
        let took = began.elapsed().as_millis();
        let event = Event::new(Kind::StopStep).detail(format!("{outcome}; {took} ms"));
        self.context.timeline.record(event);
    }
}

fn describe(report: HandoverReport) -> String {
    let HandoverReport {
        confirmed,
        unconfirmed,
        lease_deleted,
    } = report;
    let lease = if lease_deleted {
        "gone"
    } else {
        "may remain until it expires"
    };
    format!(
        "hand-over: confirmed for {confirmed} shards, not confirmed for {unconfirmed}, lease {lease}"
    )
}
