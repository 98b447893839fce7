//! The faults of a soak run and their times, drawn from a seed.

use std::time::Duration;

use fake::Discard;
use fake::RelayPlan;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use site::LateWrites;
use site::Restart;
use site::StoreFaults;

/// Number of processes in the cell, each on its own host.
pub const HOSTS: usize = 4;

/// Number of workers, with four cores each.
pub const WORKERS: usize = 4;

/// Cores of a worker, except while its capacity is reduced: each reduction is a pair of
/// [`Event::Resize`], to fewer cores and back to this number.
const FULL_CORES: usize = 4;

/// Time from the start of the callers until all faults are ended.
pub const FAULT_TIME: Duration = Duration::from_secs(12);

/// Number of faults of a seed.
const FAULTS: std::ops::Range<usize> = 5..10;

/// First seed with workers that change their capacity and tasks that may crash them. Smaller
/// seeds draw no random numbers for such faults, so that they still reproduce the plans of earlier
/// failures.
const FIRST_CRASH_SEED: u64 = 100;

/// Number of temporary capacity changes, each of one worker, in a seed with crashes.
const RESIZES: std::ops::Range<usize> = 3..7;

/// Whether workers change their capacity and tasks may crash them: a seed has both or neither.
pub fn has_crashes(seed: u64) -> bool {
    seed >= FIRST_CRASH_SEED
}

/// First seed with a link of little bandwidth to the workers and with a fraction of a core on
/// host 0.
const FIRST_THIN_SEED: u64 = 300;

/// Whether the link to the workers has little bandwidth and host 0 only a fraction of a core.
pub fn has_thin_link(seed: u64) -> bool {
    seed >= FIRST_THIN_SEED && (!has_restarts(seed) || seed.is_multiple_of(THIN_LINK_RATIO))
}

/// First seed with workers that restart under their ids.
const FIRST_RESTART_SEED: u64 = 400;

/// Among the seeds with restarts, one in this number has a thin link.
const THIN_LINK_RATIO: u64 = 4;

/// Number of restarts in a seed with restarts, each of one worker or of all at the same time.
const RESTARTS: std::ops::Range<usize> = 3..8;

/// Whether workers restart under their ids.
pub fn has_restarts(seed: u64) -> bool {
    seed >= FIRST_RESTART_SEED
}

/// First seed with workers that drain and then restart under their ids.
const FIRST_DRAIN_SEED: u64 = 100_000;

/// Number of drains in a seed with drains, which may overlap.
const DRAINS: std::ops::Range<usize> = 3..8;

/// Number of faults of a seed with drains: the bound on starts on a draining worker does not hold
/// beside faults.
const FEW_FAULTS: std::ops::Range<usize> = 0..3;

/// Whether workers drain.
pub fn has_drains(seed: u64) -> bool {
    (FIRST_DRAIN_SEED..FIRST_REPEAT_SEED).contains(&seed)
}

/// First seed with repeated jobs whose rounds overlap.
const FIRST_REPEAT_SEED: u64 = 200_000;

/// Whether some jobs are repeated.
pub fn has_repeats(seed: u64) -> bool {
    seed >= FIRST_REPEAT_SEED
}

/// First seed with crowds of clients that hold on to connections.
const FIRST_CROWD_SEED: u64 = 300_000;

/// Whether crowds of clients hold on to connections of all processes.
pub fn has_crowds(seed: u64) -> bool {
    (FIRST_CROWD_SEED..FIRST_LATE_SEED).contains(&seed)
}

/// First seed with writes of jobs that the store carries out late, and with callers that cancel jobs
/// whose submission got no answer.
const FIRST_LATE_SEED: u64 = 400_000;

/// Number of times in such a seed at which writes of jobs become late.
const LATE_PHASES: std::ops::Range<usize> = 2..5;

/// Whether the store carries out writes of jobs late.
pub fn has_late_writes(seed: u64) -> bool {
    seed >= FIRST_LATE_SEED
}

