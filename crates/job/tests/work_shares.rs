//! Shares of organisations by their work, when the pool is full.
#![allow(missing_docs, clippy::cast_precision_loss)]

mod share_sim;
mod support;

use job::LearntUsage;
use job::Mechanism;
use job::StepSpec;
use share_sim::ShareSim;
use support::step;

const ON: &[Mechanism] = &[Mechanism::WorkShares];

/// Organisations that send their usual work, each 1.8 tasks of 1 s a second on average: 19 and the one
/// that floods use 36 of the 40 cores.
const OTHERS: usize = 19;

/// Ticks between two jobs of an organisation.
const INTERVAL: u64 = 11;

/// How the organisation `flood` sends eight times its usual work.
#[derive(Clone, Copy, PartialEq)]
enum Flood {
    None,
    /// Single tasks.
    Jobs,
    /// Gangs of 16 tasks, fewer than one a second.
    Gangs,
}

/// Submits the usual work of a tick.
fn submit_usual(sim: &mut ShareSim, tick: u64) {
    for other in 0..OTHERS {
        if (tick + other as u64).is_multiple_of(INTERVAL) {
            sim.submit(&format!("usual-{other}"), 0, step(1));
        }
    }
}

/// Submits the work of the organisation `flood` in a tick.
fn submit_flood(sim: &mut ShareSim, tick: u64, flood: Flood) {
    match flood {
        Flood::None if tick.is_multiple_of(INTERVAL) => sim.submit_many("flood", 1),
        Flood::Jobs if tick.is_multiple_of(INTERVAL) => sim.submit_many("flood", 8),
        Flood::Gangs if tick.is_multiple_of(2 * INTERVAL) => {
            let gang = StepSpec {
                gang: true,
                ..step(16)
            };
            sim.submit("flood", 0, gang);
        }
        _ => {}
    }
}

/// Replays 20 s with a flood from 4 s to 14 s; an owner is replaced at 9 s if `take_over` says so, with or
/// without the learnt use. Returns the replay.
fn replay(on: &[Mechanism], flood: Flood, take_over: Option<bool>) -> ShareSim {
    let mut sim = ShareSim::new(on);
    sim.weights.insert("flood".to_owned(), 2.0);
    for other in 0..OTHERS {
        sim.weights.insert(format!("usual-{other}"), 2.0);
    }
    for tick in 0..400 {
        let now = if (80..280).contains(&tick) {
            flood
        } else {
            Flood::None
        };
        submit_usual(&mut sim, tick);
        submit_flood(&mut sim, tick, now);
        if let Some(with_usage) = take_over.filter(|_| tick == 180) {
            sim.take_over(with_usage);
        }
        sim.tick();
    }
    sim
}

/// Returns the largest loss of service of an organisation other than `flood`.
fn largest_loss(sim: &ShareSim, without: &ShareSim) -> f64 {
    let times = 4000..16_000;
    let losses = (0..OTHERS).map(|other| {
        let name = format!("usual-{other}");
        without.service(&name, times.clone()) - sim.service(&name, times.clone())
    });
    losses.fold(0.0, f64::max)
}

/// Guards against an organisation that delays others with eight times its usual work.
#[test]
fn a_flood_costs_others_nothing() {
    let without = replay(ON, Flood::None, None);

    for flood in [Flood::Jobs, Flood::Gangs] {
        let loss = largest_loss(&replay(ON, flood, None), &without);

        assert!(loss < 0.02, "lost {loss}");
    }
}

/// Guards against a successor that lets a flood go before the work of others.
#[test]
fn a_flood_across_a_change_of_owners_costs_others_nothing() {
    for with_usage in [true, false] {
        let without = replay(ON, Flood::None, Some(with_usage));

        for flood in [Flood::Jobs, Flood::Gangs] {
            let loss = largest_loss(&replay(ON, flood, Some(with_usage)), &without);

            assert!(
                loss < 0.02,
                "lost {loss}, with the learnt use: {with_usage}"
            );
        }
    }
}

