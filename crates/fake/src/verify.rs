//! Judges the answers of a load together with the run log.

use std::collections::HashMap;

use model::Family;
use model::Resources;
use model::request_key;

use crate::Outcome;
use crate::Run;
use crate::TEAM;
use crate::check_at_most_once;
use crate::check_capacity;
use crate::check_not_run;
use crate::check_overlaps;

/// Everything that is wrong, in words; empty when all holds.
#[must_use]
pub fn verify(outcomes: &[Outcome], runs: &[Run], capacity: Resources) -> Vec<String> {
    let mut wrong = Vec::new();
    wrong.extend(
        check_capacity(runs, capacity)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    let durable = keys(outcomes, |outcome| outcome.request.is_durable());
    let durable_runs: Vec<Run> = runs
        .iter()
        .filter(|run| durable.contains(&run.request))
        .cloned()
        .collect();
    wrong.extend(
        check_overlaps(&durable_runs)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    let once = keys(outcomes, |outcome| !outcome.request.idempotent);
    wrong.extend(
        check_at_most_once(runs, &once)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    let not_run = keys(outcomes, |outcome| outcome.family() == Family::NotRun);
    wrong.extend(
        check_not_run(runs, &not_run)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    wrong.extend(outcomes.iter().filter_map(judge_answer));
    wrong
}

fn keys(outcomes: &[Outcome], wanted: impl Fn(&Outcome) -> bool) -> Vec<String> {
    let wanted = outcomes.iter().filter(|outcome| wanted(outcome));
    wanted
        .map(|outcome| request_key(TEAM, &outcome.request.id))
        .collect()
}

fn judge_answer(outcome: &Outcome) -> Option<String> {
    let id = &outcome.request.id;
    let Some(body) = &outcome.answer else {
        return Some(format!(
            "{id}: no final answer after {} calls",
            outcome.calls
        ));
    };
    if body.family != Family::Succeeded {
        return None;
    }
    let task = format!("{}:{}", request_key(TEAM, id), outcome.request.payload);
    let expected = vec![task; usize::try_from(outcome.request.members).unwrap_or_default()];
    let expected = expected.join("\n");
    let own = body.answer.output == expected && body.answer.is_whole();
    (!own).then(|| format!("{id}: not its own whole answer: {:?}", body.answer.output))
}

/// Number of outcomes by family.
#[must_use]
pub fn count_families(outcomes: &[Outcome]) -> HashMap<Family, usize> {
    let mut counts = HashMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.family()).or_default() += 1;
    }
    counts
}
