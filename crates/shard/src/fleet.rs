//! The workers of a shard: changes of the worker list, claims, losses, and the
//! resolution of intents that were recovered after a take-over.

use std::collections::HashMap;
use std::time::Duration;

use event::Event;
use event::Kind;
use model::WorkerId;
use sched::JobKey;
use sched::SubmitError;
use sched::WorkerState;
use store::HostState;
use worker::ClaimReply;
use worker::Task;

use crate::Entry;
use crate::Machine;
use crate::MemberState;
use crate::Output;
use crate::RunHistory;
use crate::Stage;
use crate::StopMode;
use crate::WorkerHost;

/// Time for which no tasks are placed on a worker that has refused a start.
const PAUSE_TIME: Duration = Duration::from_millis(200);

impl Machine {
    /// Applies the new worker list: opens and closes links, and retires workers
    /// that are no longer listed.
    pub(crate) fn on_workers(&mut self, workers: Vec<WorkerHost>) {
        let mut previous = std::mem::take(&mut self.workers);
        for host in workers {
            let earlier = previous.remove(&host.host.id);
            let same_link = earlier
                .as_ref()
                .is_some_and(|old| old.shares_link_with(&host));
            if !same_link {
                if earlier.is_some() || self.retiring.contains(&host.host.id) {
                    self.outputs.push(Output::Unlink(host.host.id.clone()));
                }
                self.outputs.push(Output::Link(host.clone()));
            }
            let old_state = earlier.map(|old| old.host.state);
            self.workers.insert(host.host.id.clone(), host.clone());
            if old_state != Some(host.host.state) {
                self.on_host_state(&host);
            }
        }
        for id in previous.into_keys() {
            if let Some(worker) = self.core.worker(&id) {
                self.core.set_state(worker, WorkerState::Leaving);
            }
            self.retiring.push(id);
        }
        let workers = &self.workers;
        self.retiring.retain(|id| !workers.contains_key(id));
        self.update_all_known();
    }

