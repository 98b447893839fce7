//! The owner of the shard: its records, its clock, its death and its successor.

use std::time::Duration;

use shard::Input;
use shard::Ledger;
use shard::WorkerHost;
use store::Host;
use store::HostState;

use super::WORKERS;
use super::World;
use super::facts::machine;
use super::facts::name_of;

impl World {
    pub(super) fn write(&mut self) {
        if self.queued.is_empty() {
            return;
        }
        let (ticket, records) = self.queued.remove(0);
        self.committed.extend(records);
        self.feed(Input::Written(ticket));
    }

    pub(super) fn wait(&mut self, millis: u64) {
        self.times.now += Duration::from_millis(millis);
        self.times.wall_millis += millis;
        self.feed(Input::Tick);
    }

    pub(super) fn die(&mut self) {
        self.epoch += 1;
        self.queued.clear();
        self.waiters.clear();
        for worker in &mut self.workers {
            worker.unread.clear();
        }
        let mut ledger = Ledger::default();
        for record in &self.committed {
            ledger.replay(record, self.times);
        }
        self.machine = machine(ledger, self.times, self.epoch);
        self.link_all();
    }

    pub(super) fn link_all(&mut self) {
        let host = |worker: usize| WorkerHost {
            host: Host {
                id: name_of(worker),
                address: ([127, 0, 0, 1], 1).into(),
                domain: "tacoma".to_owned(),
                rack: format!("rack-{worker}"),
                state: HostState::Live,
            },
            assigned: 1,
        };
        self.feed(Input::Workers((0..WORKERS).map(host).collect()));
    }
}
