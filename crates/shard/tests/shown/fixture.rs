//! Fixture that drives the state machine of one shard, with its callers and
//! workers simulated by the test.

use std::sync::Arc;
use std::time::Duration;

use model::Answer;
use model::Class;
use model::Config;
use model::Request;
use model::Resources;
use model::Team;
use model::VersionedConfig;
use shard::CancelFilter;
use shard::Input;
use shard::Ledger;
use shard::Machine;
use shard::MachineParams;
use shard::Output;
use shard::ShardAsk;
use shard::ShardReply;
use shard::Submission;
use shard::Ticket;
use shard::Times;
use shard::WaiterKey;
use shard::WorkerHost;
use slotmap::SlotMap;
use store::Host;
use store::HostState;
use worker::AttemptId;
use worker::ClaimReply;
use worker::End;
use worker::EndResult;
use worker::Task;

pub(crate) const TEAM: &str = "stores";

/// Outputs of the state machine for one input.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) outputs: Vec<Output>,
}

impl Effects {
    /// Attempt ids of the starts that were sent.
    pub(crate) fn starts(&self) -> Vec<AttemptId> {
        let start = |output: &Output| match output {
            Output::Start(_, message) => Some(message.attempt.clone()),
            _ => None,
        };
        self.outputs.iter().filter_map(start).collect()
    }

    /// Attempt ids of the stops that were sent.
    pub(crate) fn stops(&self) -> Vec<AttemptId> {
        let stop = |output: &Output| match output {
            Output::Stop(_, attempt, _) => Some(attempt.clone()),
            _ => None,
        };
        self.outputs.iter().filter_map(stop).collect()
    }

    /// Reply to `waiter`, if any.
    pub(crate) fn reply(&self, waiter: WaiterKey) -> Option<ShardReply> {
        let reply_to_waiter = |output: &Output| match output {
            Output::Reply(to, reply) if *to == waiter => Some(reply.clone()),
            _ => None,
        };
        self.outputs.iter().find_map(reply_to_waiter)
    }

