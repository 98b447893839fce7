//! Fixed facts of the world: its requests, its workers and its limits.

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
use shard::MachineFacts;
use shard::Times;
use worker::End;
use worker::EndResult;

use super::SLOTS;

pub(crate) const TEAM: &str = "stores";

/// Even requests may run twice; the others, and restocks, are recorded.
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

pub(crate) fn is_idempotent(key: &str) -> bool {
    let number = key.chars().last().and_then(|digit| digit.to_digit(10));
    number.is_some_and(|number| number % 2 == 0)
}

pub(crate) fn run_number(run: &str) -> u32 {
    let number = run
        .strip_prefix("run-")
        .and_then(|number| number.parse().ok());
    number.expect("a run of this world")
}

pub(crate) fn name_of(worker: usize) -> String {
    format!("w{worker}")
}

pub(crate) fn index_of(name: &str) -> usize {
    name[1..].parse().expect("a worker of this world")
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

pub(crate) fn machine(ledger: Ledger, times: Times, epoch: u64) -> Machine {
    let most = Resources {
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
            quota: most,
            span: 1,
            queue: 100,
        },
    );
    let numbered = VersionedConfig {
        version: 1,
        patch_id: "first".to_owned(),
        config,
    };
    let facts = MachineFacts {
        shard: 0,
        shards: 1,
        epoch,
        since_millis: if epoch > 1 { times.wall_millis } else { 0 },
        retention: Duration::from_mins(10),
        missing_at: times.now + Duration::from_secs(20),
    };
    Machine::new(facts, ledger, Arc::new(numbered), times)
}
