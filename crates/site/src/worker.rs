//! Simulated worker: leases, fencing tokens, runs and their ends.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::DRAIN_BOUND;
use crate::DelayPlan;
use crate::GONE;
use crate::LEFT;
use crate::RunLog;
use crate::WorkerEvent;
use crate::cores::Cores;
use crate::delayed::DelayedCommands;
use crate::finish::Finish;
use crate::wall_millis;

/// Time between two checks for ended runs while a lease renewal waits for one.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of ended runs that a worker lists at a time, the oldest first.
const MAX_LISTED_ENDS: usize = 500;

/// Time until the owner has received a reported end, in tests in which no report is lost.
const REPORT_TIME: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Run {
    number: u64,
    begin: Instant,
    /// Time at which the run ends by itself.
    end: Instant,
    finish: Finish,
}

impl Run {
    /// Returns the progress in percent, 0 to 100.
    fn percent(&self) -> u128 {
        let total = (self.end - self.begin).as_millis().max(1);
        (self.begin.elapsed().as_millis() * 100 / total).min(100)
    }
}

/// A run that has ended; `how` is the kind of end, as in [`WorkerEvent::Ended`].
#[derive(Debug)]
struct Ended {
    /// Number of the end; the owner acknowledges all ends up to a number.
    number: u64,
    task: String,
    run: u64,
    how: String,
    /// Time of the first worker report that listed the end.
    listed: Option<Instant>,
}

impl Ended {
    /// Whether the owner must have received the end, in tests in which no report is lost.
    fn reported(&self) -> bool {
        self.listed
            .is_some_and(|listed| listed.elapsed() > REPORT_TIME)
    }
}

#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // independent flags
struct State {
    highest_token: u64,
    /// Expiry of the lease, in milliseconds of the worker's clock.
    lease_expiry: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    /// Number of runs that have ended; each end gets the next number.
    end_count: u64,
    /// [`FakeWorker::discard_ends`] has checked the ends up to this number.
    discarded_upto: u64,
    /// Highest run of each task that has ended or was stopped; starts up to it are refused.
    latest_ended: HashMap<String, u64>,
    /// Calls get no reply.
    silent: bool,
    dead: bool,
    crashed: bool,
    /// When the worker began to drain.
    draining_since: Option<Instant>,
    capacity: Cores,
    /// Longest time for which a start was still valid when it arrived.
    longest_validity: Duration,
    /// Number of the next start commands that are carried out but get no reply.
    unanswered_starts: usize,
    /// Commands with this fencing token or a higher one are dropped.
    cut_from: Option<u64>,
    /// Commands with this fencing token or a lower one are dropped.
    cut_upto: u64,
    delayed: DelayedCommands,
    reply_delay: Duration,
    omits_incarnation: bool,
    /// No worker report is lost in the test; see [`FakeWorker::set_undisturbed`].
    undisturbed: bool,
}

/// A simulated worker.
#[derive(Debug)]
pub struct FakeWorker {
    /// Id of the worker.
    pub id: String,
    /// Start of this incarnation in Unix milliseconds, which identifies it.
    pub incarnation: u64,
    /// Time at which the worker's clock is 0.
    origin: Instant,
    state: Mutex<State>,
    log: RunLog,
}

impl FakeWorker {
    /// Creates a worker that records its runs in `log`.
    #[must_use]
    pub fn new(id: &str, log: RunLog) -> Arc<FakeWorker> {
        Arc::new(FakeWorker {
            id: id.to_owned(),
            incarnation: wall_millis(),
            origin: Instant::now(),
            state: Mutex::default(),
            log,
        })
    }