/// A fault, its end, or another action on the cell. The first number is the index of a process
/// or worker, except for `Configure`.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Kills a process.
    Kill(usize),
    /// Sends SIGTERM to a process.
    Stop(usize),
    /// Starts a process unless it runs.
    Start(usize),
    /// Pauses a process (SIGSTOP).
    Pause(usize),
    /// Resumes a paused process (SIGCONT).
    Resume(usize),
    /// Makes a process reload its settings (SIGHUP).
    Reload(usize),
    /// Sets the faults of the relay between a process and the store.
    StoreRelay(usize, RelayPlan),
    /// Sets the faults of the relay between all processes and a worker.
    WorkerRelay(usize, RelayPlan),
    /// Sets the faults of the store.
    Store(StoreFaults),
    /// Makes the store drop its history of changes, so that a process that follows the changes
    /// must read all rows again.
    DropHistory,
    /// Makes a worker carry out the next start commands without answering them; the second number
    /// says how many.
    LoseStarts(usize, usize),
    /// Writes this version of the configuration to the store. A drawn event contains 0 until
    /// [`Plan::new`] numbers these events in the order of their times, from version 2.
    Configure(u64),
    /// Changes the capacity of a worker to this number of cores.
    Resize(usize, usize),
    /// Registers a worker as draining; a later `Restart` ends that.
    Drain(usize),
    /// Takes a worker down and restarts it under its id.
    Restart(usize, Restart),
}