    /// Updates whether the core has the capacities of all workers, which it gets
    /// when they are claimed. A request can be refused as too large only from
    /// then on, so waiting requests are checked again at that moment.
    fn update_all_known(&mut self) {
        let core = &self.core;
        let all_known = self.workers.keys().all(|id| core.worker(id).is_some());
        if !self.core.set_all_known(all_known) {
            return;
        }
        let core = &self.core;
        let never_fits = |entry: &Entry| {
            matches!(entry.stage, Stage::Waiting(_)) && !core.could_hold(&Self::job_spec(entry))
        };
        let entries = self.ledger.iter().filter(|(_, entry)| never_fits(entry));
        let keys: Vec<String> = entries.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.withdraw(&key);
            self.finish_interrupted(&key, SubmitError::NeverFits);
        }
    }

    /// Closes the links of workers that have left the host list. A link stays
    /// open until the worker's tasks have ended or their lease has expired,
    /// since only the link can notice that.
    pub(crate) fn unlink_retired(&mut self) {
        let retiring = std::mem::take(&mut self.retiring);
        for id in retiring {
            if self.has_open_members(&id) {
                self.retiring.push(id);
                continue;
            }
            if let Some(worker) = self.core.worker(&id) {
                self.core.remove_worker(worker);
            }
            self.outputs.push(Output::Unlink(id));
        }
    }

    fn has_open_members(&self, id: &str) -> bool {
        let has_open = |entry: &Entry| {
            let mut on_worker = entry.members.iter().filter(|m| m.worker == id);
            !entry.is_closed() && on_worker.any(|m| !m.state.is_settled())
        };
        self.ledger.iter().any(|(_, entry)| has_open(entry))
    }

    /// Applies a new state of a worker's host, unless the worker is lost. If the
    /// host is leaving, batch tasks there are stopped with a checkpoint.
    fn on_host_state(&mut self, host: &WorkerHost) {
        let Some(worker) = self.core.worker(&host.host.id) else {
            return;
        };
        let lost = self
            .core
            .worker_entry(worker)
            .is_some_and(|w| w.state == WorkerState::Lost);
        if lost {
            return;
        }
        self.core.set_state(worker, worker_state(host.host.state));
        if host.host.state == HostState::Leaving {
            self.event(Event::new(Kind::WorkerLeaving).worker(&host.host.id));
            self.checkpoint_batch_tasks(&host.host.id);
        }
    }

    /// Stops batch tasks on a worker with a checkpoint, so that they continue
    /// on another worker.
    fn checkpoint_batch_tasks(&mut self, worker: &str) {
        let is_batch = |entry: &Entry| entry.request.class == model::Class::Batch;
        let mut stops = Vec::new();
        for (_, entry) in self.ledger.iter().filter(|(_, entry)| is_batch(entry)) {
            let on_worker = entry.members.iter().filter(|m| m.worker == worker);
            for member in on_worker.filter(|m| !m.state.is_settled()) {
                let attempt = member.attempt.clone();
                stops.push(Output::Stop(
                    worker.to_owned(),
                    attempt,
                    StopMode::Checkpoint,
                ));
            }
        }
        self.outputs.extend(stops);
    }

    /// Adds a claimed worker to the core and compares the tasks that it lists
    /// with the members placed on it.
    pub(crate) fn on_claimed(&mut self, id: &str, claimed: ClaimReply) {
        let Some(host) = self.workers.get(id).cloned() else {
            return;
        };
        let worker = self.core.add_worker(id, &host.host.rack, claimed.capacity);
        self.core.set_state(worker, worker_state(host.host.state));
        self.update_all_known();
        self.incarnations
            .insert(id.to_owned(), claimed.incarnation.clone());
        self.event(Event::new(Kind::WorkerClaimed).worker(id));
        let mut listed: HashMap<String, Task> = HashMap::new();
        for task in claimed.tasks {
            listed.insert(task.attempt.clone(), task);
        }
        self.reconcile_members(id, &claimed.incarnation, &listed);
        for task in listed.into_values() {
            self.process_listed_task(id, task);
        }
        if host.host.state == HostState::Leaving {
            self.checkpoint_batch_tasks(id);
        }
    }

    /// Settles members that the claimed worker does not list. If the worker is
    /// still the incarnation that the intent names, the start has not reached
    /// it and never will, since the claim has fenced it off. If the worker has
    /// restarted, it is unknown whether the task ran.
    fn reconcile_members(&mut self, id: &str, incarnation: &str, listed: &HashMap<String, Task>) {
        let mut settled = Vec::new();
        for (key, entry) in self.ledger.iter().filter(|(_, entry)| !entry.is_closed()) {
            for member in entry.members.iter().filter(|m| m.worker == id) {
                if member.state.is_settled() || listed.contains_key(&member.attempt) {
                    continue;
                }
                let state = match (member.incarnation == incarnation, &member.state) {
                    (true, MemberState::Unknown) => MemberState::NotStarted,
                    // The link reports the outcome of starts in flight.
                    (true, MemberState::Sent) => continue,
                    _ if matches!(entry.stage, Stage::Recording(_)) => continue,
                    _ => MemberState::Interrupted,
                };
                settled.push((key.clone(), member.attempt.clone(), state));
            }
        }
        for (key, attempt, state) in settled {
            self.settle(&key, &attempt, state);
        }
    }

    /// Processes a task that a worker lists when it is claimed: adopts it, or
    /// stops it if it is not needed, or settles its member if it has ended.
    fn process_listed_task(&mut self, id: &str, task: Task) {
        if !self.belongs_here(&task.request) {
            self.drop_foreign_task(id, task);
            return;
        }
        if task.end.is_some() {
            self.adopt(id, &task);
            self.on_ended(id, vec![task]);
            return;
        }
        // If a stop was lost on its way, the worker still lists the task of a
        // cancelled request; the stop is sent again.
        let key = &task.request;
        let cancelled = self.ledger.get(key).is_some_and(|entry| entry.cancelled);
        if !self.adopt(id, &task) || cancelled {
            let stop = Output::Stop(id.to_owned(), task.attempt, StopMode::Kill);
            self.outputs.push(stop);
        }
    }

    /// Whether requests with this key belong to this shard under the current
    /// configuration. True if the configuration does not contain the team.
    pub(crate) fn belongs_here(&self, key: &str) -> bool {
        if let Some(shard) = model::offload_target(key) {
            return shard == self.params.shard;
        }
        let team = key.split_once('/').map_or(key, |(team, _)| team);
        let shards = self.config().team_shards(team, self.params.shards);
        shards.is_none_or(|shards| shards.home(key) == self.params.shard)
    }

    /// Forgets or stops a task of the shard to which the worker belonged
    /// before.
    fn drop_foreign_task(&mut self, id: &str, task: Task) {
        if task.end.is_some() {
            self.forget_task(id, task.attempt);
        } else {
            let stop = Output::Stop(id.to_owned(), task.attempt, StopMode::Kill);
            self.outputs.push(stop);
        }
    }

    /// Adds a task listed by a worker to the ledger and the core. Returns false
    /// if the task is no longer needed, for instance because its request was
    /// answered under a former owner.
    fn adopt(&mut self, id: &str, task: &Task) -> bool {
        let key = &task.request;
        if self.ledger.get(key).is_none() && task.end.is_none() {
            self.insert_reported(id, task);
        }
        let Some(worker) = self.core.worker(id) else {
            return false;
        };
        let now = self.times.now;
        let Some(entry) = self.ledger.get_mut(key) else {
            return true;
        };
        if entry.is_closed() {
            return false;
        }
        let job = entry.job();
        let Some(member) = entry.member_mut(&task.attempt) else {
            return false;
        };
        match member.state {
            MemberState::Unknown => {
                member.state = MemberState::Started;
                self.adopt_job(key, job, worker);
                true
            }
            MemberState::Sent => {
                member.state = MemberState::Started;
                entry.note_wait(now);
                true
            }
            MemberState::Started => true,
            _ => false,
        }
    }

    /// Books an adopted member in the core, where its request gets a job if it
    /// has none yet.
    fn adopt_job(&mut self, key: &str, job: Option<JobKey>, worker: sched::WorkerKey) {
        if let Some(job) = job {
            self.core.adopt_member(job, worker);
            return;
        }
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let spec = Self::job_spec(entry);
        let job = self.core.adopt(self.times.now, spec, worker);
        self.request_keys.insert(job, key.to_owned());
        if let Some(entry) = self.ledger.get_mut(key) {
            entry.add_history(RunHistory::EndKnown);
            entry.stage = Stage::Running(Some(job));
        }
    }

    /// Adds the request of a running task that is not in the ledger.
    fn insert_reported(&mut self, id: &str, task: &Task) {
        let mut entry = Entry::from_report(&task.request, task.needs, self.times.now);
        entry.attempt = 1;
        entry.members = vec![crate::Member {
            attempt: task.attempt.clone(),
            worker: id.to_owned(),
            incarnation: self.incarnations.get(id).cloned().unwrap_or_default(),
            state: MemberState::Unknown,
        }];
        self.ledger.insert(&task.request, entry);
    }

    /// Places nothing on a worker for a short time after it has refused a
    /// start. Without the pause, a shard with a wrong view of a worker would
    /// place the same job there again at once, and be refused as fast as the
    /// network allows.
    pub(crate) fn pause_worker(&mut self, id: &str) {
        let Some(worker) = self.core.worker(id) else {
            return;
        };
        let is_ready = |w: &sched::WorkerEntry| w.state == WorkerState::Ready;
        if self.core.worker_entry(worker).is_some_and(is_ready) {
            self.core.set_state(worker, WorkerState::Paused);
            self.paused_workers
                .push((self.times.now + PAUSE_TIME, id.to_owned()));
        }
    }

    /// Makes workers ready again whose pause after a refused start is over.
    pub(crate) fn resume_paused(&mut self) {
        while self
            .paused_workers
            .first()
            .is_some_and(|(until, _)| *until <= self.times.now)
        {
            let (_, id) = self.paused_workers.remove(0);
            let Some(worker) = self.core.worker(&id) else {
                continue;
            };
            let is_paused = |w: &sched::WorkerEntry| w.state == WorkerState::Paused;
            if self.core.worker_entry(worker).is_some_and(is_paused) {
                self.core.set_state(worker, WorkerState::Ready);
            }
        }
    }

    /// Places no more tasks on a worker that does not answer its polls. Its
    /// tasks are settled only when their lease expires.
    pub(crate) fn on_worker_lost(&mut self, id: &str) {
        let Some(worker) = self.core.worker(id) else {
            return;
        };
        self.core.set_state(worker, WorkerState::Lost);
        self.event(Event::new(Kind::WorkerLost).worker(id));
    }

    /// Places no more tasks on a worker that has refused a poll; `detail` says
    /// why.
    pub(crate) fn on_worker_refused(&mut self, id: &str, detail: &str) {
        let Some(worker) = self.core.worker(id) else {
            return;
        };
        self.core.set_state(worker, WorkerState::Lost);
        self.event(Event::new(Kind::WorkerRefused).worker(id).detail(detail));
    }

    /// Another shard has claimed the worker. Tasks may still run there, and
    /// their ends will be reported to that shard only, so they are settled as
    /// unreachable and not run again.
    pub(crate) fn on_worker_reassigned(&mut self, id: &str) {
        self.on_worker_refused(id, "another shard has claimed it");
        self.settle_members_on(id, &MemberState::Unreachable);
    }

    /// Settles the members on a worker whose lease has expired as interrupted:
    /// the worker has stopped its tasks.
    pub(crate) fn on_lease_expired(&mut self, id: &str) {
        self.settle_members_on(id, &MemberState::Interrupted);
    }

    /// Settles all members of open requests that were placed on a worker.
    fn settle_members_on(&mut self, id: &str, state: &MemberState) {
        let mut settled = Vec::new();
        for (key, entry) in self.ledger.iter().filter(|(_, entry)| !entry.is_closed()) {
            if matches!(entry.stage, Stage::Recording(_)) {
                continue;
            }
            for member in entry.members.iter().filter(|m| m.worker == id) {
                settled.push((key.clone(), member.attempt.clone()));
            }
        }
        for (key, attempt) in settled {
            self.settle(&key, &attempt, state.clone());
        }
    }

    /// Settles recovered intents on workers that could not be claimed in time.
    /// The answer to their callers says that the request may have run.
    pub(crate) fn settle_unclaimed(&mut self) {
        let mut worker_ids = Vec::new();
        for (_, entry) in self.ledger.iter().filter(|(_, entry)| !entry.is_closed()) {
            let unknown = entry
                .members
                .iter()
                .filter(|m| m.state == MemberState::Unknown);
            worker_ids.extend(unknown.map(|m| m.worker.clone()));
        }
        for id in worker_ids {
            self.settle_if_unclaimed(&id);
        }
    }

    fn settle_if_unclaimed(&mut self, id: &WorkerId) {
        let claimed = self.incarnations.contains_key(id);
        if !claimed {
            self.settle_members_on(id, &MemberState::Unreachable);
        }
    }
}

fn worker_state(state: HostState) -> WorkerState {
    match state {
        HostState::Live => WorkerState::Ready,
        HostState::Leaving => WorkerState::Leaving,
    }
}
