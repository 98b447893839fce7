//! Stand-in of a worker: leases, fences, runs and their ends.

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
use web::Asked;
use web::Handler;
use web::Whole;

use crate::DelayPlan;
use crate::RunLog;
use crate::WorkerEvent;
use crate::cores::Cores;
use crate::delayed::DelayedCommands;
use crate::finish::Finish;
use crate::wall_millis;

/// Time between two looks for ends while a call waits for one.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which an end counts as told once the worker has listed it, with no
/// disruption near.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// A run at work.
#[derive(Debug)]
struct Run {
    number: u64,
    begin: Instant,
    end: Instant,
    finish: Finish,
}

impl Run {
    /// Progress, 0 to 100.
    fn percent(&self) -> u128 {
        let whole = (self.end - self.begin).as_millis().max(1);
        (self.begin.elapsed().as_millis() * 100 / whole).min(100)
    }
}

/// A run that has ended.
#[derive(Debug)]
struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: String,
    /// When it was listed first.
    listed: Option<Instant>,
}

impl Ended {
    /// Whether it counts as told, with no disruption near.
    fn reported(&self) -> bool {
        self.listed
            .is_some_and(|listed| listed.elapsed() > REPORT_TIME)
    }
}

#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // independent facts
struct State {
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    count: u64,
    /// Ends up to this number do not stand.
    discarded_upto: u64,
    latest_ended: HashMap<String, u64>,
    silent: bool,
    dead: bool,
    /// A task took it down.
    crashed: bool,
    capacity: Cores,
    lose_start_replies: usize,
    /// Orders of this epoch and later ones do not arrive.
    cut_from: Option<u64>,
    /// Orders of this epoch and earlier ones do not arrive.
    cut_upto: u64,
    delayed: DelayedCommands,
    /// Answers take so much longer.
    delay: Duration,
    /// Its lists do not name its life.
    omits_incarnation: bool,
    /// No disruption is near: ends count as told once they were listed.
    undisturbed: bool,
}

/// A worker.
#[derive(Debug)]
pub struct FakeWorker {
    /// The worker.
    pub id: String,
    /// Unix milliseconds at the start of this life of it.
    pub incarnation: u64,
    origin: Instant,
    state: Mutex<State>,
    log: RunLog,
}

impl FakeWorker {
    /// A worker that logs to `log`.
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

    /// The next life of the worker under its id, which is born at `born`. It holds and
    /// knows nothing of before; orders that this life has left unanswered are still to
    /// come.
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

    fn clock(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends what is due, also while nobody reaches the worker.
    pub fn tick(&self) {
        let mut state = self.lock();
        self.process_due(&mut state);
    }

    /// Whether the worker answers nobody; its runs go on.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// The worker dies: its runs are over, and it never answers again.
    pub fn die(&self) {
        self.go_down(&mut self.lock());
    }

    fn go_down(&self, state: &mut State) {
        state.silent = true;
        state.dead = true;
        state.delayed.clear();
        // Nobody will ever take note of the ends that it still lists.
        self.discard_ends(state);
        for (task, run) in std::mem::take(&mut state.running) {
            let how = "gone".to_owned();
            self.log
                .push(WorkerEvent::Ended(self.id.clone(), task, run.number, how));
        }
    }

    /// Whether a task has taken the worker down.
    #[must_use]
    pub fn crashed(&self) -> bool {
        self.lock().crashed
    }

    /// The worker has so many cores from now on; what runs there goes on.
    pub fn set_cores(&self, cores: usize) {
        self.lock().capacity.set(cores);
    }

    /// Whether the worker has died.
    #[must_use]
    pub fn dead(&self) -> bool {
        self.lock().dead
    }

    /// So many of the next starts are carried out and not answered.
    pub fn lose_start_replies(&self, count: usize) {
        self.lock().lose_start_replies = count;
    }

    /// Orders of `epoch` and later ones do not arrive: the worker is cut off
    /// from later owners alone.
    pub fn cut_from_epoch(&self, epoch: Option<u64>) {
        self.lock().cut_from = epoch;
    }

    /// Orders of `epoch` and earlier ones do not arrive: the worker is cut off
    /// from those owners alone.
    pub fn cut_upto_epoch(&self, epoch: u64) {
        self.lock().cut_upto = epoch;
    }

    /// Answers take so much longer from now on; what they say is of before.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// No disruption is near: an end stands once the worker has listed it, whether its
    /// owner has heard it or not.
    pub fn set_undisturbed(&self, undisturbed: bool) {
        self.lock().undisturbed = undisturbed;
    }

    /// Whether it leaves its life out of what it says of itself, as other releases do.
    pub fn set_omits_incarnation(&self, omits_incarnation: bool) {
        self.lock().omits_incarnation = omits_incarnation;
    }

    pub(crate) fn omits_incarnation(&self) -> bool {
        self.lock().omits_incarnation
    }

    /// Some orders are left unanswered from now on, and carried out later.
    pub fn set_delay_plan(&self, plan: DelayPlan) {
        self.lock().delayed.set_plan(plan);
    }

    /// Highest token that this life has seen.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.lock().fence
    }

    /// Runs that have ended in this life.
    #[must_use]
    pub fn ends(&self) -> u64 {
        self.lock().count
    }

    /// Starts that were left unanswered and are not carried out yet.
    #[must_use]
    pub fn delayed_starts(&self) -> usize {
        self.lock().delayed.starts()
    }

