//! Drives a shard's state machine with arbitrary events: messages that are
//! lost, repeated or reordered, workers that restart, and owners that crash.

mod simulation;

use bolero::check;

use crate::simulation::Simulation;
use crate::simulation::Step;

// Guards against a shard that is correct only if events arrive in order. With
// arbitrary steps, no worker exceeds its slots, no request that is not
// idempotent runs twice, no request that ran is answered "not run", and no call
// gets two answers.
#[test]
fn arbitrary_events_violate_no_invariant() {
    check!()
        .with_type::<Vec<Step>>()
        .with_iterations(4000)
        .with_max_len(2048)
        .for_each(|steps| {
            let mut sim = Simulation::new();
            for step in steps {
                sim.apply(step);
                sim.check_invariants();
            }
            sim.settle();
            sim.check_invariants();
        });
}

// Guards against a request running in two places: a worker restarts and is
// claimed again, and before the shard handles that claim, it places a task
// there, whose start the new incarnation accepts. The start must name the
// incarnation that the shard decided on, not the one that the link has claimed.
#[test]
fn a_start_for_an_old_incarnation_is_refused_by_the_new_one() {
    let mut sim = Simulation::new();

    // Both workers are claimed again, but the shard handles the claims only in
    // `settle`, after the start has arrived.
    sim.apply(&Step::Restart(0));
    sim.apply(&Step::Restart(1));
    sim.apply(&Step::Claim(0));
    sim.apply(&Step::Claim(1));
    sim.apply(&Step::Submit(1));
    sim.apply(&Step::Commit);
    sim.apply(&Step::Arrive(0));
    sim.settle();

    sim.check_invariants();
}

// Checks that the simulation itself detects violations: with the workers' epoch
// check disabled, a take-over between a start and its arrival runs a
// request twice that is not idempotent.
#[test]
#[should_panic(expected = "ran twice")]
fn the_simulation_detects_a_second_run() {
    let mut sim = Simulation::new();
    sim.skip_fencing = true;

    sim.apply(&Step::Submit(1));
    sim.apply(&Step::Commit);
    sim.apply(&Step::CrashOwner);
    for worker in [0, 1] {
        sim.apply(&Step::Claim(worker));
        sim.apply(&Step::DeliverReports(worker));
    }
    sim.apply(&Step::Commit);
    // The starts of both owners arrive, in the order in which they were sent.
    for _ in 0..4 {
        sim.apply(&Step::Arrive(0));
        sim.check_invariants();
    }
}