    /// Ends this incarnation and returns the next one under the same id, which has the start
    /// time `incarnation`, no runs and no ends. Delayed commands that this incarnation has not
    /// carried out reach the next one.
    pub(crate) fn next_incarnation(&self, incarnation: u64) -> Arc<FakeWorker> {
        let delayed = std::mem::take(&mut self.lock().delayed);
        self.die();
        Arc::new(FakeWorker {
            id: self.id.clone(),
            incarnation,
            origin: Instant::now(),
            state: Mutex::new(State {
                delayed,
                ..State::default()
            }),
            log: self.log.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the worker's clock in milliseconds; it starts at 0 with each incarnation.
    fn clock(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Carries out delayed commands and ends runs that are due, even if the worker is silent.
    pub fn tick(&self) {
        let mut state = self.lock();
        self.process_due(&mut state);
    }

    /// Sets whether the worker leaves all calls unanswered; its runs continue.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Ends the incarnation: its runs end, and it never answers again.
    pub fn die(&self) {
        self.go_down(&mut self.lock());
    }

    fn go_down(&self, state: &mut State) {
        state.silent = true;
        state.dead = true;
        state.delayed.clear();
        // Ends that the worker still lists will never be acknowledged.
        self.discard_ends(state);
        for (task, run) in std::mem::take(&mut state.running) {
            let how = if state.draining_since.is_some() {
                LEFT
            } else {
                GONE
            };
            let how = how.to_owned();
            self.log
                .push(WorkerEvent::Ended(self.id.clone(), task, run.number, how));
        }
    }

    /// Lets the worker drain: its next registration says so, and is to be written at once.
    pub fn drain(&self) {
        self.lock().draining_since.get_or_insert_with(Instant::now);
    }

    pub(crate) fn draining(&self) -> bool {
        self.lock().draining_since.is_some()
    }

    /// Whether a task has crashed the worker.
    #[must_use]
    pub fn crashed(&self) -> bool {
        self.lock().crashed
    }

    /// Sets the number of cores; current runs continue.
    pub fn set_cores(&self, cores: usize) {
        self.lock().capacity.set(cores);
    }

    /// Returns the current number of cores.
    pub(crate) fn cores(&self) -> usize {
        self.lock().capacity.current()
    }

    /// Whether the incarnation has ended.
    #[must_use]
    pub fn dead(&self) -> bool {
        self.lock().dead
    }

    /// Carries out the next `count` start commands without answering them.
    pub fn lose_start_replies(&self, count: usize) {
        self.lock().unanswered_starts = count;
    }

    /// Drops commands with the fencing token `epoch` or a higher one, as later owners send.
    pub fn cut_from_epoch(&self, epoch: Option<u64>) {
        self.lock().cut_from = epoch;
    }

    /// Drops commands with the fencing token `epoch` or a lower one, as earlier owners send.
    pub fn cut_upto_epoch(&self, epoch: u64) {
        self.lock().cut_upto = epoch;
    }

    /// Delays each reply; a reply contains the state before the delay.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().reply_delay = delay;
    }

    /// Declares that no worker report is lost in the test. Then an end counts 100 ms after a report
    /// first listed it, even if the lease expires before the owner has acknowledged it.
    pub fn set_undisturbed(&self, undisturbed: bool) {
        self.lock().undisturbed = undisturbed;
    }

    /// Sets whether worker reports and registrations omit the incarnation, as in other releases.
    pub fn set_omits_incarnation(&self, omits_incarnation: bool) {
        self.lock().omits_incarnation = omits_incarnation;
    }

    pub(crate) fn omits_incarnation(&self) -> bool {
        self.lock().omits_incarnation
    }

    /// Sets which commands are left unanswered and carried out later.
    pub fn set_delay_plan(&self, plan: DelayPlan) {
        self.lock().delayed.set_plan(plan);
    }

    /// Returns the highest fencing token that this incarnation has received.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.lock().highest_token
    }

    /// Returns the number of runs that are active or being stopped.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Returns the number of runs that have ended in this incarnation.
    #[must_use]
    pub fn ends(&self) -> u64 {
        self.lock().end_count
    }

    /// Returns the longest time for which a start was still valid when it arrived: after that time
    /// the worker would have refused it.
    #[must_use]
    pub fn longest_validity(&self) -> Duration {
        self.lock().longest_validity
    }

    /// Returns the number of unanswered start commands that are not carried out yet.
    #[must_use]
    pub fn delayed_starts(&self) -> usize {
        self.lock().delayed.starts()
    }

    /// Returns the number of unanswered lease renewals that are not carried out yet.
    #[must_use]
    pub fn delayed_renewals(&self) -> usize {
        self.lock().delayed.renewals()
    }

    /// Carries out delayed commands and ends runs that are due.
    fn process_due(&self, state: &mut State) {
        self.end_due_runs(state);
        while let Some(command) = state.delayed.take_due() {
            if self.execute(state, &command.path, &command.body).is_none() {
                self.renew(state, &command.body);
            }
            self.end_due_runs(state);
        }
    }

    /// Ends the runs whose run time is over or whose lease has expired.
    fn end_due_runs(&self, state: &mut State) {
        let now = Instant::now();
        let expired = state.lease_expiry <= self.clock();
        let due: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| expired || run.end <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let run = &state.running[&task];
            let how = match (run.end <= now, run.finish) {
                (false, _) => "lapsed",
                (true, Finish::Fails) => "failed",
                (true, Finish::Done) => "done",
                (true, Finish::Crashes) => {
                    state.crashed = true;
                    self.go_down(state);
                    return;
                }
            };
            self.end(state, &task, how);
        }
        if expired {
            self.discard_ends(state);
        }
    }

    /// Records that unacknowledged ends are void: the lease has expired or the worker went down.
    fn discard_ends(&self, state: &mut State) {
        let (discarded_upto, undisturbed) = (state.discarded_upto, state.undisturbed);
        let settled = |end: &&Ended| end.number <= discarded_upto || undisturbed && end.reported();
        let discarded = state.ended.iter().filter(|end| !settled(end));
        for end in discarded {
            self.log
                .push(WorkerEvent::Discarded(end.task.clone(), end.run));
        }
        state.discarded_upto = state.end_count;
    }

    fn end(&self, state: &mut State, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.end_count += 1;
        state.ended.push(Ended {
            number: state.end_count,
            task: task.to_owned(),
            run: run.number,
            how: how.to_owned(),
            listed: None,
        });
        state.latest_ended.insert(task.to_owned(), run.number);
        let (task, how) = (task.to_owned(), how.to_owned());
        self.log
            .push(WorkerEvent::Ended(self.id.clone(), task, run.number, how));
    }

    /// Refuses a command: `late` if its lease has already expired, `old` if this run of the task or
    /// a later one has ended, `fence` if its fencing token is outdated.
    fn refuse(&self, reason: &str) -> HttpResponse {
        let body = json!({"clock_ms": self.clock(), "reason": reason});
        web::json(StatusCode::CONFLICT, &body)
    }

    /// Starts a run unless its task runs already, and extends the lease.
    fn start(&self, state: &mut State, body: &Value) -> HttpResponse {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let lease_expiry = body["deadline_ms"].as_u64().unwrap_or(0);
        let Some(validity) = lease_expiry
            .checked_sub(self.clock())
            .filter(|left| *left > 0)
        else {
            return self.refuse("late");
        };
        let validity = Duration::from_millis(validity);
        state.longest_validity = state.longest_validity.max(validity);
        state.lease_expiry = state.lease_expiry.max(lease_expiry);
        if state
            .latest_ended
            .get(&task)
            .is_some_and(|latest_ended| *latest_ended >= run)
        {
            return self.refuse("old");
        }
        if !state.running.contains_key(&task) {
            let payload = body["spec"].as_str().unwrap_or_default();
            let (finish, time) = Finish::parse(payload, &task);
            let started = Run {
                number: run,
                begin: Instant::now(),
                end: Instant::now() + time,
                finish,
            };
            state.running.insert(task.clone(), started);
            self.log
                .push(WorkerEvent::Started(self.id.clone(), task.clone(), run));
            let draining = state.draining_since.map(|since| since.elapsed());
            if let Some(after) = draining.filter(|after| *after > DRAIN_BOUND) {
                self.log.push(WorkerEvent::StartedDraining(
                    self.id.clone(),
                    task.clone(),
                    run,
                    after,
                ));
            }
            if state.running.len() > state.capacity.allowed() {
                self.log
                    .push(WorkerEvent::Overbooked(self.id.clone(), task));
            }
        }
        web::json(StatusCode::OK, &json!({"clock_ms": self.clock()}))
    }

    fn stop(&self, state: &mut State, body: &Value) -> HttpResponse {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let latest_ended = state.latest_ended.entry(task.to_owned()).or_default();
        *latest_ended = run.max(*latest_ended);
        if state
            .running
            .get(task)
            .is_some_and(|started| started.number == run)
        {
            self.end(state, task, "stopped");
        }
        web::json(StatusCode::OK, &json!({"clock_ms": self.clock()}))
    }

    /// Extends the lease and removes acknowledged ends; returns a report and whether it has ends.
    fn renew(&self, state: &mut State, body: &Value) -> (Value, bool) {
        if let Some(lease_expiry) = body["deadline_ms"].as_u64() {
            state.lease_expiry = state.lease_expiry.max(lease_expiry);
        }
        let acknowledged = body["seen_upto"].as_u64().unwrap_or(0);
        for end in state.ended.extract_if(.., |end| end.number <= acknowledged) {
            self.log
                .push(WorkerEvent::Acknowledged(end.task, end.run, end.how));
        }
        // The empty text is the checkpoint of the run, here and in the list of ends.
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, run)| json!([task, run.number, "", run.percent()]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter_mut()
            .take(MAX_LISTED_ENDS)
            .map(|end| {
                end.listed.get_or_insert_with(Instant::now);
                json!([end.number, end.task, end.run, end.how, ""])
            })
            .collect();
        let mut body = json!({
            "clock_ms": self.clock(), "born": self.incarnation, "running": running, "ended_runs": ended,
        });
        if state.omits_incarnation {
            body["born"] = Value::Null;
        }
        (body, !state.ended.is_empty())
    }

    /// Replies to a lease renewal when a run has ended, or after the wait that it asks for.
    async fn wait_for_end(&self, body: &Value) -> HttpResponse {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let (reply, ends, dead) = {
                let mut state = self.lock();
                self.process_due(&mut state);
                let (reply, ends) = self.renew(&mut state, body);
                (reply, ends, state.dead)
            };
            if dead {
                // The worker has gone down since the call arrived.
                std::future::pending::<()>().await;
            }
            if ends || Instant::now() >= until {
                return web::json(StatusCode::OK, &reply);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Checks and stores the fencing token; returns the refusal of an outdated one.
    fn check_token(&self, state: &mut State, body: &Value) -> Option<HttpResponse> {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < state.highest_token {
            return Some(self.refuse("fence"));
        }
        state.highest_token = token;
        None
    }

    /// Carries out a command; returns none for an accepted renewal, which may wait for an end.
    fn execute(&self, state: &mut State, path: &str, body: &Value) -> Option<HttpResponse> {
        if let Some(refused) = self.check_token(state, body) {
            return Some(refused);
        }
        match path {
            "/-/run-start" => Some(self.start(state, body)),
            "/-/run-stop" => Some(self.stop(state, body)),
            _ => None,
        }
    }
}

impl Handler for FakeWorker {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (response, unanswered) = {
            let mut state = self.lock();
            self.process_due(&mut state);
            // A fencing token is its owner's epoch plus the number of times that it was raised.
            let token = body["fencing_token"].as_u64().unwrap_or(0);
            let later = state.cut_from.is_some_and(|from| token >= from);
            let cut = later || token <= state.cut_upto;
            if state.silent || cut || state.delayed.defer(&request.path, &body) {
                (None, true)
            } else {
                let unanswered = request.path == "/-/run-start" && state.unanswered_starts > 0;
                state.unanswered_starts -= usize::from(unanswered);
                (self.execute(&mut state, &request.path, &body), unanswered)
            }
        };
        if unanswered {
            std::future::pending::<()>().await;
        }
        let response = match response {
            Some(response) => response,
            None => self.wait_for_end(&body).await,
        };
        let delay = self.lock().reply_delay;
        tokio::time::sleep(delay).await;
        response
    }
}
