//! Events, metrics and replies about the other processes of the cell, the configuration and the
//! platform's table.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use peer::Service;
use shard::Ask;
use shard::CONFIG_CURRENT;
use shard::CONFIG_HEAD;
use shard::LeaseState;
use shard::Reply;
use shard::TableHealth;
use shard::View;
use shard::encode_row;
use shard::initial_config;
use web::Handler;
use web::Method;

use crate::fixture::Fixture;
use crate::fixture::call;
use crate::fixture::unused_address;
use crate::stubs::Fault;

/// Service of another process, `b-1`, which answers each call with whether that process reaches
/// the table.
#[derive(Clone, Debug, Default)]
struct OtherProcess {
    table_reachable: Arc<AtomicBool>,
}

impl Service for OtherProcess {
    type Request = Ask;
    type Reply = Reply;

    async fn answer(&self, _ask: Ask) -> Reply {
        Reply::Pong(TableHealth {
            process: "b-1".to_owned(),
            reachable: self.table_reachable.load(Ordering::Acquire),
        })
    }
}

/// A fixture whose table contains version 3 of the configuration.
fn fixture_with_config() -> Fixture {
    let fixture = Fixture::new();
    let mut config = initial_config();
    config.version = 3;
    fixture.table.put(CONFIG_HEAD, "3");
    fixture.table.put(CONFIG_CURRENT, &encode_row(&config));
    fixture
}

/// Waits until the process's view of the cell meets `expected`; returns false if it does not within
/// 5 s.
async fn wait_for_view(fixture: &Fixture, expected: impl Fn(&View) -> bool) -> bool {
    for _ in 0..250 {
        if expected(&fixture.current_view()) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

// Guards against the event that the table is available again (`outage_left`, 205) while this
// process still cannot reach it. Another process has confirmed the outage, so the shards of this
// one continue. Then the other process reaches the table again and no longer confirms the
// outage, so the shards of this one stop. The event to record is `outage_unconfirmed`.
#[tokio::test(flavor = "multi_thread")]
async fn no_end_of_an_outage_is_reported_while_the_table_does_not_answer() {
    let mut fixture = Fixture::new();
    let other = OtherProcess::default();
    let (endpoint, address) = fixture.other_endpoint();
    let service = other.clone();
    tokio::spawn(async move { endpoint.serve(service).await });
    fixture.add_member(address, LeaseState::Live);
    fixture.start_shard_manager();
    assert!(wait_for_view(&fixture, |view| view.members.len() == 2).await);

    fixture.table.set_fault(Fault::RefuseReads(String::new()));
    assert!(
        fixture.wait_for_event("outage_entered").await,
        "{:?}",
        fixture.events()
    );
    other.table_reachable.store(true, Ordering::Release);
    let unconfirmed = fixture.wait_for_event("outage_unconfirmed").await;

    assert!(unconfirmed, "{:?}", fixture.events());
    assert!(!fixture.events().contains(&"outage_left".to_owned()));
}

// Guards against the event that a row is damaged (`row_damaged`, 600), which an operator has to
// repair, when the table has only refused to read the row of the configuration. Not every error
// while a row is read means that the row is damaged.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_read_is_not_reported_as_a_damaged_row() {
    let mut fixture = fixture_with_config();
    fixture
        .table
        .set_fault(Fault::RefuseReads(CONFIG_CURRENT.to_owned()));

    fixture.start_shard_manager();
    let shard_claimed = fixture.wait_for_event("shard_claimed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert!(shard_claimed, "{:?}", fixture.events());
    assert!(!fixture.events().contains(&"row_damaged".to_owned()));
}

// The same failure for the journal rows of a shard that the process takes over.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_read_of_a_journal_is_not_reported_as_a_damaged_row() {
    let mut fixture = Fixture::new();
    fixture
        .table
        .set_fault(Fault::RefuseReads("journal/".to_owned()));

    fixture.start_shard_manager();
    let shard_claimed = fixture.wait_for_event("shard_claimed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert!(shard_claimed, "{:?}", fixture.events());
    assert!(!fixture.events().contains(&"row_damaged".to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_that_cannot_be_decoded_is_reported_as_damaged() {
    let mut fixture = fixture_with_config();
    fixture.table.put(CONFIG_CURRENT, "{");

    fixture.start_shard_manager();

    assert!(
        fixture.wait_for_event("row_damaged").await,
        "{:?}",
        fixture.events()
    );
}

// Guards against reporting that all processes use a version of the configuration while a leaving
// process still uses an earlier one. A leaving process claims no more shards, but runs its own
// until they are handed over, so its version must count too.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_process_counts_for_the_lowest_configuration_version() {
    let mut fixture = fixture_with_config();
    fixture.add_member(unused_address(), LeaseState::Leaving);

    fixture.start_shard_manager();
    let is_adopted = |view: &View| view.members.iter().any(|member| member.config == 3);
    let adopted = wait_for_view(&fixture, is_adopted).await;

    assert!(adopted, "{:?}", fixture.current_view());
    assert_eq!(fixture.current_view().lowest_config_version(), 0);
}

// Guards against a metric that shows the table as reachable (1) while a call to it has waited
// for its answer for seconds. The process publishes its view of the cell only between calls, so
// the metric must be computed from the time of the table's last answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_table_that_does_not_answer_is_not_shown_as_reachable() {
    let mut fixture = Fixture::new();
    fixture.start_shard_manager();
    assert!(
        fixture.wait_for_event("shard_claimed").await,
        "{:?}",
        fixture.events()
    );

    fixture.table.set_fault(Fault::Hang);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let text = fixture.metrics();

    assert!(text.contains("clovermount_table_reachable 0"), "{text}");
}

// Guards against a view of the cell that is out of date without showing it. A process that
// cannot read the table may show three live members although it has been alone in the cell for
// minutes.
#[tokio::test(flavor = "multi_thread")]
async fn the_age_of_the_view_grows_while_the_table_does_not_answer() {
    let mut fixture = Fixture::new();
    fixture.start_shard_manager();
    assert!(
        fixture.wait_for_event("shard_claimed").await,
        "{:?}",
        fixture.events()
    );

    fixture.table.set_fault(Fault::Hang);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let text = fixture.metrics();
    let age = text
        .lines()
        .find_map(|line| line.strip_prefix("clovermount_view_age_seconds "))
        .and_then(|value| value.parse::<f64>().ok());

    assert!(age.is_some_and(|age| age > 2.0), "{text}");
}

// Guards against the event that a patch was refused (502) although all processes use it. The
// table's answer to the commit is lost, so the caller is answered that the outcome is unknown;
// the event (`patch_unknown`) must say the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_patch_whose_outcome_is_unknown_is_not_recorded_as_refused() {
    let fixture = fixture_with_config();
    fixture.table.set_fault(Fault::LoseCommits);
    let patch = r#"{"id": "p1", "version": 3, "patch": {"pack_percent": 40}}"#;

    let reply = fixture
        .api
        .handle(call(Method::POST, "/v1/config", patch))
        .await;

    assert_eq!(reply.status().as_u16(), 504);
    assert_eq!(fixture.events(), ["patch_unknown"]);
}
