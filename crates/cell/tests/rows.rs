//! Encoding of the rows that a cell keeps in the store, and compatibility with earlier versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cell::UsedWorker;
use cell::decode_job_row;
use cell::decode_progress;
use cell::decode_row;
use cell::decode_used_worker;
use cell::encode_row;
use job::CrashRecord;
use job::Outcome;
use job::Placement;
use job::Progress;
use job::Resources;
use job::StepProgress;
use serde::Deserialize;
use serde::Serialize;

/// A worker's row as written by the earliest version, without the capacity.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WithoutCapacity {
    service: String,
    address: SocketAddr,
}

fn without_capacity() -> WithoutCapacity {
    WithoutCapacity {
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
    }
}

fn used_worker(capacity: Resources, labels: &[&str]) -> UsedWorker {
    UsedWorker {
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        capacity,
        labels: labels.iter().map(|&label| label.to_owned()).collect(),
        incarnation: Some(1_790_000_000_000),
        smallest_share: 0.5,
    }
}

/// A worker's row as written by the previous version, without the smallest share.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WithoutShare {
    service: String,
    address: SocketAddr,
    capacity: Resources,
    labels: Vec<String>,
    incarnation: Option<u64>,
}

fn without_share(used_worker: &UsedWorker) -> WithoutShare {
    WithoutShare {
        service: used_worker.service.clone(),
        address: used_worker.address,
        capacity: used_worker.capacity,
        labels: used_worker.labels.clone(),
        incarnation: used_worker.incarnation,
    }
}

/// While a cell is updated process by process, processes of both versions run at the same time.
#[test]
fn both_versions_read_the_worker_row_of_both() {
    let row = used_worker(resources(), &["a", "r1-1"]);

    let by_current = decode_used_worker(&encode_row(&without_share(&row)));
    let by_previous = decode_row::<WithoutShare>(&encode_row(&row));

    let expected = UsedWorker {
        smallest_share: 1.0,
        ..row.clone()
    };
    assert_eq!(by_current, Ok(expected));
    assert_eq!(by_previous, Ok(without_share(&row)));
}

/// A worker's row as written by an earlier version, without the incarnation.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WithoutIncarnation {
    service: String,
    address: SocketAddr,
    capacity: Resources,
    labels: Vec<String>,
}

fn without_incarnation(used_worker: &UsedWorker) -> WithoutIncarnation {
    WithoutIncarnation {
        service: used_worker.service.clone(),
        address: used_worker.address,
        capacity: used_worker.capacity,
        labels: used_worker.labels.clone(),
    }
}

#[test]
fn a_worker_row_of_an_earlier_version_has_no_incarnation() {
    let row = used_worker(resources(), &["a", "r1-1"]);

    let decoded = decode_used_worker(&encode_row(&without_incarnation(&row))).expect("a row");

    assert_eq!(
        decoded,
        UsedWorker {
            incarnation: None,
            smallest_share: 1.0,
            ..row
        }
    );
}

/// While a cell is updated process by process, processes of both versions run at the same time.
#[test]
fn an_earlier_version_reads_a_worker_row() {
    let row = used_worker(resources(), &["a", "r1-1"]);

    let decoded = decode_row::<WithoutIncarnation>(&encode_row(&row));

    assert_eq!(decoded, Ok(without_incarnation(&row)));
}

/// Guards against a stored value that is no share: a negative one would stop all starts while the
/// registrations are stale.
#[test]
fn a_value_that_is_no_share_does_not_limit_the_pool() {
    let shares = [-1.0, 7.0, f64::NAN].map(|smallest_share| UsedWorker {
        smallest_share,
        ..used_worker(resources(), &[])
    });

    let shares = shares.map(|worker| worker.share().to_string());

    assert_eq!(shares, ["1", "1", "1"]);
}

fn resources() -> Resources {
    Resources {
        cpu: 4000,
        memory: 64_000,
        gpu: 1,
    }
}

#[test]
fn a_worker_row_is_decoded() {
    let row = used_worker(resources(), &["a", "r1-1"]);

    let decoded = decode_used_worker(&encode_row(&row));

    assert_eq!(decoded, Ok(row));
}

#[test]
fn a_worker_row_without_capacity_is_decoded() {
    let decoded = decode_used_worker(&encode_row(&without_capacity()));

    let expected = UsedWorker {
        incarnation: None,
        smallest_share: 1.0,
        ..used_worker(Resources::default(), &[])
    };
    assert_eq!(decoded, Ok(expected));
}

/// While a cell is updated, the pool may pass between owners of both versions.
#[test]
fn the_earliest_version_reads_a_worker_row() {
    let row = encode_row(&used_worker(resources(), &["a", "r1-1"]));

    let decoded = decode_row::<WithoutCapacity>(&row);

    assert_eq!(decoded, Ok(without_capacity()));
}

