//! The task of a link, which is the owner's connection to one worker: keeps a renewal call open to
//! the worker, which renews the worker's lease and returns its reports.
//!
//! A report repeats the ends of runs until the owner acknowledges them with a later call. The
//! module `fencing` explains when that is safe: an acknowledgement that reaches another incarnation
//! of the worker than the one that reported the ends would delete ends that the owner has not
//! received.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use job::FencingToken;
use job::IncarnationId;
use job::WorkerInfo;
use job::WorkerKey;
use job::WorkerReport;
use platform::CommandReply;
use platform::LeaseRenewal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::LinkShared;
use super::clock_estimate::ClockEstimate;
use super::fencing::IdleMark;
use super::fencing::WorkerFencing;
use crate::Context;
use crate::OwnerMessage;
use crate::WorkerEvent;

/// Pause after the first failed call; it doubles with each further failure in a row.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after a failed call: about half of the time that remains of a worker's lease of
/// 4.5 s when the two calls after its last renewal have got no reply in time.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Maximum number of open calls to one worker, including those whose reply is late.
const MAX_CALLS: usize = 3;

/// Reason given for a call whose reply is late.
const LATE_REPLY: &str = "no reply in the time that workers usually take";

/// Shortest pause before the next call if the worker has ends that cannot be acknowledged yet,
/// since a start was in progress when the last answered call was sent.
const START_PAUSE: Duration = Duration::from_millis(20);

/// Reason given for a call that another incarnation of the worker has answered.
const OTHER_INCARNATION: &str = "another incarnation of the worker answers";

/// Reason given for a reply that does not name the worker's incarnation.
const NO_INCARNATION: &str = "worker report without an incarnation";

/// Longest wait until reported ends are saved, before the next call. A call sent before that could
/// not acknowledge them, and the worker would answer it at once with the same ends.
const SAVE_WAIT: Duration = Duration::from_millis(250);

/// Sends renewal calls to one worker and passes its reports on to the owner.
pub(super) struct RenewalTask {
    context: Context,
    key: WorkerKey,
    address: SocketAddr,
    id: String,
    fencing: Arc<WorkerFencing>,
    /// Incarnation of the worker; `None` if it is unknown.
    incarnation: Option<IncarnationId>,
    lease: Duration,
    sender: mpsc::Sender<OwnerMessage>,
    shared: LinkShared,
    /// Number of the newest end that is saved in the store.
    saved_end: watch::Receiver<u64>,
    /// Estimate of the worker's clock; `None` until its first report.
    clock: Option<ClockEstimate>,
    /// Whether the worker answered the last call. If so, the next one renews its lease and
    /// acknowledges ends. Calls to an unresponsive worker do neither: each of them might
    /// arrive, so that the lease would never expire and its tasks would never run again; and
    /// the worker may have started again, with ends of the same numbers that the owner has not
    /// received.
    renews: bool,
    /// Number of the newest end that the worker has reported.
    reported_end: u64,
    /// Number of the newest end that was acknowledged to the worker.
    acked_end: u64,
    /// Mark taken when the call of the newest report was sent, which proves that the report covers
    /// all starts sent until then; ends may be acknowledged while no start has been sent since.
    /// `None` if a start was in progress when that call was sent.
    idle_mark: Option<IdleMark>,
    /// Calls without a reply yet, including those whose reply is late.
    calls: JoinSet<RenewalReply>,
    /// The newest call, until it is answered or its reply is late.
    open_call: Option<RenewalCall>,
    /// Time at which the newest call was sent whose report was passed on.
    report_sent: Duration,
}

/// A renewal call, as needed to handle its reply.
#[derive(Clone, Copy, Debug)]
struct RenewalCall {
    /// When the call was sent, or would have been sent if there were not [`MAX_CALLS`] open calls.
    sent: Duration,
    token: FencingToken,
    /// Mark of the moment at which the call was sent; `None` if a start was in progress.
    idle_mark: Option<IdleMark>,
    /// How long the worker may delay its reply while it has no end to report.
    wait: Duration,
}