    /// Answer in the reply to `waiter`, if any.
    pub(crate) fn answer(&self, waiter: WaiterKey) -> Option<Answer> {
        match self.reply(waiter) {
            Some(ShardReply::Answer(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Ticket of the records that are to be committed.
    pub(crate) fn ticket(&self) -> Ticket {
        let ticket = |output: &Output| match output {
            Output::Append(ticket, _) => Some(*ticket),
            _ => None,
        };
        self.outputs.iter().find_map(ticket).expect("a record")
    }

    /// Kinds of the recorded events.
    pub(crate) fn events(&self) -> Vec<String> {
        let event = |output: &Output| match output {
            Output::Event(event) => Some(event.kind.to_string()),
            _ => None,
        };
        self.outputs.iter().filter_map(event).collect()
    }
}

/// State machine of a shard with its clock and its waiting callers.
#[derive(Debug)]
pub(crate) struct Fixture {
    machine: Machine,
    times: Times,
    waiters: SlotMap<WaiterKey, ()>,
}

impl Fixture {
    /// Creates a shard to which `workers` are assigned but not yet claimed: they
    /// have not accepted this owner yet, so no task is placed on them.
    pub(crate) fn with_unclaimed(workers: &[&str]) -> Fixture {
        let times = Times {
            now: Duration::ZERO,
            wall_millis: 1_000_000,
        };
        let mut fixture = Fixture {
            machine: new_machine(Ledger::default(), times),
            times,
            waiters: SlotMap::with_key(),
        };
        let hosts = workers.iter().map(|name| worker_host(name)).collect();
        fixture.send(Input::Workers(hosts));
        fixture
    }

    /// Creates a shard with one claimed worker, `w0`, of two slots. The attempt id
    /// of the first start there ends with `#1.1.0`: epoch, attempt and member.
    pub(crate) fn with_worker() -> Fixture {
        let mut fixture = Fixture::with_unclaimed(&["w0"]);
        fixture.claim("w0", "run-1", 2, Vec::new());
        fixture
    }

    /// Sends one input to the state machine.
    pub(crate) fn send(&mut self, input: Input) -> Effects {
        let outputs = self.machine.handle(self.times, input);
        Effects { outputs }
    }

    /// Creates the successor of this owner, which recovers its stored state and
    /// has no workers.
    pub(crate) fn successor(&mut self) -> Fixture {
        let mut ledger = Ledger::default();
        for record in self.machine.build_segment(1).open {
            ledger.replay(&record, self.times);
        }
        Fixture {
            machine: new_machine(ledger, self.times),
            times: self.times,
            waiters: SlotMap::with_key(),
        }
    }

    /// Advances the clock and sends a tick.
    pub(crate) fn advance(&mut self, millis: u64) -> Effects {
        self.advance_without_tick(millis);
        self.send(Input::Tick)
    }

    /// Advances the clock without a tick, as while the process may not act.
    pub(crate) fn advance_without_tick(&mut self, millis: u64) {
        self.times.now += Duration::from_millis(millis);
        self.times.wall_millis += millis;
    }

    /// Reports that a worker has accepted the claim of this owner, with its
    /// incarnation, its number of slots, and the tasks that it still has.
    pub(crate) fn claim(
        &mut self,
        name: &str,
        incarnation: &str,
        slots: u32,
        tasks: Vec<Task>,
    ) -> Effects {
        let claimed = ClaimReply {
            incarnation: incarnation.to_owned(),
            reply_number: 1,
            capacity: resources(slots),
            tasks,
        };
        self.send(Input::Claimed(name.to_owned(), claimed))
    }

    /// Submits a request. With `wait`, the caller gets the final answer; without,
    /// it is answered as soon as the request is accepted.
    pub(crate) fn submit(&mut self, request: Request, wait: bool) -> (WaiterKey, Effects) {
        let submission = Submission {
            request,
            waited_millis: 0,
            wait,
        };
        self.ask(ShardAsk::Submit(submission))
    }

    /// Cancels the request with this id.
    pub(crate) fn cancel(&mut self, id: &str) -> (WaiterKey, Effects) {
        self.ask(ShardAsk::Cancel(CancelFilter::One(key(id))))
    }

    /// Asks for the status of the request with this id.
    pub(crate) fn status(&mut self, id: &str) -> Answer {
        let (waiter, effects) = self.ask(ShardAsk::Status(key(id)));
        effects.answer(waiter).expect("a status")
    }

    /// Sends a call; returns the key of its caller and the outputs.
    fn ask(&mut self, ask: ShardAsk) -> (WaiterKey, Effects) {
        let waiter = self.waiters.insert(());
        let effects = self.send(Input::Ask(ask, waiter));
        (waiter, effects)
    }
}

/// Key of the request with this id.
pub(crate) fn key(id: &str) -> String {
    model::request_key(TEAM, id)
}

/// An idempotent request, which may run twice and is not recorded in the
/// journal. Its class is interactive; tests make it a gang or a batch request,
/// whose starts wait until the intent to start is recorded.
pub(crate) fn idempotent_request(id: &str) -> Request {
    Request {
        id: id.to_owned(),
        team: TEAM.to_owned(),
        class: Class::Interactive,
        needs: Resources::default(),
        run_millis: 100,
        deadline_millis: 2000,
        idempotent: true,
        members: 1,
        label: "spring".to_owned(),
        sent_millis: 0,
        payload: String::new(),
    }
}

/// A request that must not run twice and is recorded in the journal.
pub(crate) fn recorded_request(id: &str) -> Request {
    Request {
        idempotent: false,
        ..idempotent_request(id)
    }
}

/// Report of the end of a task on worker `w0`.
pub(crate) fn task_ended(attempt: &str, id: &str, result: EndResult) -> Input {
    let end = End {
        result,
        output: String::new(),
        digest: model::digest(""),
    };
    let task = Task {
        attempt: attempt.to_owned(),
        request: key(id),
        needs: resources(1),
        end: Some(end),
    };
    Input::Ended("w0".to_owned(), vec![task])
}

fn resources(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::default()
    }
}

fn worker_host(name: &str) -> WorkerHost {
    let host = Host {
        id: name.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "tacoma".to_owned(),
        rack: "r0".to_owned(),
        state: HostState::Live,
    };
    WorkerHost { host, assigned: 1 }
}

/// Creates the state machine of an owner in epoch 1 of the only shard, with one
/// team whose quota no test reaches. From 20 s on, tasks of former owners on
/// unclaimed workers are settled as unreachable.
fn new_machine(ledger: Ledger, times: Times) -> Machine {
    let quota = Resources {
        cpu_milli: 1000,
        memory_mib: 1000,
        accelerators: 100,
        slots: 100,
        power_watts: 1000,
    };
    let mut config = Config::default();
    let team = Team {
        quota,
        span: 1,
        queue: 100,
    };
    config.teams.insert(TEAM.to_owned(), team);
    let versioned = VersionedConfig {
        version: 1,
        patch_id: "first".to_owned(),
        config,
    };
    let params = MachineParams {
        shard: 0,
        shards: 1,
        epoch: 1,
        takeover_millis: 0,
        retention: Duration::from_mins(10),
        claim_deadline: times.now + Duration::from_secs(20),
    };
    Machine::new(params, ledger, Arc::new(versioned), times)
}
