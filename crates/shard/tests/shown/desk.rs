//! A shard's machine with the callers and workers of one test, by hand.

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
use shard::MachineFacts;
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

/// What one input brought about.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) outputs: Vec<Output>,
}

impl Seen {
    /// Ids of the starts that were sent.
    pub(crate) fn starts(&self) -> Vec<AttemptId> {
        let start = |output: &Output| match output {
            Output::Start(_, order) => Some(order.attempt.clone()),
            _ => None,
        };
        self.outputs.iter().filter_map(start).collect()
    }

    /// Ids of the starts that were told to stop.
    pub(crate) fn stops(&self) -> Vec<AttemptId> {
        let stop = |output: &Output| match output {
            Output::Stop(_, attempt, _) => Some(attempt.clone()),
            _ => None,
        };
        self.outputs.iter().filter_map(stop).collect()
    }

    /// What `waiter` was told, if anything.
    pub(crate) fn reply(&self, waiter: WaiterKey) -> Option<ShardReply> {
        let told = |output: &Output| match output {
            Output::Reply(to, reply) if *to == waiter => Some(reply.clone()),
            _ => None,
        };
        self.outputs.iter().find_map(told)
    }

    /// The answer that `waiter` was told, if any.
    pub(crate) fn answer(&self, waiter: WaiterKey) -> Option<Answer> {
        match self.reply(waiter) {
            Some(ShardReply::Answer(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Ticket of the records that go to the table.
    pub(crate) fn ticket(&self) -> Ticket {
        let ticket = |output: &Output| match output {
            Output::Append(ticket, _) => Some(*ticket),
            _ => None,
        };
        self.outputs.iter().find_map(ticket).expect("a record")
    }

    /// Names of the events that were recorded.
    pub(crate) fn events(&self) -> Vec<String> {
        let event = |output: &Output| match output {
            Output::Event(event) => Some(event.kind.to_string()),
            _ => None,
        };
        self.outputs.iter().filter_map(event).collect()
    }
}

/// A shard's machine with its callers and workers.
#[derive(Debug)]
pub(crate) struct Desk {
    machine: Machine,
    times: Times,
    waiters: SlotMap<WaiterKey, ()>,
}

impl Desk {
    /// A shard whose host list names `workers`, none of them claimed.
    pub(crate) fn open(workers: &[&str]) -> Desk {
        let times = Times {
            now: Duration::ZERO,
            wall_millis: 1_000_000,
        };
        let mut desk = Desk {
            machine: machine(Ledger::default(), times),
            times,
            waiters: SlotMap::with_key(),
        };
        let hosts = workers.iter().map(|name| host(name)).collect();
        desk.feed(Input::Workers(hosts));
        desk
    }

    /// A shard with one claimed worker.
    pub(crate) fn with_worker() -> Desk {
        let mut desk = Desk::open(&["w0"]);
        desk.claim("w0", "run-1", 2, Vec::new());
        desk
    }

    /// Gives the machine one input.
    pub(crate) fn feed(&mut self, input: Input) -> Seen {
        let outputs = self.machine.handle(self.times, input);
        Seen { outputs }
    }

    /// The next owner, which finds what this one stores of itself and no
    /// worker.
    pub(crate) fn succeeded(&mut self) -> Desk {
        let mut ledger = Ledger::default();
        for record in self.machine.make_segment(1).open {
            ledger.replay(&record, self.times);
        }
        Desk {
            machine: machine(ledger, self.times),
            times: self.times,
            waiters: SlotMap::with_key(),
        }
    }

    /// Lets time pass.
    pub(crate) fn wait(&mut self, millis: u64) -> Seen {
        self.pass(millis);
        self.feed(Input::Tick)
    }

    /// Lets time pass while the process may not act, so without a tick.
    pub(crate) fn pass(&mut self, millis: u64) {
        self.times.now += Duration::from_millis(millis);
        self.times.wall_millis += millis;
    }

    /// A worker accepts the claim.
    pub(crate) fn claim(&mut self, name: &str, run: &str, slots: u32, tasks: Vec<Task>) -> Seen {
        let claimed = ClaimReply {
            incarnation: run.to_owned(),
            turn: 1,
            capacity: room(slots),
            tasks,
        };
        self.feed(Input::Claimed(name.to_owned(), claimed))
    }

    /// A caller submits; with `wait` it waits for the final answer.
    pub(crate) fn submit(&mut self, request: Request, wait: bool) -> (WaiterKey, Seen) {
        let submission = Submission {
            request,
            waited_millis: 0,
            wait,
        };
        self.ask(ShardAsk::Submit(submission))
    }

    /// A caller cancels the request with this id.
    pub(crate) fn cancel(&mut self, id: &str) -> (WaiterKey, Seen) {
        self.ask(ShardAsk::Cancel(CancelFilter::One(key(id))))
    }

    /// What a caller is told who asks how a request stands.
    pub(crate) fn status(&mut self, id: &str) -> Answer {
        let (waiter, seen) = self.ask(ShardAsk::Status(key(id)));
        seen.answer(waiter).expect("a status")
    }

    fn ask(&mut self, ask: ShardAsk) -> (WaiterKey, Seen) {
        let waiter = self.waiters.insert(());
        let seen = self.feed(Input::Ask(ask, waiter));
        (waiter, seen)
    }
}

/// Key of a request.
pub(crate) fn key(id: &str) -> String {
    model::request_key(TEAM, id)
}

/// A request that may run twice and is not recorded.
pub(crate) fn lookup(id: &str) -> Request {
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

/// A request that must not run twice and is recorded.
pub(crate) fn confirmation(id: &str) -> Request {
    Request {
        idempotent: false,
        ..lookup(id)
    }
}

/// News of a task's end on the worker `w0`.
pub(crate) fn ended(attempt: &str, id: &str, result: EndResult) -> Input {
    let end = End {
        result,
        output: String::new(),
        digest: model::digest(""),
    };
    let task = Task {
        attempt: attempt.to_owned(),
        request: key(id),
        needs: room(1),
        end: Some(end),
    };
    Input::Ended("w0".to_owned(), vec![task])
}

fn room(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::default()
    }
}

fn host(name: &str) -> WorkerHost {
    let host = Host {
        id: name.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "tacoma".to_owned(),
        rack: "r0".to_owned(),
        state: HostState::Live,
    };
    WorkerHost { host, assigned: 1 }
}

fn machine(ledger: Ledger, times: Times) -> Machine {
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
    let numbered = VersionedConfig {
        version: 1,
        patch_id: "first".to_owned(),
        config,
    };
    let facts = MachineFacts {
        shard: 0,
        shards: 1,
        epoch: 1,
        since_millis: 0,
        retention: Duration::from_mins(10),
        missing_at: times.now + Duration::from_secs(20),
    };
    Machine::new(facts, ledger, Arc::new(numbered), times)
}