    /// Number of holds that it has left unanswered and not yet carried out.
    #[must_use]
    pub fn delayed_renewals(&self) -> usize {
        self.lock().delayed.renewals()
    }

    /// Carries out late orders and ends what is due.
    fn process_due(&self, state: &mut State) {
        self.end_due_runs(state);
        while let Some(command) = state.delayed.take_due() {
            if self.execute(state, &command.path, &command.body).is_none() {
                self.renew(state, &command.body);
            }
            self.end_due_runs(state);
        }
    }

    /// Ends what is due: by its own time, or by the lease.
    fn end_due_runs(&self, state: &mut State) {
        let now = Instant::now();
        let expired = state.lease <= self.clock();
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

    /// Ends that nobody has taken note of outlive neither the lease nor the worker.
    fn discard_ends(&self, state: &mut State) {
        let (discarded_upto, undisturbed) = (state.discarded_upto, state.undisturbed);
        let stands = |end: &&Ended| end.number <= discarded_upto || undisturbed && end.reported();
        let lost = state.ended.iter().filter(|end| !stands(end));
        for end in lost {
            self.log
                .push(WorkerEvent::Discarded(end.task.clone(), end.run));
        }
        state.discarded_upto = state.count;
    }

    fn end(&self, state: &mut State, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.count += 1;
        state.ended.push(Ended {
            number: state.count,
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

    fn refuse(&self, reason: &str) -> Whole {
        let body = json!({"clock_ms": self.clock(), "reason": reason});
        web::json(StatusCode::CONFLICT, &body)
    }

    fn start(&self, state: &mut State, body: &Value) -> Whole {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let lease = body["deadline_ms"].as_u64().unwrap_or(0);
        if lease <= self.clock() {
            return self.refuse("late");
        }
        state.lease = state.lease.max(lease);
        if state
            .latest_ended
            .get(&task)
            .is_some_and(|latest_ended| *latest_ended >= run)
        {
            return self.refuse("old");
        }
        if !state.running.contains_key(&task) {
            let text = body["spec"].as_str().unwrap_or_default();
            let (finish, time) = Finish::from_text(text, &task);
            let started = Run {
                number: run,
                begin: Instant::now(),
                end: Instant::now() + time,
                finish,
            };
            state.running.insert(task.clone(), started);
            self.log
                .push(WorkerEvent::Started(self.id.clone(), task.clone(), run));
            if state.running.len() > state.capacity.allowed() {
                self.log
                    .push(WorkerEvent::Overbooked(self.id.clone(), task));
            }
        }
        web::json(StatusCode::OK, &json!({"clock_ms": self.clock()}))
    }

    fn stop(&self, state: &mut State, body: &Value) -> Whole {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let latest_ended = state.latest_ended.entry(task.to_owned()).or_default();
        *latest_ended = run.max(*latest_ended);
        if state
            .running
            .get(task)
            .is_some_and(|held| held.number == run)
        {
            self.end(state, task, "stopped");
        }
        web::json(StatusCode::OK, &json!({"clock_ms": self.clock()}))
    }

    fn renew(&self, state: &mut State, body: &Value) -> (Value, bool) {
        if let Some(lease) = body["deadline_ms"].as_u64() {
            state.lease = state.lease.max(lease);
        }
        let seen = body["seen_upto"].as_u64().unwrap_or(0);
        for end in state.ended.extract_if(.., |end| end.number <= seen) {
            self.log
                .push(WorkerEvent::Acknowledged(end.task, end.run, end.how));
        }
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, run)| json!([task, run.number, "", run.percent()]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter_mut()
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

    async fn wait_for_end(&self, body: &Value) -> Whole {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let (reply, ends, silent) = {
                let mut state = self.lock();
                self.process_due(&mut state);
                let (reply, ends) = self.renew(&mut state, body);
                (reply, ends, state.dead)
            };
            if silent {
                // It has gone down since the call came.
                std::future::pending::<()>().await;
            }
            if ends || Instant::now() >= until {
                return web::json(StatusCode::OK, &reply);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Takes the fence; nothing if the order may be carried out.
    fn fence(&self, state: &mut State, body: &Value) -> Option<Whole> {
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = fence;
        None
    }

    /// Carries out an order. Nothing for a hold that is not refused: its
    /// answer may have to wait.
    fn execute(&self, state: &mut State, path: &str, body: &Value) -> Option<Whole> {
        if let Some(refused) = self.fence(state, body) {
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
    async fn handle(&self, asked: Asked) -> Whole {
        let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
        let (whole, lost) = {
            let mut state = self.lock();
            self.process_due(&mut state);
            let epoch = body["fencing_token"].as_u64().unwrap_or(0);
            let later = state.cut_from.is_some_and(|from| epoch >= from);
            let cut = later || epoch <= state.cut_upto;
            if state.silent || cut || state.delayed.defer(&asked.path, &body) {
                (None, true)
            } else {
                let lost = asked.path == "/-/run-start" && state.lose_start_replies > 0;
                state.lose_start_replies -= usize::from(lost);
                (self.execute(&mut state, &asked.path, &body), lost)
            }
        };
        if lost {
            std::future::pending::<()>().await;
        }
        let whole = match whole {
            Some(whole) => whole,
            None => self.wait_for_end(&body).await,
        };
        let delay = self.lock().delay;
        tokio::time::sleep(delay).await;
        whole
    }
}
