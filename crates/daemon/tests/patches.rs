//! Patches of the configuration: races, lost answers, invalid documents.

mod support;

use std::time::Duration;
use std::time::Instant;

use fake::Cell;
use fake::Run;
use fake::check_capacity;
use fake::count_families;
use fake::lookup_request;
use fake::run_load;
use model::Family;
use model::Request;
use model::Resources;
use nix::sys::signal::Signal;
use serde_json::json;
use shard::Patch;
use web::StatusCode;

use crate::support::open_cell;
use crate::support::plan_for;
use crate::support::start;

fn patch(id: &str, version: u64, percent: u32) -> Patch {
    Patch {
        id: id.to_owned(),
        version,
        patch: json!({ "pack_percent": percent }),
    }
}

async fn everywhere(cell: &Cell, index: usize, version: u64) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        let config = cell.operator.config(cell.http(index)).await;
        if config.is_ok_and(|config| config.everywhere >= version) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

// Symptom: two operators were both told that theirs is version 2.
// Sequence: both patch version 1 through two processes at the same time.
// Cause: checking the version before the write, instead of in it.
#[tokio::test(flavor = "multi_thread")]
async fn of_racing_patches_exactly_one_is_accepted() {
    let cell = open_cell(3).await;
    let mut version = 1;

    for round in 0..10 {
        let one = patch(&format!("one-{round}"), version, round);
        let two = patch(&format!("two-{round}"), version, 50 + round);
        let (first, second) = tokio::join!(
            cell.operator.patch(cell.http(0), &one),
            cell.operator.patch(cell.http(1), &two),
        );
        let statuses = [first.expect("reply").status, second.expect("reply").status];
        let accepted = statuses
            .iter()
            .filter(|status| **status == StatusCode::OK)
            .count();
        let refused = statuses
            .iter()
            .filter(|status| **status == StatusCode::CONFLICT)
            .count();
        assert_eq!((accepted, refused), (1, 1), "{statuses:?}");
        version += 1;
    }

    assert!(everywhere(&cell, 2, version).await);
    cell.close();
}

// Symptom: an operator who repeated a patch after a lost answer was told that
// it is stale, though it was his own that had been accepted.
// Sequence: the commit takes effect, its answer is lost, the patch is sent
// again through another process. Cause: no memory of patch ids.
#[tokio::test(flavor = "multi_thread")]
async fn a_patch_whose_answer_was_lost_is_found_by_its_id() {
    let cell = open_cell(2).await;
    let mine = patch("mine", 1, 7);

    cell.platform
        .table
        .faults
        .update(|faults| faults.lost_replies = 3);
    let _ = cell.operator.patch(cell.http(0), &mine).await;
    let again = cell
        .operator
        .patch(cell.http(1), &mine)
        .await
        .expect("reply");

    assert_eq!(again.status, StatusCode::OK, "{}", again.text());
    let config = cell.operator.config(cell.http(1)).await.expect("config");
    assert_eq!((config.version, config.config.pack_percent), (2, 7));
    cell.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_is_refused_whole() {
    let cell = open_cell(1).await;
    let bad = Patch {
        id: "bad".to_owned(),
        version: 1,
        patch: json!({ "pack_percent": 20, "site_watts": 10 }),
    };

    let reply = cell
        .operator
        .patch(cell.http(0), &bad)
        .await
        .expect("reply");

    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
    assert!(reply.text().contains("rack_watts"), "{}", reply.text());
    let config = cell.operator.config(cell.http(0)).await.expect("config");
    assert_eq!((config.version, config.config.pack_percent), (1, 0));
    cell.close();
}

// Symptom: a process served an older version than it had shown before.
// Sequence: a patch is accepted while one process is paused and another is
// replaced. Cause: trusting whatever version is read or told last.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_never_reverts_through_pause_and_restart() {
    let mut cell = open_cell(3).await;

    cell.members[1].signal(Signal::SIGSTOP);
    let accepted = cell
        .operator
        .patch(cell.http(0), &patch("a", 1, 5))
        .await
        .expect("reply");
    cell.members[2].kill();
    start(&mut cell, 2);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.members[1].signal(Signal::SIGCONT);

    assert_eq!(accepted.status, StatusCode::OK, "{}", accepted.text());
    for index in 0..3 {
        assert!(everywhere(&cell, index, 2).await, "process {index}");
    }
    cell.close();
}

// Symptom: requests of a small team never started, though it had quota left.
// Sequence: a quota of 4 slots in a cell of 16 shards. Cause: a part of the
// quota for each shard, of which most held no whole task.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_quota_is_used_whole_and_never_exceeded() {
    let cell = open_cell(2).await;
    let quota = json!({
        "cpu_milli": 8000, "memory_mib": 8000, "slots": 4, "power_watts": 400,
    });
    // A team is fixed in its span; so this one is made anew.
    let remove = Patch {
        id: "remove".to_owned(),
        version: 1,
        patch: json!({ "teams": { "stores": null } }),
    };
    let make = Patch {
        id: "make".to_owned(),
        version: 2,
        patch: json!({ "teams": { "stores": { "quota": quota, "queue": 1000 } } }),
    };
    for patch in [remove, make] {
        let reply = cell
            .operator
            .patch(cell.http(0), &patch)
            .await
            .expect("reply");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    assert!(everywhere(&cell, 1, 3).await);
    let plan = plan_for(&cell, 200, 100, |number| Request {
        run_millis: 100,
        ..lookup_request(&format!("small-{number}"))
    });

    let outcomes = run_load(&cell.caller, plan).await;

    let counts = count_families(&outcomes);
    assert_eq!(counts.get(&Family::Succeeded), Some(&100), "{counts:?}");
    let team = Resources {
        cpu_milli: 8000,
        memory_mib: 8000,
        slots: 4,
        power_watts: 400,
        ..Resources::default()
    };
    let runs = cell
        .platform
        .log
        .runs()
        .into_iter()
        .filter(|run| run.request.contains("small"));
    // All of the team's tasks taken as one worker: the quota is its capacity.
    let runs: Vec<Run> = runs
        .map(|run| Run {
            worker: "team".to_owned(),
            ..run
        })
        .collect();
    assert_eq!(check_capacity(&runs, team), vec![]);
    cell.close();
}
