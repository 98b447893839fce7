//! Starts that an owner's link has room for.
//!
//! Symptom: members of gangs waited for the others in vain, and ends were heard of seconds
//! late. Sequence: a burst of starts, or all that waits after a take-over, is sent at once
//! over a thin link. Cause: nothing bounded the starts under way. Line 373 showed it: on a
//! link of 2 Mbit/s, 199,304 bytes of orders in a second and answers that took 0.9 s.

mod support;

use support::add_claimed;
use support::plan_at;
use support::planner;
use support::spec;
use support::step;

/// Guards against more starts than the link has room for.
#[test]
fn no_more_tasks_start_than_there_is_room_for() {
    let mut planner = planner(1);
    for worker in ["w1", "w2", "w3"] {
        add_claimed(&mut planner, worker);
    }
    planner.add_job(7, spec(vec![step(10)]), None, false);

    planner.set_start_budget(3);
    let first = plan_at(&mut planner, 1).len();
    planner.set_start_budget(0);
    let second = plan_at(&mut planner, 2).len();
    planner.set_start_budget(20);
    let third = plan_at(&mut planner, 3).len();

    assert_eq!((first, second, third), (3, 0, 7));
}

/// Guards against gangs of which only a part is started.
#[test]
fn a_gang_starts_whole_or_waits_for_room() {
    let mut planner = planner(1);
    for worker in ["w1", "w2", "w3"] {
        add_claimed(&mut planner, worker);
    }
    let mut gang = step(10);
    gang.gang = true;
    planner.add_job(7, spec(vec![gang]), None, false);

    planner.set_start_budget(0);
    let none = plan_at(&mut planner, 1).len();
    planner.set_start_budget(2);
    let all = plan_at(&mut planner, 2).len();

    assert_eq!((none, all), (0, 10));
}
