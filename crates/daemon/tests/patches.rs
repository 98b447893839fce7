//! Patches of the configuration: concurrent and repeated patches, invalid documents, and a
//! change of a team's quota.

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

use crate::support::load_plan;
use crate::support::open_cell;
use crate::support::start;

/// A patch of this version of the configuration that sets `pack_percent`.
fn patch(id: &str, version: u64, percent: u32) -> Patch {
    Patch {
        id: id.to_owned(),
        version,
        patch: json!({ "pack_percent": percent }),
    }
}

/// Waits until the process with this index reports that all processes use at least this version
/// of the configuration; returns false if it does not within 15 s.
async fn wait_everywhere(cell: &Cell, index: usize, version: u64) -> bool {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        let config = cell.operator.config(cell.http(index)).await;
        if config.is_ok_and(|config| config.everywhere >= version) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

// Guards against two operators who patch the same version through two processes at the same
// time and both get the answer that their patch is the next version. This happens if the version
// is checked before the write instead of in the same transaction.
#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_two_concurrent_patches_is_accepted() {
    let cell = open_cell(3).await;
    let mut version = 1;

    for round in 0..10 {
        let first_patch = patch(&format!("one-{round}"), version, round);
        let second_patch = patch(&format!("two-{round}"), version, 50 + round);
        let (first, second) = tokio::join!(
            cell.operator.patch(cell.http(0), &first_patch),
            cell.operator.patch(cell.http(1), &second_patch),
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

    assert!(wait_everywhere(&cell, 2, version).await);
    cell.close();
}

// Guards against refusing a repeated patch as stale although the newer version is the result of
// this same patch. The commit of the patch takes effect, but the table's answer to it is lost,
// so the operator sends the patch again through another process. This process must recognise
// the id of the patch.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_patch_is_recognised_by_its_id() {
    let cell = open_cell(2).await;
    let lost_patch = patch("mine", 1, 7);

    // Loses the replies to the next three commits, among them the commit of the patch.
    cell.platform
        .table
        .faults
        .update(|faults| faults.lost_replies = 3);
    let _ = cell.operator.patch(cell.http(0), &lost_patch).await;
    let repeated = cell
        .operator
        .patch(cell.http(1), &lost_patch)
        .await
        .expect("reply");

    assert_eq!(repeated.status, StatusCode::OK, "{}", repeated.text());
    let config = cell.operator.config(cell.http(1)).await.expect("config");
    assert_eq!((config.version, config.config.pack_percent), (2, 7));
    cell.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_changes_nothing() {
    let cell = open_cell(1).await;
    let invalid = Patch {
        id: "bad".to_owned(),
        version: 1,
        patch: json!({ "pack_percent": 20, "site_watts": 10 }),
    };

    let reply = cell
        .operator
        .patch(cell.http(0), &invalid)
        .await
        .expect("reply");

    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
    assert!(reply.text().contains("rack_watts"), "{}", reply.text());
    let config = cell.operator.config(cell.http(0)).await.expect("config");
    assert_eq!((config.version, config.config.pack_percent), (1, 0));
    cell.close();
}

// Guards against a process that stays at, or returns to, an older version of the configuration.
// A patch is accepted while one process is paused and another is killed and started again. A
// process must adopt the highest version, not the one that it has read or received last.
#[tokio::test(flavor = "multi_thread")]
async fn all_processes_adopt_a_patch_after_a_pause_and_a_restart() {
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
        assert!(wait_everywhere(&cell, index, 2).await, "process {index}");
    }
    cell.close();
}

// Guards against requests that never start although their team has quota left. If a quota of
// 4 slots were divided equally among the 16 shards of the cell, no shard could start a task.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_quota_is_used_fully_and_never_exceeded() {
    let cell = open_cell(2).await;
    let quota = json!({
        "cpu_milli": 8000, "memory_mib": 8000, "slots": 4, "power_watts": 400,
    });
    // The span of an existing team (the number of its shards) cannot change, so the team is
    // removed and created again.
    let remove = Patch {
        id: "remove".to_owned(),
        version: 1,
        patch: json!({ "teams": { "stores": null } }),
    };
    let recreate = Patch {
        id: "make".to_owned(),
        version: 2,
        patch: json!({ "teams": { "stores": { "quota": quota, "queue": 1000 } } }),
    };
    for patch in [remove, recreate] {
        let reply = cell
            .operator
            .patch(cell.http(0), &patch)
            .await
            .expect("reply");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    assert!(wait_everywhere(&cell, 1, 3).await);
    // `load_plan` takes the number of requests per second and their total number.
    let plan = load_plan(&cell, 200, 100, |number| Request {
        run_millis: 100,
        ..lookup_request(&format!("small-{number}"))
    });

    let outcomes = run_load(&cell.caller, plan).await;

    let counts = count_families(&outcomes);
    assert_eq!(counts.get(&Family::Succeeded), Some(&100), "{counts:?}");
    let quota_resources = Resources {
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
    // Checks the quota as if it were the capacity of a single worker that ran all tasks of the
    // team.
    let runs: Vec<Run> = runs
        .map(|run| Run {
            worker: "team".to_owned(),
            ..run
        })
        .collect();
    assert_eq!(check_capacity(&runs, quota_resources), vec![]);
    cell.close();
}