/// The result of a renewal call.
struct RenewalReply {
    call: RenewalCall,
    took: Duration,
    report: CommandReply<WorkerReport>,
}

/// Result of waiting for the open calls.
enum RenewalOutcome {
    /// The worker has sent a report.
    Report,
    /// The newest call did not reach the worker or got no usable reply, the worker refused it, or
    /// a call was answered by another incarnation of the worker or without an incarnation. The
    /// text is the reason for the log.
    Failure(String),
    /// The worker refused the call since a later command of this owner, with a higher token,
    /// reached it first.
    Superseded,
    /// No reply arrived in time.
    TimedOut,
    /// The link is to be closed: a reply shows that the incarnation has ended, or that the worker
    /// obeys a newer owner.
    Closed,
}

impl RenewalTask {
    /// Creates the task of a link to a worker. The last argument is the state that all links
    /// share, and the number of the newest end that is saved.
    pub(super) fn new(
        context: &Context,
        key: WorkerKey,
        info: &WorkerInfo,
        fencing: Arc<WorkerFencing>,
        sender: mpsc::Sender<OwnerMessage>,
        (shared, saved_end): (LinkShared, watch::Receiver<u64>),
    ) -> RenewalTask {
        RenewalTask {
            context: context.clone(),
            key,
            address: info.address,
            id: info.id.clone(),
            fencing,
            idle_mark: None,
            acked_end: 0,
            incarnation: info.incarnation,
            lease: context.settings.policy().lease,
            sender,
            shared,
            saved_end,
            clock: None,
            renews: false,
            reported_end: 0,
            calls: JoinSet::new(),
            open_call: None,
            report_sent: Duration::ZERO,
        }
    }

    /// Claims the worker, with a first call that carries this owner's epoch, and then renews its
    /// lease until the link is closed. The first call waits for one of the permits that limit the
    /// number of workers claimed at the same time.
    pub(super) async fn run(mut self) {
        // Whether the worker answered the last call.
        let mut reached = true;
        // Number of failed calls in a row.
        let mut failures = 0;
        // Acquiring fails only if the semaphore is closed, which never happens.
        let mut permit = self.shared.claim_permits.clone().acquire_owned().await.ok();
        loop {
            let call = self.send_call().await;
            let late_at = call.sent + call.wait + self.shared.latency.late_after();
            let mut outcome = self.await_reply(late_at).await;
            permit.take();
            let reason = match &outcome {
                RenewalOutcome::Failure(reason) => Some(reason.as_str()),
                RenewalOutcome::TimedOut => Some(LATE_REPLY),
                RenewalOutcome::Report | RenewalOutcome::Superseded | RenewalOutcome::Closed => {
                    None
                }
            };
            if let Some(reason) = reason {
                self.mark_unresponsive(reached, reason).await;
                reached = false;
                let pause = retry_pause(failures);
                failures += 1;
                outcome = self.await_reply(self.context.now() + pause).await;
            }
            match outcome {
                RenewalOutcome::Closed => return,
                RenewalOutcome::Failure(_)
                | RenewalOutcome::Superseded
                | RenewalOutcome::TimedOut => {}
                RenewalOutcome::Report => {
                    if !reached {
                        log::info!(
                            code = 348, worker = self.id.as_str();
                            "worker answers again; it may get new tasks"
                        );
                    }
                    reached = true;
                    failures = 0;
                }
            }
        }
    }

    /// Notifies the owner that the newest call failed or its reply is late. `reached` says whether
    /// the worker answered the call before.
    async fn mark_unresponsive(&mut self, reached: bool, reason: &str) {
        if let Some(open) = self.open_call.take() {
            // After this time, a reply that the worker sent before its lease expired is not
            // expected to arrive any more.
            let until = open.sent + open.wait + self.shared.latency.lost_after();
            self.notify_owner(WorkerEvent::Late(open.sent, until)).await;
        }
        self.renews = false;
        // A call that acknowledged ends may not have been carried out.
        self.acked_end = 0;
        self.notify_owner(WorkerEvent::Unresponsive).await;
        if reached {
            log::warn!(
                code = 347, worker = self.id.as_str(), reason = reason;
                "worker does not answer; calling it again, it gets no new tasks until it answers"
            );
        }
    }