/// Guards against a share that counts jobs: an organisation that sends in bursts loses beside one that
/// sends the same work evenly.
#[test]
fn bursts_are_served_like_even_work() {
    let mut sim = ShareSim::new(ON);
    for (name, weight) in [("even", 4.0), ("bursts", 4.0), ("flood", 32.0)] {
        sim.weights.insert(name.to_owned(), weight);
    }

    for tick in 0..400 {
        sim.submit_many("flood", if tick % 4 == 0 { 8 } else { 0 });
        sim.submit_many("even", u64::from(tick % 6 == 0));
        sim.submit_many("bursts", if tick % 42 == 0 { 7 } else { 0 });
        sim.tick();
    }

    let service = ["even", "bursts"].map(|name| sim.service(name, 2000..16_000));
    assert!((service[0] - service[1]).abs() < 0.05, "{service:?}");
    assert!(service[1] > 0.9, "{service:?}");
}

/// Guards against idle workers while only steps beyond a share wait.
#[test]
fn an_organisation_beyond_its_share_uses_what_is_left() {
    let mut sim = ShareSim::new(ON);
    sim.weights.insert("flood".to_owned(), 0.1);

    for tick in 0..100 {
        sim.submit_many("flood", 4);
        sim.submit_many("usual", u64::from(tick % 20 == 0));
        sim.tick();
        let running = sim.running("flood") + sim.running("usual");
        assert!(tick < 10 || running == 40, "{running} cores in use");
    }
}

/// Guards against shares that are far from the weights.
#[test]
fn shares_follow_the_weights() {
    let mut sim = ShareSim::new(ON);
    let weights = [("one", 1.0), ("two", 2.0), ("five", 5.0)];
    for (name, weight) in weights {
        sim.weights.insert(name.to_owned(), weight);
    }

    for tick in 0..400 {
        for (name, count) in [("one", 2), ("two", 2), ("five", 3)] {
            sim.submit_many(name, count);
        }
        if tick == 100 {
            sim.work.clear();
        }
        sim.tick();
    }

    let total: u64 = sim.work.values().sum();
    for (name, weight) in weights {
        let share = sim.work[name] as f64 / total as f64;
        let fair = weight / 8.0;
        assert!(
            (share / fair - 1.0).abs() < 0.1,
            "{name}: {share} of {fair}"
        );
    }
}

/// Guards against results that have lost their value and delay work that can be in time, even of an
/// organisation beyond its share.
#[test]
fn steps_without_value_go_last() {
    let mut sim = ShareSim::new(ON);
    for _ in 0..300 {
        sim.tick();
    }
    for _ in 0..100 {
        sim.submit_many("flood", 4);
        sim.tick();
    }
    for _ in 0..40 {
        sim.submit_late("usual", 0, step(1), 20_000);
    }

    for _ in 0..20 {
        sim.submit_many("flood", 4);
        sim.tick();

        assert_eq!(sim.running("usual"), 0);
    }
}

/// Guards against batch work that delays the lookups of its own organisation.
#[test]
fn less_urgent_use_does_not_count() {
    let mut sim = ShareSim::new(ON);
    for tick in 0..300 {
        for _ in 0..4 {
            sim.submit("mixed", 2, step(1));
        }
        if tick >= 200 {
            if tick % 4 == 0 {
                sim.submit("mixed", 0, step(1));
            }
            sim.submit_many("usual", 4);
        }
        sim.tick();
    }

    let urgent = sim.waits("mixed", 0, 10_000..13_000);
    assert!(urgent.iter().all(|wait| *wait <= 1500), "{urgent:?}");
}

/// Replays 60 s of more work than the pool can do, after a job of the lowest priority behind 100 others of
/// its organisation; returns how long that job waited.
fn wait_of_old_job(first: &StepSpec) -> Option<u64> {
    let mut sim = ShareSim::new(ON);
    sim.submit("flood", 0, first.clone());
    sim.submit_many("flood", 100);
    let old = sim.submit("flood", 2, step(1));
    for tick in 0..1200 {
        sim.submit_many("flood", 1 + tick % 2);
        sim.submit_many("usual", 1);
        sim.tick();
    }
    sim.waited(old)
}

/// Guards against a job that waits for ever while newer and more urgent work fills the pool. One start in
/// ten, of 40 a second, is for those that have waited for 30 s.
#[test]
fn no_job_waits_for_ever() {
    let wait = wait_of_old_job(&step(1));

    assert!(wait.is_some_and(|wait| wait < 56_000), "{wait:?}");
}

