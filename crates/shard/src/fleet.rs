//! The workers of a shard: claims, losses, and what recovered intents turn
//! out to be.

use std::collections::HashMap;
use std::time::Duration;

use event::Event;
use event::Kind;
use model::WorkerId;
use sched::JobKey;
use sched::Refused;
use sched::WorkerState;
use store::HostState;
use worker::ClaimReply;
use worker::Task;

use crate::Entry;
use crate::Machine;
use crate::MemberState;
use crate::Output;
use crate::Past;
use crate::Stage;
use crate::StopMode;
use crate::WorkerHost;

/// How long a worker is left alone that has refused a start.
const HOLD: Duration = Duration::from_millis(200);

impl Machine {
    pub(crate) fn on_workers(&mut self, workers: Vec<WorkerHost>) {
        let mut known = std::mem::take(&mut self.workers);
        for host in workers {
            let earlier = known.remove(&host.host.id);
            let same = earlier.as_ref().is_some_and(|old| old.is_same_link(&host));
            if !same {
                if earlier.is_some() || self.retiring.contains(&host.host.id) {
                    self.outputs.push(Output::Unlink(host.host.id.clone()));
                }
                self.outputs.push(Output::Link(host.clone()));
            }
            let was = earlier.map(|old| old.host.state);
            self.workers.insert(host.host.id.clone(), host.clone());
            if was != Some(host.host.state) {
                self.on_host_state(&host);
            }
        }
        for id in known.into_keys() {
            if let Some(worker) = self.core.worker(&id) {
                self.core.set_state(worker, WorkerState::Leaving);
            }
            self.retiring.push(id);
        }
        let workers = &self.workers;
        self.retiring.retain(|id| !workers.contains_key(id));
        self.count_known();
    }