    /// Sends a call to the worker, and returns it. If the newest call is open and its reply is not
    /// late, sends none and returns that call. If [`MAX_CALLS`] are open, sends none either; the
    /// returned call then only says until when a reply to the open ones is awaited.
    async fn send_call(&mut self) -> RenewalCall {
        if let Some(open) = self.open_call {
            return open;
        }
        let sent = self.context.now();
        let renewal = self.build_renewal(sent);
        let call = RenewalCall {
            sent,
            token: renewal.token,
            idle_mark: self.fencing.idle_mark(),
            wait: renewal.wait,
        };
        if self.calls.len() >= MAX_CALLS {
            return call;
        }
        if renewal.lease_expiry.is_some() {
            self.notify_owner(WorkerEvent::LeaseSent).await;
        }
        self.open_call = Some(call);
        let timeout = renewal.wait + self.shared.latency.call_timeout();
        let (context, address, id) = (self.context.clone(), self.address, self.id.clone());
        self.calls.spawn(async move {
            let report = context
                .commands
                .renew_lease(address, &id, renewal, timeout)
                .await;
            let took = context.now().saturating_sub(call.sent);
            RenewalReply { call, took, report }
        });
        call
    }

    /// Number of the end up to which the next call acknowledges ends (0 for none), and the call's
    /// token. `saved` is the number of the newest saved end. A worker that names its incarnation
    /// gets an acknowledgement only of ends that were not acknowledged before, and only if no start
    /// was sent since the call of its last report. If the call then reaches a later incarnation,
    /// that one has no ends to discard, or has carried out a later start, whose higher token makes
    /// it refuse the call.
    fn acknowledgement(&mut self, saved: u64) -> (u64, FencingToken) {
        let token = self.fencing.token();
        if !self.renews {
            return (0, token);
        }
        if self.incarnation.is_none() {
            return (saved, token);
        }
        let idle_mark = self.idle_mark.filter(|_| saved > self.acked_end);
        let Some(token) = idle_mark.and_then(|idle_mark| self.fencing.ack_token(idle_mark)) else {
            return (0, token);
        };
        self.acked_end = saved;
        (saved, token)
    }

    /// Builds the content of the next call. It renews the lease only if the worker answered the
    /// last call and the ownership of the pool is confirmed; it asks for a reply at once if the
    /// worker has ends to report or to be acknowledged.
    fn build_renewal(&mut self, sent: Duration) -> LeaseRenewal {
        let saved = *self.saved_end.borrow_and_update();
        let (acked_end, token) = self.acknowledgement(saved);
        let unacknowledged = self.reported_end > saved
            || self.incarnation.is_some() && self.reported_end > self.acked_end;
        let clock = self.clock.filter(|_| self.renews);
        let owned = sent < *self.shared.owned_until.borrow();
        let acknowledges = self.incarnation.is_some() && acked_end > 0;
        let wait = if unacknowledged || acknowledges || clock.is_none() {
            Duration::ZERO
        } else {
            *self.shared.reply_delay.borrow()
        };
        LeaseRenewal {
            token,
            acked_end,
            lease_expiry: clock
                .filter(|_| owned)
                .map(|clock| clock.worker_time(sent) + self.lease),
            wait,
        }
    }