/// Guards against a turn that a step keeps which no worker can run.
#[test]
fn a_step_without_workers_does_not_keep_the_turn() {
    let nowhere = StepSpec {
        label: "nowhere".to_owned(),
        ..step(1)
    };

    let wait = wait_of_old_job(&nowhere);

    assert!(wait.is_some_and(|wait| wait < 61_000), "{wait:?}");
}

/// Guards against a limit that does not hold, or that is not used, when it changes while the pool is full.
#[test]
fn limits_hold_while_they_change() {
    let mut sim = ShareSim::new(ON);
    for tick in 0..300 {
        sim.submit_many("flood", 4);
        sim.submit_many("usual", 1);
        match tick {
            100 => sim.limit(1, "flood", 4000),
            200 => sim.limit(2, "flood", 12_000),
            _ => {}
        }
        sim.tick();
        let running = sim.running("flood");
        // What ran under the former limit ends within a second.
        assert!(
            !(121..200).contains(&tick) || running == 4,
            "{running} cores at tick {tick}"
        );
        assert!(
            tick < 200 || running <= 12,
            "{running} cores at tick {tick}"
        );
        assert!(
            tick < 221 || running == 12,
            "{running} cores at tick {tick}"
        );
    }
}

/// Guards against a mechanism that changes the plan while all work fits.
#[test]
fn the_plan_is_the_same_while_all_work_fits() {
    let [on, off] = [ON, &[]].map(|on| replay(on, Flood::None, None).started);

    assert!(on == off);
}

/// Guards against an organisation that is punished for ever: use that has ended is forgotten.
#[test]
fn former_use_is_forgotten() {
    let mut sim = ShareSim::new(ON);
    sim.submit_many("flood", 400);
    for _ in 0..240 {
        sim.tick();
    }
    let busy = sim.planner.learnt_usage();
    for _ in 0..300 {
        sim.tick();
    }

    let left = sim.planner.learnt_usage();

    assert!(busy[0].work > 100, "{busy:?}");
    assert!(left.iter().all(|one| one.work < 10), "{left:?}");
}

/// Guards against an organisation that was idle and then keeps others out for long.
#[test]
fn an_organisation_that_was_idle_takes_more_than_its_share_only_for_a_while() {
    let mut sim = ShareSim::new(ON);
    for _ in 0..200 {
        sim.submit_many("steady", 4);
        sim.tick();
    }

    let mut running = Vec::new();
    for _ in 0..100 {
        sim.submit_many("steady", 4);
        sim.submit_many("idle", 4);
        sim.tick();
        running.push(sim.running("idle"));
    }

    // Its share is half of the 40 cores.
    let settled = &running[80..];
    assert!(
        settled.iter().all(|cores| (14..=26).contains(cores)),
        "{running:?}"
    );
}

/// Guards against a successor that does not know who used the pool, and against a row of any length.
#[test]
fn a_successor_continues_with_the_learnt_use() {
    let mut sim = replay(ON, Flood::Jobs, None);
    for number in 0..1100 {
        sim.submit_many(&format!("small-{number}"), 2);
    }
    for _ in 0..100 {
        sim.tick();
    }
    let before = sim.planner.learnt_usage();

    sim.take_over(true);

    let after = sim.planner.learnt_usage();
    assert!(before.len() <= 1000, "{}", before.len());
    let of_flood = |learnt: &[LearntUsage]| {
        let own = learnt.iter().find(|one| one.organisation == "flood");
        own.map(|one| one.work)
    };
    assert_eq!(of_flood(&after), of_flood(&before));
}

/// Guards against idle workers, whatever the organisations send and with whatever weights.
#[test]
fn no_worker_is_idle_while_steps_wait() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .with_iterations(100)
        .for_each(|events| {
            let mut sim = ShareSim::new(ON);
            for (name, weight) in [("a", 1.0), ("b", 3.0), ("c", 0.0)] {
                sim.weights.insert(name.to_owned(), weight);
            }
            for &(kind, count) in events.iter().take(100) {
                let name = ["a", "b", "c"][usize::from(kind % 3)];
                for _ in 0..count % 16 {
                    sim.submit(name, u32::from(kind / 64), step(1));
                }
                sim.tick();
                let load = sim.planner.load();
                assert!(load.waiting == 0 || load.placed == 40, "{load:?}");
            }
        });
}
