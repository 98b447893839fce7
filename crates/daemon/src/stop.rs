//! The planned stop of a process: its steps, each within a bound of its own.
//!
//! A platform gives a process some 30 s between asking it to stop and killing
//! it. So the steps together take less, whatever the platform's services, the
//! other processes or the callers do; what a step left undone is logged.

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

/// Longest wait for the end of the hand-over. A shard has 5 s to finish its
/// journal, after that a call to the table or two follow.
const HANDOVER: Duration = Duration::from_secs(8);

/// Time for which a leaving process still takes requests, so that the
/// balancer has seen its health and none is refused.
const BALANCER_GRACE: Duration = Duration::from_millis(1500);

/// Longest wait for the answers to requests in progress; as long as a caller
/// waits who only wants to know that a request was accepted.
const CALLERS: Duration = Duration::from_secs(10);

/// Longest wait for the callers to take in that they have to ask elsewhere,
/// and for the other processes to take in that this one is gone.
const FAREWELL: Duration = Duration::from_secs(1);

impl Process {
    /// Planned stop: hands the shards over, lets the requests in progress
    /// finish, refuses none. Callers of long tasks are told to ask again.
    pub async fn close(mut self) {
        self.context.timeline.record(Event::new(Kind::StopBegan));
        self.leaving.send_replace(true);
        self.hand_over().await;
        tokio::time::sleep(BALANCER_GRACE).await;
        self.stop.send_replace(true);
        self.serve_out().await;
        self.tasks.close();
        let _ = timeout(FAREWELL, self.node.close()).await;
        self.context.timeline.record(Event::new(Kind::Stopped));
        upload_since(&self.context.objects, &self.context.timeline, 0).await;
    }

    async fn hand_over(&self) {
        let began = Instant::now();
        let order = async {
            let (done, left) = oneshot::channel();
            self.keeper
                .send(ShardManagerCommand::Leave(done))
                .await
                .ok()?;
            left.await.ok()
        };
        let how = match timeout(HANDOVER, order).await {
            Ok(Some(handover)) => describe(handover),
            Ok(None) => "hand-over: nobody to make it".to_owned(),
            Err(_) => "hand-over: cut short".to_owned(),
        };
        self.record_step(began, &how);
    }

    /// Waits for the callers. A request may run for longer than this process
    /// has time, wherever it runs; a stop that waits for its answer is killed
    /// by the platform and breaks the connections of all. So callers that
    /// still wait are told in time that there is no answer yet.
    async fn serve_out(&mut self) {
        let began = Instant::now();
        if timeout(CALLERS, &mut self.tasks.http).await.is_ok() {
            self.record_step(began, "callers: all connections have ended");
            return;
        }
        let open = self.flight.count();
        self.dismiss.send_replace(true);
        let ended = timeout(FAREWELL, &mut self.tasks.http).await.is_ok();
        let rest = if ended { "ended" } else { "cut" };
        let how = format!("callers: {open} requests sent elsewhere, connections {rest}");
        self.record_step(began, &how);
    }

    fn record_step(&self, began: Instant, how: &str) {
        let took = began.elapsed().as_millis();
        let event = Event::new(Kind::StopStep).detail(format!("{how}; {took} ms"));
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