    /// Waits until one of the open calls is answered, or until the time `until`. Late replies
    /// count too: they may report the end of a run. An error of a call that is not the newest one
    /// is ignored.
    async fn await_reply(&mut self, until: Duration) -> RenewalOutcome {
        loop {
            let remaining = until.saturating_sub(self.context.now());
            let reply = tokio::select! {
                Some(Ok(reply)) = self.calls.join_next() => reply,
                () = tokio::time::sleep(remaining) => return RenewalOutcome::TimedOut,
            };
            let is_newest = self
                .open_call
                .is_some_and(|open| open.sent == reply.call.sent);
            if is_newest {
                self.open_call = None;
            }
            match reply.report {
                CommandReply::Done(report) => {
                    self.record_latency(reply.call, reply.took);
                    let first_report =
                        self.report_sent == Duration::ZERO && self.incarnation.is_none();
                    if report.incarnation != self.incarnation && !first_report {
                        let reason = self.handle_other_incarnation(reply.call.sent, report).await;
                        return RenewalOutcome::Failure(reason.to_owned());
                    }
                    // Replies may arrive out of order.
                    if reply.call.sent >= self.report_sent {
                        self.report_sent = reply.call.sent;
                        self.idle_mark = reply.call.idle_mark;
                        self.handle_report(reply.call.sent, report).await;
                        return RenewalOutcome::Report;
                    }
                }
                // Refused due to a later command of this owner.
                CommandReply::Fenced if self.fencing.superseded(reply.call.token) => {
                    self.acked_end = 0;
                    if is_newest {
                        return RenewalOutcome::Superseded;
                    }
                }
                CommandReply::Fenced => {
                    self.notify_owner(WorkerEvent::Fenced).await;
                    return RenewalOutcome::Closed;
                }
                CommandReply::Replaced => {
                    self.notify_owner(WorkerEvent::Ended).await;
                    return RenewalOutcome::Closed;
                }
                CommandReply::Unknown(error) | CommandReply::Unreachable(error) if is_newest => {
                    return RenewalOutcome::Failure(error.to_string());
                }
                other if is_newest => return RenewalOutcome::Failure(format!("{other:?}")),
                _ => {}
            }
        }
    }

    /// Records how long a reply took beyond the time for which the worker may delay it.
    fn record_latency(&self, call: RenewalCall, took: Duration) {
        if let Some(time) = took.checked_sub(call.wait) {
            self.shared.latency.record(time);
        }
    }

    /// Passes a report on to the owner, and waits for [`SAVE_WAIT`] at most until the ends in it
    /// are saved.
    async fn handle_report(&mut self, sent: Duration, report: WorkerReport) {
        self.renews = true;
        self.incarnation = report.incarnation;
        self.clock = Some(ClockEstimate {
            reading: report.clock,
            read_at: self.context.now(),
        });
        let newest_end = report.ended.last().map_or(0, |end| end.number);
        self.reported_end = self.reported_end.max(newest_end);
        self.notify_owner(WorkerEvent::Reported(sent, report)).await;
        let reported_end = self.reported_end;
        let saved = self
            .saved_end
            .wait_for(|saved_end| *saved_end >= reported_end);
        // If the save takes longer, the next call is sent nevertheless: the worker's lease
        // must not expire while the store is down.
        let _ = tokio::time::timeout(SAVE_WAIT, saved).await;
        if self.incarnation.is_some()
            && self.reported_end > self.acked_end
            && self.idle_mark.is_none()
        {
            // The worker answers at once until its ends are acknowledged, which needs a moment
            // without starts in progress. Calls repeated without a pause would fill a slow
            // link.
            tokio::time::sleep(START_PAUSE.max(self.shared.latency.mean_latency())).await;
        }
    }

    /// Passes on a report of another incarnation than the one this link was opened for;
    /// returns the reason for the log. The owner decides whether the incarnation of this link
    /// has ended.
    async fn handle_other_incarnation(
        &mut self,
        sent: Duration,
        report: WorkerReport,
    ) -> &'static str {
        self.renews = false;
        if report.incarnation.is_none() {
            log::error!(
                code = 386, worker = self.id.as_str(), known = self.incarnation;
                "worker report does not name its incarnation; it is ignored and the worker called again"
            );
            return NO_INCARNATION;
        }
        self.notify_owner(WorkerEvent::Reported(sent, report)).await;
        OTHER_INCARNATION
    }

    async fn notify_owner(&self, event: WorkerEvent) {
        // Fails only if the owner has ended, and then this task is about to end as well.
        let _ = self
            .sender
            .send(OwnerMessage::Worker(self.key, event))
            .await;
    }
}

/// Pause after this number of failed calls in a row.
fn retry_pause(failures: u32) -> Duration {
    let pause = RETRY_PAUSE.saturating_mul(1 << failures.min(8));
    pause.min(MAX_RETRY_PAUSE)
}
