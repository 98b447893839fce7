//! The owner of the shard: its commits, its clock, its crashes and its
//! successors.

use std::time::Duration;

use shard::Input;
use shard::Ledger;
use shard::WorkerHost;
use store::Host;
use store::HostState;

use super::Simulation;
use super::WORKERS;
use super::fixtures::machine;
use super::fixtures::worker_name;

impl Simulation {
    pub(super) fn commit_next(&mut self) {
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

    pub(super) fn crash_owner(&mut self) {
        self.epoch += 1;
        self.queued.clear();
        self.waiters.clear();
        for worker in &mut self.workers {
            worker.undelivered.clear();
        }
        let mut ledger = Ledger::default();
        for record in &self.committed {
            ledger.replay(record, self.times);
        }
        self.machine = machine(ledger, self.times, self.epoch);
        self.set_workers();
    }

    pub(super) fn set_workers(&mut self) {
        let host = |worker: usize| WorkerHost {
            host: Host {
                id: worker_name(worker),
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
