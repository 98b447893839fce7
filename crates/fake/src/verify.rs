//! Checks the answers to a load against the run log of the workers.

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

/// Returns a description of each violated guarantee of the scheduler; empty if
/// there is none.
#[must_use]
pub fn verify(outcomes: &[Outcome], runs: &[Run], capacity: Resources) -> Vec<String> {
    let mut violations = Vec::new();
    violations.extend(
        check_capacity(runs, capacity)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    // Only durable requests (batch, gang, or not idempotent) are checked for overlaps. An
    // idempotent interactive or service request may run twice at the same time, since no
    // intent is recorded before its start.
    let durable = request_keys(outcomes, |outcome| outcome.request.is_durable());
    let durable_runs: Vec<Run> = runs
        .iter()
        .filter(|run| durable.contains(&run.request))
        .cloned()
        .collect();
    violations.extend(
        check_overlaps(&durable_runs)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    let at_most_once = request_keys(outcomes, |outcome| !outcome.request.idempotent);
    violations.extend(
        check_at_most_once(runs, &at_most_once)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    let not_run = request_keys(outcomes, |outcome| outcome.family() == Family::NotRun);
    violations.extend(
        check_not_run(runs, &not_run)
            .iter()
            .map(|v| format!("{v:?}")),
    );
    violations.extend(outcomes.iter().filter_map(check_answer));
    violations
}

fn request_keys(outcomes: &[Outcome], selected: impl Fn(&Outcome) -> bool) -> Vec<String> {
    let selected = outcomes.iter().filter(|outcome| selected(outcome));
    selected
        .map(|outcome| request_key(TEAM, &outcome.request.id))
        .collect()
}

/// Describes a missing final answer, or an output that differs from what the
/// stand-in workers return: one line `KEY:PAYLOAD` for each member.
fn check_answer(outcome: &Outcome) -> Option<String> {
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
    let matches = body.answer.output == expected && body.answer.has_valid_digest();
    (!matches).then(|| {
        format!(
            "{id}: wrong output or digest: expected {expected:?}, got {:?}",
            body.answer.output
        )
    })
}

/// Counts the outcomes by the family of their final answer.
#[must_use]
pub fn count_families(outcomes: &[Outcome]) -> HashMap<Family, usize> {
    let mut counts = HashMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.family()).or_default() += 1;
    }
    counts
}
