//! Fixtures of the simulation: its requests, workers and limits.

use std::sync::Arc;
use std::time::Duration;

use model::Class;
use model::Config;
use model::Request;
use model::Resources;
use model::Team;
use model::VersionedConfig;
use shard::Ledger;
use shard::Machine;
use shard::MachineParams;
use shard::Times;
use worker::End;
use worker::EndResult;

use super::SLOTS;

pub(crate) const TEAM: &str = "stores";

/// A request. Those with even numbers are idempotent and may run twice; odd ones
/// must not. Before a start is sent, the intent is recorded for odd requests,
/// and for number 4, which is idempotent but of the class batch.
pub(crate) fn request(number: u8) -> Request {
    Request {
        id: format!("r{number}"),
        team: TEAM.to_owned(),
        class: if number == 4 {
            Class::Batch
        } else {
            Class::Interactive
        },
        needs: Resources::default(),
        run_millis: 100,
        deadline_millis: 2000,
        idempotent: number.is_multiple_of(2),
        members: 1,
        label: String::new(),
        sent_millis: 0,
        payload: String::new(),
    }
}

/// Whether the request with this key is idempotent, by the last digit of its id.
pub(crate) fn is_idempotent(key: &str) -> bool {
    let number = key.chars().last().and_then(|digit| digit.to_digit(10));
    number.is_some_and(|number| number % 2 == 0)
}

/// Number N in `run-N`, the incarnation that a simulated worker reports.
pub(crate) fn incarnation_number(incarnation: &str) -> u32 {
    let number = incarnation
        .strip_prefix("run-")
        .and_then(|number| number.parse().ok());
    number.expect("an incarnation of the simulation")
}

pub(crate) fn worker_name(worker: usize) -> String {
    format!("w{worker}")
}

pub(crate) fn worker_index(name: &str) -> usize {
    name[1..].parse().expect("a worker of the simulation")
}

pub(crate) fn capacity() -> Resources {
    Resources {
        slots: SLOTS,
        ..Resources::default()
    }
}

pub(crate) fn ended(result: EndResult) -> End {
    End {
        result,
        output: String::new(),
        digest: model::digest(""),
    }
}

/// Creates the state machine of an owner of the only shard, with one team whose
/// quota the simulation does not reach. In a later epoch than 1, the owner takes
/// the shard over at this time. After 20 s, tasks of former owners on workers that are not
/// claimed by then are settled as unreachable.
pub(crate) fn machine(ledger: Ledger, times: Times, epoch: u64) -> Machine {
    let limits = Resources {
        cpu_milli: 1000,
        memory_mib: 1000,
        accelerators: 100,
        slots: 100,
        power_watts: 1000,
    };
    let mut config = Config::default();
    config.teams.insert(
        TEAM.to_owned(),
        Team {
            quota: limits,
            span: 1,
            queue: 100,
        },
    );
    let versioned = VersionedConfig {
        version: 1,
        patch_id: "first".to_owned(),
        config,
    };
    let params = MachineParams {
        shard: 0,
        shards: 1,
        epoch,
        takeover_millis: if epoch > 1 { times.wall_millis } else { 0 },
        retention: Duration::from_mins(10),
        claim_deadline: times.now + Duration::from_secs(20),
    };
    Machine::new(params, ledger, Arc::new(versioned), times)
}
