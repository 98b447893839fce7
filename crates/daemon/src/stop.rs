//! The planned stop of a process, in steps that each have a timeout.
//!
//! Platforms kill a process about 30 s after SIGTERM. The timeouts add up to less, so the
//! stop completes in time even if the platform's services, the other processes or the
//! callers do not respond. Each step records an event that says what it left undone.

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

/// Timeout of the hand-over. A shard has 5 s to finish its journal, then one or two calls
/// to the table follow.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a stopping process still accepts requests, so that the load balancer sees
/// the failing health check before connections are refused.
const BALANCER_GRACE: Duration = Duration::from_millis(1500);

/// Timeout for the answers to requests in progress. Equals the wait of a caller that only
/// needs to know whether its request was accepted.
const ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for sending the remaining callers their pending answers, and again for closing
/// the connections to the other processes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

impl Process {
    /// Stops the process as planned: hands the shards over and lets the requests in progress
    /// finish, without refusing any. Callers of long tasks get a pending answer and ask
    /// another process.
    pub async fn close(mut self) {
        self.context.timeline.record(Event::new(Kind::StopBegan));
        self.stopping.send_replace(true);
        self.hand_over().await;
        tokio::time::sleep(BALANCER_GRACE).await;
        self.stop.send_replace(true);
        self.drain_callers().await;
        self.tasks.close();
        let _ = timeout(CLOSE_TIMEOUT, self.node.close()).await;
        self.context.timeline.record(Event::new(Kind::Stopped));
        upload_since(&self.context.objects, &self.context.timeline, 0).await;
    }

    /// Tells the shard manager to hand the shards over and records the result.
    async fn hand_over(&self) {
        let began = Instant::now();
        let reply = async {
            let (done, left) = oneshot::channel();
            self.shard_manager
                .send(ShardManagerCommand::Leave(done))
                .await
                .ok()?;
            left.await.ok()
        };
        let outcome = match timeout(HANDOVER_TIMEOUT, reply).await {
            Ok(Some(handover)) => describe(handover),
            Ok(None) => "hand-over: not made, the keeper task has ended".to_owned(),
            Err(_) => "hand-over: timed out".to_owned(),
        };
        self.record_step(began, &outcome);
    }

    /// Waits for the answers to open requests, then sends a pending answer to the callers that
    /// still wait.
    ///
    /// A request may run for longer than the platform lets this process stop. Waiting for its
    /// answer would end in a kill that breaks all connections, so callers that still wait
    /// after [`ANSWERS_TIMEOUT`] get a pending answer.
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
        let outcome =
            format!("callers: {open} requests got a pending answer, connections {connections}");
        self.record_step(began, &outcome);
    }

    /// Records an event with the outcome and the duration of a step of the stop.
    fn record_step(&self, began: Instant, outcome: &str) {
        let took = began.elapsed().as_millis();
        let event = Event::new(Kind::StopStep).detail(format!("{outcome}; {took} ms"));
        self.context.timeline.record(event);
    }
}

fn describe(handover: HandoverReport) -> String {
    let HandoverReport {
        confirmed,
        unconfirmed,
        lease_deleted,
    } = handover;
    let lease = if lease_deleted { "gone" } else { "may stand" };
    format!("hand-over: {confirmed} shards confirmed, {unconfirmed} not, lease {lease}")
}