    /// "Too large for every worker" needs to know them all. What waits and was
    /// not refused before they were known is refused now.
    fn count_known(&mut self) {
        let core = &self.core;
        let complete = self.workers.keys().all(|id| core.worker(id).is_some());
        if !self.core.set_complete(complete) {
            return;
        }
        let core = &self.core;
        let impossible = |entry: &Entry| {
            matches!(entry.stage, Stage::Waiting(_)) && !core.could_hold(&Self::job_spec(entry))
        };
        let entries = self.ledger.iter().filter(|(_, entry)| impossible(entry));
        let keys: Vec<String> = entries.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.withdraw(&key);
            self.finish_interrupted(&key, Refused::NeverFits);
        }
    }

    /// A worker that left the host list keeps its link until its tasks have
    /// ended or their lease is over; without the link nobody would notice.
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
        let open = |entry: &Entry| {
            let mut here = entry.members.iter().filter(|m| m.worker == id);
            !entry.is_over() && here.any(|m| !m.state.is_settled())
        };
        self.ledger.iter().any(|(_, entry)| open(entry))
    }

    fn on_host_state(&mut self, host: &WorkerHost) {
        let Some(worker) = self.core.worker(&host.host.id) else {
            return;
        };
        let lost = self
            .core
            .worker_slot(worker)
            .is_some_and(|slot| slot.state == WorkerState::Lost);
        if lost {
            return;
        }
        self.core.set_state(worker, core_state(host.host.state));
        if host.host.state == HostState::Leaving {
            self.event(Event::new(Kind::WorkerLeaving).worker(&host.host.id));
            self.move_long_work(&host.host.id);
        }
    }

    /// Tasks that may wait are checkpointed and run on elsewhere.
    fn move_long_work(&mut self, worker: &str) {
        let movable = |entry: &Entry| entry.request.class == model::Class::Batch;
        let mut stops = Vec::new();
        for (_, entry) in self.ledger.iter().filter(|(_, entry)| movable(entry)) {
            let here = entry.members.iter().filter(|m| m.worker == worker);
            for member in here.filter(|m| !m.state.is_settled()) {
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

    pub(crate) fn on_claimed(&mut self, id: &str, claimed: ClaimReply) {
        let Some(host) = self.workers.get(id).cloned() else {
            return;
        };
        let worker = self.core.add_worker(id, &host.host.rack, claimed.capacity);
        self.core.set_state(worker, core_state(host.host.state));
        self.count_known();
        self.runs.insert(id.to_owned(), claimed.incarnation.clone());
        self.event(Event::new(Kind::WorkerClaimed).worker(id));
        let mut listed: HashMap<String, Task> = HashMap::new();
        for task in claimed.tasks {
            listed.insert(task.attempt.clone(), task);
        }
        self.reconcile_members(id, &claimed.incarnation, &listed);
        for task in listed.into_values() {
            self.take_listed(id, task);
        }
        if host.host.state == HostState::Leaving {
            self.move_long_work(id);
        }
    }

    /// Members that the worker does not list. If it is still the run that the
    /// intent names, the start never reached it, and never will: the claim
    /// has fenced it off. If it has restarted, nobody knows.
    fn reconcile_members(&mut self, id: &str, run: &str, listed: &HashMap<String, Task>) {
        let mut settled = Vec::new();
        for (key, entry) in self.ledger.iter().filter(|(_, entry)| !entry.is_over()) {
            for member in entry.members.iter().filter(|m| m.worker == id) {
                if member.state.is_settled() || listed.contains_key(&member.attempt) {
                    continue;
                }
                let state = match (member.run == run, &member.state) {
                    (true, MemberState::Unknown) => MemberState::NotStarted,
                    // The link tells what became of starts in flight.
                    (true, MemberState::Sent) => continue,
                    _ if matches!(entry.stage, Stage::Recording(_)) => continue,
                    _ => MemberState::Gone,
                };
                settled.push((key.clone(), member.attempt.clone(), state));
            }
        }
        for (key, attempt, state) in settled {
            self.settle(&key, &attempt, state);
        }
    }

    fn take_listed(&mut self, id: &str, task: Task) {
        if !self.is_home(&task.request) {
            self.drop_stray(id, task);
            return;
        }
        if task.end.is_some() {
            self.adopt(id, &task);
            self.on_ended(id, vec![task]);
            return;
        }
        // A stop that was lost on its way shows as a task that runs on after
        // its caller was told that it is cancelled; so it is sent again.
        let key = &task.request;
        let cancelled = self.ledger.get(key).is_some_and(|entry| entry.cancelled);
        if !self.adopt(id, &task) || cancelled {
            let stop = Output::Stop(id.to_owned(), task.attempt, StopMode::Kill);
            self.outputs.push(stop);
        }
    }

    /// Whether requests with this key belong here, as far as the configuration
    /// in force tells.
    pub(crate) fn is_home(&self, key: &str) -> bool {
        if let Some(shard) = model::lent_to(key) {
            return shard == self.facts.shard;
        }
        let team = key.split_once('/').map_or(key, |(team, _)| team);
        let shards = self.config().team_shards(team, self.facts.shards);
        shards.is_none_or(|shards| shards.home(key) == self.facts.shard)
    }

    /// A task of another shard, which had the worker before.
    fn drop_stray(&mut self, id: &str, task: Task) {
        if task.end.is_some() {
            self.forget_task(id, task.attempt);
        } else {
            let stop = Output::Stop(id.to_owned(), task.attempt, StopMode::Kill);
            self.outputs.push(stop);
        }
    }

    /// Takes a listed task into ledger and core. False: nobody wants it any
    /// more, as when its request was answered under an earlier owner.
    fn adopt(&mut self, id: &str, task: &Task) -> bool {
        let key = &task.request;
        if self.ledger.get(key).is_none() && task.end.is_none() {
            self.insert_orphan(id, task);
        }
        let Some(worker) = self.core.worker(id) else {
            return false;
        };
        let now = self.times.now;
        let Some(entry) = self.ledger.get_mut(key) else {
            return true;
        };
        if entry.is_over() {
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
        self.keys.insert(job, key.to_owned());
        if let Some(entry) = self.ledger.get_mut(key) {
            entry.touch(Past::Seen);
            entry.stage = Stage::Running(Some(job));
        }
    }

    fn insert_orphan(&mut self, id: &str, task: &Task) {
        let mut entry = Entry::orphan(&task.request, task.needs, self.times.now);
        entry.attempt = 1;
        entry.members = vec![crate::Member {
            attempt: task.attempt.clone(),
            worker: id.to_owned(),
            run: self.runs.get(id).cloned().unwrap_or_default(),
            state: MemberState::Unknown,
        }];
        self.ledger.insert(&task.request, entry);
    }

    /// Leaves a worker alone that has refused a start. Without the pause a
    /// shard whose view of a worker is wrong would place the same job there
    /// again at once, and be refused as fast as the network allows.
    pub(crate) fn hold_worker(&mut self, id: &str) {
        let Some(worker) = self.core.worker(id) else {
            return;
        };
        let ready = |slot: &sched::WorkerSlot| slot.state == WorkerState::Ready;
        if self.core.worker_slot(worker).is_some_and(ready) {
            self.core.set_state(worker, WorkerState::Held);
            self.held.push((self.times.now + HOLD, id.to_owned()));
        }
    }

    pub(crate) fn release_held(&mut self) {
        while self
            .held
            .first()
            .is_some_and(|(until, _)| *until <= self.times.now)
        {
            let (_, id) = self.held.remove(0);
            let Some(worker) = self.core.worker(&id) else {
                continue;
            };
            let held = |slot: &sched::WorkerSlot| slot.state == WorkerState::Held;
            if self.core.worker_slot(worker).is_some_and(held) {
                self.core.set_state(worker, WorkerState::Ready);
            }
        }
    }

    pub(crate) fn on_worker_lost(&mut self, id: &str) {
        let Some(worker) = self.core.worker(id) else {
            return;
        };
        self.core.set_state(worker, WorkerState::Lost);
        self.event(Event::new(Kind::WorkerLost).worker(id));
    }

    pub(crate) fn on_worker_refused(&mut self, id: &str, detail: &str) {
        let Some(worker) = self.core.worker(id) else {
            return;
        };
        self.core.set_state(worker, WorkerState::Lost);
        self.event(Event::new(Kind::WorkerRefused).worker(id).detail(detail));
    }

    /// What ran there may be running still, and its end will be reported to
    /// the other shard: nobody here can tell, so nothing is run again.
    pub(crate) fn on_worker_taken(&mut self, id: &str) {
        self.on_worker_refused(id, "another shard holds it");
        self.settle_all(id, &MemberState::Missing);
    }

    pub(crate) fn on_lease_over(&mut self, id: &str) {
        self.settle_all(id, &MemberState::Gone);
    }

    fn settle_all(&mut self, id: &str, state: &MemberState) {
        let mut settled = Vec::new();
        for (key, entry) in self.ledger.iter().filter(|(_, entry)| !entry.is_over()) {
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

    /// Recovered intents on workers that nobody could claim in all this time:
    /// their callers get "may have run".
    pub(crate) fn settle_missing(&mut self) {
        let mut missing = Vec::new();
        for (_, entry) in self.ledger.iter().filter(|(_, entry)| !entry.is_over()) {
            let unknown = entry
                .members
                .iter()
                .filter(|m| m.state == MemberState::Unknown);
            missing.extend(unknown.map(|m| m.worker.clone()));
        }
        for id in missing {
            self.settle_unknown(&id);
        }
    }

    fn settle_unknown(&mut self, id: &WorkerId) {
        let claimed = self.runs.contains_key(id);
        if !claimed {
            self.settle_all(id, &MemberState::Missing);
        }
    }
}

fn core_state(state: HostState) -> WorkerState {
    match state {
        HostState::Live => WorkerState::Ready,
        HostState::Leaving => WorkerState::Leaving,
    }
}
