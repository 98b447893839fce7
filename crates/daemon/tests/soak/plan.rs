//! What happens when, drawn from a seed.

use std::time::Duration;

use fake::Mute;
use fake::RelayPlan;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use site::Restart;
use site::StoreFaults;

/// Processes of a cell.
pub const HOSTS: usize = 4;

/// Workers of four cores each.
pub const WORKERS: usize = 4;

/// Cores of a worker that has not changed.
const USUAL_CORES: usize = 4;

/// Time in which faults happen; all are over at its end.
pub const FAULT_TIME: Duration = Duration::from_secs(12);

/// Faults of a seed.
const FAULTS: std::ops::Range<usize> = 5..10;

/// First seed whose workers change their size, and whose tasks may crash them. The
/// plans of the seeds before stay as they were.
const ROUGH_SEEDS: u64 = 100;

/// Changes of the size of a worker, in a rough seed.
const RESIZES: std::ops::Range<usize> = 3..7;

/// Whether workers change their size, and tasks may crash them.
pub fn rough(seed: u64) -> bool {
    seed >= ROUGH_SEEDS
}

/// First seed whose workers stand behind a thin link, and whose first host is small.
const THIN_SEEDS: u64 = 300;

/// Whether the workers stand behind a thin link, and the first host is small.
pub fn thin(seed: u64) -> bool {
    seed >= THIN_SEEDS && (!lasting(seed) || seed.is_multiple_of(THIN_ONE_IN))
}

/// First seed whose workers start again under their ids.
const LASTING_SEEDS: u64 = 400;

/// One in so many of these stands behind a thin link.
const THIN_ONE_IN: u64 = 4;

/// Restarts of one worker or of all, in such a seed.
const RESTARTS: std::ops::Range<usize> = 3..8;

/// Whether workers start again under their ids.
pub fn lasting(seed: u64) -> bool {
    seed >= LASTING_SEEDS
}

/// One thing that is done to the cell.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A process is killed.
    Kill(usize),
    /// It is asked to stop.
    Stop(usize),
    /// It starts, if it does not run.
    Start(usize),
    /// It stands still.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// It is told that its settings have changed.
    Reload(usize),
    /// The way of a process to the store.
    StoreWay(usize, RelayPlan),
    /// The way of all processes to a worker.
    WorkerWay(usize, RelayPlan),
    /// The store itself.
    Store(StoreFaults),
    /// The store drops its history.
    Forget,
    /// So many starts at a worker are carried out and not answered.
    LoseStarts(usize, usize),
    /// A newer configuration.
    Configure(u64),
    /// A worker has so many cores from now on.
    Resize(usize, usize),
    /// A worker goes down and starts again under its id.
    Restart(usize, Restart),
}

/// Events in the order of their times.
pub struct Plan {
    /// Time from the begin, and what happens.
    pub events: Vec<(Duration, Event)>,
}

impl Plan {
    /// The plan of a seed.
    pub fn new(seed: u64) -> Plan {
        let mut random = StdRng::seed_from_u64(seed);
        let mut events = Vec::new();
        for _ in 0..random.random_range(FAULTS) {
            add_fault(&mut random, &mut events);
        }
        if rough(seed) {
            for _ in 0..random.random_range(RESIZES) {
                add_resize(&mut random, &mut events);
            }
        }
        if lasting(seed) {
            for _ in 0..random.random_range(RESTARTS) {
                add_restart(&mut random, &mut events);
            }
        }
        events.sort_by_key(|(at, _)| *at);
        let mut version = 1;
        for (_, event) in &mut events {
            if let Event::Configure(number) = event {
                version += 1;
                *number = version;
            }
        }
        Plan { events }
    }
}

fn add_restart(random: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let at = Duration::from_millis(random.random_range(0..9_000));
    let worker = random.random_range(0..WORKERS);
    let all = random.random_range(0..3) == 0;
    for other in 0..WORKERS {
        let downtime = Duration::from_millis(random.random_range(20..1_200));
        let late = random.random_range(0..3) == 0;
        let back = random.random_range(0..4) == 0;
        let restart = Restart {
            downtime,
            registration_delay: Duration::from_millis(if late { 700 } else { 0 }),
            clock_back: if back { 2_000 } else { 0 },
        };
        if all || other == worker {
            events.push((at, Event::Restart(other, restart)));
        }
    }
}

fn add_resize(random: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let begin = Duration::from_millis(random.random_range(0..8_000));
    let end = begin + Duration::from_millis(random.random_range(300..4_000));
    let worker = random.random_range(0..WORKERS);
    events.push((begin, Event::Resize(worker, random.random_range(1..4))));
    events.push((end, Event::Resize(worker, USUAL_CORES)));
}

fn add_fault(random: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let begin = Duration::from_millis(random.random_range(0..8_000));
    let end = begin + Duration::from_millis(random.random_range(300..4_000));
    let host = random.random_range(0..HOSTS);
    let worker = random.random_range(0..WORKERS);
    let way = broken_way(random);
    let well = RelayPlan::default();
    let mut add = |at: Duration, event: Event| events.push((at, event));
    match random.random_range(0..14) {
        0 | 1 => {
            add(begin, Event::Kill(host));
            add(end, Event::Start(host));
        }
        2 => {
            add(begin, Event::Stop(host));
            add(end, Event::Start(host));
        }
        3 | 4 => {
            add(begin, Event::Pause(host));
            add(end, Event::Resume(host));
        }
        5 => {
            for host in 0..HOSTS {
                add(begin, Event::Kill(host));
                add(end, Event::Start(host));
            }
        }
        6 => {
            // Replaced one after the other.
            for host in 0..HOSTS {
                let at = begin + Duration::from_millis(800) * u32::try_from(host).unwrap_or(0);
                add(at, Event::Stop(host));
                add(at + Duration::from_millis(400), Event::Start(host));
            }
        }
        7 | 8 => {
            add(begin, Event::StoreWay(host, way));
            add(end, Event::StoreWay(host, well));
        }
        9 => {
            for host in 0..HOSTS {
                add(begin, Event::StoreWay(host, way));
                add(end, Event::StoreWay(host, well));
            }
        }
        10 => {
            add(begin, Event::WorkerWay(worker, way));
            add(end, Event::WorkerWay(worker, well));
        }
        11 => {
            add(begin, Event::Store(store_faults(random)));
            add(end, Event::Store(StoreFaults::default()));
        }
        12 => {
            add(begin, Event::Forget);
            add(begin, Event::Configure(0));
            add(end, Event::Reload(host));
        }
        _ => add(begin, Event::LoseStarts(worker, 2)),
    }
}

fn broken_way(random: &mut StdRng) -> RelayPlan {
    let mute = |mute: Mute| RelayPlan {
        mute,
        ..RelayPlan::default()
    };
    match random.random_range(0..5) {
        0 => RelayPlan {
            cut: true,
            ..RelayPlan::default()
        },
        1 => RelayPlan {
            delay: Duration::from_millis(300),
            ..RelayPlan::default()
        },
        2 => mute(Mute::Requests),
        3 => mute(Mute::Answers),
        _ => mute(Mute::Both),
    }
}

fn store_faults(random: &mut StdRng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match random.random_range(0..4) {
        0 => faults.down = true,
        1 => faults.delay = Duration::from_millis(700),
        2 => faults.lost_replies = 5,
        _ => faults.hung_feed = true,
    }
    faults
}
