//! Drives the state machine of a shard with arbitrary events: messages that
//! are lost, repeated or out of order, workers that restart, owners that die.

mod simulation;

use bolero::check;

use crate::simulation::Simulation;
use crate::simulation::Step;

// Symptom: any of: a worker over its slots, a confirmation that ran twice,
// "not run" said of something that ran, two answers to one call. Sequence:
// arbitrary. Cause: a rule of the machine that holds only in order.
#[test]
fn arbitrary_events_break_no_rule() {
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

// Symptom: a restock ran in two places. Sequence: its worker restarts and is
// claimed again; before the shard hears of it, it places a task there, whose
// start the new run accepts. Cause: a start that named the run which the link
// had claimed, instead of the one that the shard had decided on.
#[test]
fn a_start_for_an_old_run_is_not_taken_by_the_new_one() {
    let mut sim = Simulation::new();

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

// The world itself must notice harm: with the guard of the workers taken out,
// a take-over in between a start and its arrival runs a confirmation twice.
#[test]
#[should_panic(expected = "ran twice")]
fn the_world_notices_a_second_run() {
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
    for _ in 0..4 {
        sim.apply(&Step::Arrive(0));
        sim.check_invariants();
    }
}