/// The events of a soak run, sorted by time.
pub struct Plan {
    /// Time since the start of the callers, and the event.
    pub events: Vec<(Duration, Event)>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn new(seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut events = Vec::new();
        let faults = if has_drains(seed) || has_late_writes(seed) {
            FEW_FAULTS
        } else {
            FAULTS
        };
        for _ in 0..rng.random_range(faults) {
            add_fault(&mut rng, &mut events);
        }
        if has_crashes(seed) {
            for _ in 0..rng.random_range(RESIZES) {
                add_resize(&mut rng, &mut events);
            }
        }
        if has_restarts(seed) {
            for _ in 0..rng.random_range(RESTARTS) {
                add_restart(&mut rng, &mut events);
            }
        }
        if has_drains(seed) {
            for _ in 0..rng.random_range(DRAINS) {
                add_drain(&mut rng, &mut events);
            }
        }
        if has_late_writes(seed) {
            for _ in 0..rng.random_range(LATE_PHASES) {
                add_late_writes(&mut rng, &mut events);
            }
        }
        events.sort_by_key(|(at, _)| *at);
        // The testbed starts with version 1.
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

fn add_late_writes(rng: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let begin = Duration::from_millis(rng.random_range(0..8_000));
    let end = begin + Duration::from_millis(rng.random_range(1_000..4_500));
    let late = LateWrites {
        table: cell::JOB_TABLE,
        ratio: rng.random_range(1..4),
        delay: Duration::from_millis(rng.random_range(1_000..6_000)),
    };
    let faults = StoreFaults {
        late_writes: Some(late),
        ..StoreFaults::default()
    };
    events.push((begin, Event::Store(faults)));
    events.push((end, Event::Store(StoreFaults::default())));
}

fn add_restart(rng: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let at = Duration::from_millis(rng.random_range(0..9_000));
    let worker = rng.random_range(0..WORKERS);
    let all = rng.random_range(0..3) == 0;
    // The values are drawn for all workers, so the number of draws does not depend on how many
    // of them restart.
    for other in 0..WORKERS {
        let downtime = Duration::from_millis(rng.random_range(20..1_200));
        let registers_late = rng.random_range(0..3) == 0;
        let clock_steps_back = rng.random_range(0..4) == 0;
        let restart = Restart {
            downtime,
            registration_delay: Duration::from_millis(if registers_late { 700 } else { 0 }),
            // In milliseconds.
            clock_back: if clock_steps_back { 2_000 } else { 0 },
        };
        if all || other == worker {
            events.push((at, Event::Restart(other, restart)));
        }
    }
}

fn add_drain(rng: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let begin = Duration::from_millis(rng.random_range(0..7_000));
    let end = begin + Duration::from_millis(rng.random_range(2_500..5_000));
    let worker = rng.random_range(0..WORKERS);
    let downtime = Duration::from_millis(rng.random_range(20..1_200));
    events.push((begin, Event::Drain(worker)));
    events.push((end, Event::Restart(worker, Restart::after(downtime))));
}

fn add_resize(rng: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let begin = Duration::from_millis(rng.random_range(0..8_000));
    let end = begin + Duration::from_millis(rng.random_range(300..4_000));
    let worker = rng.random_range(0..WORKERS);
    events.push((begin, Event::Resize(worker, rng.random_range(1..4))));
    events.push((end, Event::Resize(worker, FULL_CORES)));
}

fn add_fault(rng: &mut StdRng, events: &mut Vec<(Duration, Event)>) {
    let begin = Duration::from_millis(rng.random_range(0..8_000));
    let end = begin + Duration::from_millis(rng.random_range(300..4_000));
    let host = rng.random_range(0..HOSTS);
    let worker = rng.random_range(0..WORKERS);
    let link_fault = draw_link_fault(rng);
    let healthy = RelayPlan::default();
    let mut add = |at: Duration, event: Event| events.push((at, event));
    match rng.random_range(0..14) {
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
            // A rolling restart of all processes, 800 ms apart.
            for host in 0..HOSTS {
                let at = begin + Duration::from_millis(800) * u32::try_from(host).unwrap_or(0);
                add(at, Event::Stop(host));
                add(at + Duration::from_millis(400), Event::Start(host));
            }
        }
        7 | 8 => {
            add(begin, Event::StoreRelay(host, link_fault));
            add(end, Event::StoreRelay(host, healthy));
        }
        9 => {
            for host in 0..HOSTS {
                add(begin, Event::StoreRelay(host, link_fault));
                add(end, Event::StoreRelay(host, healthy));
            }
        }
        10 => {
            add(begin, Event::WorkerRelay(worker, link_fault));
            add(end, Event::WorkerRelay(worker, healthy));
        }
        11 => {
            add(begin, Event::Store(draw_store_faults(rng)));
            add(end, Event::Store(StoreFaults::default()));
        }
        12 => {
            // A process that must read all rows again then finds a new version of the
            // configuration among them; `Plan::new` replaces the 0 by the version. Later, one
            // process reloads its settings.
            add(begin, Event::DropHistory);
            add(begin, Event::Configure(0));
            add(end, Event::Reload(host));
        }
        _ => add(begin, Event::LoseStarts(worker, 2)),
    }
}

/// Draws a fault of a relay: closed connections, a delay, or data that is discarded in one
/// direction or both.
fn draw_link_fault(rng: &mut StdRng) -> RelayPlan {
    let discard = |discard: Discard| RelayPlan {
        discard,
        ..RelayPlan::default()
    };
    match rng.random_range(0..5) {
        0 => RelayPlan {
            cut: true,
            ..RelayPlan::default()
        },
        1 => RelayPlan {
            delay: Duration::from_millis(300),
            ..RelayPlan::default()
        },
        2 => discard(Discard::Requests),
        3 => discard(Discard::Replies),
        _ => discard(Discard::Both),
    }
}

/// Draws a fault of the store: all calls refused, slow transactions, replies of transactions that
/// are lost, or a change feed that does not answer.
fn draw_store_faults(rng: &mut StdRng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match rng.random_range(0..4) {
        0 => faults.down = true,
        1 => faults.delay = Duration::from_millis(700),
        2 => faults.lost_replies = 5,
        _ => faults.hung_feed = true,
    }
    faults
}
