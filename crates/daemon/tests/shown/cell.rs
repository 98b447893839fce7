//! What a process shows of the cell and of the platform's table.

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

use crate::house::House;
use crate::house::call;
use crate::house::nowhere;
use crate::stubs::Fault;

/// Another process, which says whether the table answers it.
#[derive(Clone, Debug, Default)]
struct Neighbour {
    reaches: Arc<AtomicBool>,
}

impl Service for Neighbour {
    type Request = Ask;
    type Reply = Reply;

    async fn answer(&self, _ask: Ask) -> Reply {
        Reply::Pong(TableHealth {
            process: "b-1".to_owned(),
            reachable: self.reaches.load(Ordering::Acquire),
        })
    }
}

/// A table with configuration version 3.
fn configured() -> House {
    let house = House::new();
    let mut config = initial_config();
    config.version = 3;
    house.table.put(CONFIG_HEAD, "3");
    house.table.put(CONFIG_CURRENT, &encode_row(&config));
    house
}

/// Waits for what the process believes; false if it did not come, in 5 s.
async fn comes(house: &House, wanted: impl Fn(&View) -> bool) -> bool {
    for _ in 0..250 {
        if wanted(&house.believes()) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

// The time line said that the table answers again (205) in the middle of an
// outage. A neighbour had confirmed the outage and the shards went on; then
// the neighbour reached the table and this process did not, so its shards
// stopped. The end of the confirmation was taken for the end of the outage.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_has_not_ended_while_the_table_is_silent() {
    let mut house = House::new();
    let neighbour = Neighbour::default();
    let (node, address) = house.other_node();
    let service = neighbour.clone();
    tokio::spawn(async move { node.serve(service).await });
    house.add_member(address, LeaseState::Live);
    house.keep();
    assert!(comes(&house, |view| view.members.len() == 2).await);

    house.table.fail(Fault::Refuses(String::new()));
    assert!(house.hears("outage_entered").await, "{:?}", house.events());
    neighbour.reaches.store(true, Ordering::Release);
    let unconfirmed = house.hears("outage_unconfirmed").await;

    assert!(unconfirmed, "{:?}", house.events());
    assert!(!house.events().contains(&"outage_left".to_owned()));
}

// Operators were told of a damaged row (600), which is for their hands to
// mend, and found the row whole. The table had refused the read; whatever went
// wrong while the configuration was read counted as damage.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_is_refused_is_no_damaged_row() {
    let mut house = configured();
    house.table.fail(Fault::Refuses(CONFIG_CURRENT.to_owned()));

    house.keep();
    let claimed = house.hears("shard_claimed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert!(claimed, "{:?}", house.events());
    assert!(!house.events().contains(&"row_damaged".to_owned()));
}

// The same of the journal of a shard that a process takes over.
#[tokio::test(flavor = "multi_thread")]
async fn a_journal_that_cannot_be_read_now_is_not_damaged() {
    let mut house = House::new();
    house.table.fail(Fault::Refuses("journal/".to_owned()));

    house.keep();
    let claimed = house.hears("shard_claimed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert!(claimed, "{:?}", house.events());
    assert!(!house.events().contains(&"row_damaged".to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_that_makes_no_sense_is_damaged() {
    let mut house = configured();
    house.table.put(CONFIG_CURRENT, "{");

    house.keep();

    assert!(house.hears("row_damaged").await, "{:?}", house.events());
}

// A configuration was said to be in force everywhere while a process still
// decided by the one before. That process was leaving, and went on with its
// shards until they were handed over; only processes that take new shards were
// asked.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_process_counts_for_what_is_in_force_everywhere() {
    let mut house = configured();
    house.add_member(nowhere(), LeaseState::Leaving);

    house.keep();
    let here = |view: &View| view.members.iter().any(|member| member.config == 3);
    let adopted = comes(&house, here).await;

    assert!(adopted, "{:?}", house.believes());
    assert_eq!(house.believes().lowest_config_version(), 0);
}

// A process said that the table answers (the gauge was 1) while it had waited
// for an answer for seconds. What it believes is published between two calls,
// and it was in the middle of one.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_table_is_not_shown_as_one_that_answers() {
    let mut house = House::new();
    house.keep();
    assert!(house.hears("shard_claimed").await, "{:?}", house.events());

    house.table.fail(Fault::Hangs);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let text = house.metrics();

    assert!(text.contains("clovermount_table_reachable 0"), "{text}");
}

// A process showed three live members of a cell in which it had been alone for
// minutes. It could not read the table, and nothing told how old its view was.
#[tokio::test(flavor = "multi_thread")]
async fn the_age_of_the_view_is_shown() {
    let mut house = House::new();
    house.keep();
    assert!(house.hears("shard_claimed").await, "{:?}", house.events());

    house.table.fail(Fault::Hangs);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let text = house.metrics();
    let age = text
        .lines()
        .find_map(|line| line.strip_prefix("clovermount_view_age_seconds "))
        .and_then(|value| value.parse::<f64>().ok());

    assert!(age.is_some_and(|age| age > 2.0), "{text}");
}

// An operator found that a patch was refused (502) in the time line, and in
// force on all processes. The answer of the table was lost, so the caller was
// told that the outcome is unknown; the event told of a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_patch_whose_outcome_is_unknown_is_not_recorded_as_refused() {
    let house = configured();
    house.table.fail(Fault::LosesCommits);
    let patch = r#"{"id": "p1", "version": 3, "patch": {"pack_percent": 40}}"#;

    let reply = house
        .api
        .handle(call(Method::POST, "/v1/config", patch))
        .await;

    assert_eq!(reply.status().as_u16(), 504);
    assert_eq!(house.events(), ["patch_unknown"]);
}