/// Progress of a job as written by an earlier version, without crashes.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WithoutCrashes {
    outcome: Option<Outcome>,
    steps: BTreeMap<(u32, u32), StepProgress>,
}

/// Progress of the two steps of a job, by round and step.
fn steps() -> BTreeMap<(u32, u32), StepProgress> {
    let step = StepProgress {
        done: vec![0, 2],
        ..StepProgress::default()
    };
    BTreeMap::from([((0, 0), step.clone()), ((0, 1), step)])
}

/// Progress of a job as written by the previous version, without placements.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WithoutPlacements {
    outcome: Option<Outcome>,
    steps: BTreeMap<(u32, u32), StepProgress>,
    crashes: BTreeMap<(u32, u32, u32), CrashRecord>,
}

/// Progress with crashes of workers on which the second task of the second step (round 0, step 1,
/// index 1) ran.
fn with_crashes() -> Progress {
    let record = CrashRecord {
        runs: BTreeSet::from([1, 2]),
        uncertain: BTreeSet::from([4]),
        pending: Some(3),
    };
    let placement = Placement {
        run: 3,
        worker: "w1".to_owned(),
        incarnation: Some(7),
    };
    Progress {
        outcome: None,
        steps: steps(),
        crashes: BTreeMap::from([((0, 1, 1), record)]),
        placements: BTreeMap::from([((0, 1, 1), placement)]),
        undecided: BTreeSet::from([(0, 1, 1)]),
    }
}

#[test]
fn progress_with_crashes_is_decoded() {
    let decoded = decode_progress(&encode_row(&with_crashes()));

    assert_eq!(decoded, Ok(with_crashes()));
}

/// While a cell is updated, the pool may pass between owners of both versions. An owner that could
/// not decode a row of progress written by the other version would never continue the row's job.
#[test]
fn both_versions_read_the_progress_of_both() {
    let previous = WithoutPlacements {
        outcome: None,
        steps: steps(),
        crashes: with_crashes().crashes,
    };

    let by_current =
        decode_progress(&encode_row(&previous)).expect("a row of the previous version");
    let by_previous = decode_row::<WithoutPlacements>(&encode_row(&with_crashes()));

    assert_eq!(by_current.steps, steps());
    assert_eq!(by_current.crashes, with_crashes().crashes);
    assert!(by_current.placements.is_empty());
    assert_eq!(by_previous, Ok(previous));
}

#[test]
fn progress_without_crashes_is_decoded() {
    let earlier = WithoutCrashes {
        outcome: None,
        steps: steps(),
    };

    let by_current = decode_progress(&encode_row(&earlier)).expect("a row of an earlier version");
    let by_earlier = decode_row::<WithoutCrashes>(&encode_row(&with_crashes()));

    assert_eq!(by_current.steps, steps());
    assert!(by_current.crashes.is_empty());
    assert_eq!(by_earlier, Ok(earlier));
}

/// A job's row as written by the previous version, without the organisation.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct JobWithoutOrganisation {
    queue: job::Queue,
    payload: String,
    steps: Vec<job::StepSpec>,
    schedule: Option<job::Schedule>,
    received: Duration,
    canceled: bool,
}

fn stored_job(organisation: Option<job::Organisation>) -> job::JobSpec {
    job::JobSpec {
        queue: job::Queue {
            name: "bins".to_owned(),
            host: "desk.example".to_owned(),
            prefix: "/bins/".to_owned(),
            service: "desk".to_owned(),
            priority: 1,
            attempts: 2,
            stretch: 2.0,
            slack: Duration::from_secs(1),
            timeout: Duration::from_secs(3),
            advice: None,
            public: false,
        },
        payload: "text".to_owned(),
        steps: vec![job::StepSpec {
            count: 3,
            need: resources(),
            ..job::StepSpec::default()
        }],
        schedule: None,
        received: Duration::from_secs(9),
        canceled: false,
        organisation,
    }
}

fn without_organisation(job: &job::JobSpec) -> JobWithoutOrganisation {
    JobWithoutOrganisation {
        queue: job.queue.clone(),
        payload: job.payload.clone(),
        steps: job.steps.clone(),
        schedule: job.schedule,
        received: job.received,
        canceled: job.canceled,
    }
}

/// While a cell is updated process by process, processes of both versions run at the same time.
#[test]
fn both_versions_read_the_job_row_of_both() {
    let organisation = job::Organisation {
        name: "stores".to_owned(),
        weight: 46.0,
        limit: job::ResourceLimit(resources()),
    };
    let row = stored_job(Some(organisation));

    let by_current = decode_job_row(&encode_row(&row));
    let old_by_current = decode_job_row(&encode_row(&without_organisation(&row)));
    let by_previous = decode_row::<JobWithoutOrganisation>(&encode_row(&row));

    assert_eq!(by_current, Ok(row.clone()));
    assert_eq!(old_by_current, Ok(stored_job(None)));
    assert_eq!(by_previous, Ok(without_organisation(&row)));
}
