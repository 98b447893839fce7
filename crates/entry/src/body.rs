//! JSON bodies of the HTTP interface.

use model::Answer;
use model::Family;
use model::Version;
use serde::Deserialize;
use serde::Serialize;
use shard::MemberView;
use shard::View;

/// An answer as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Number of the result code.
    pub number: u16,
    /// Family of the result code.
    pub family: Family,
    /// Length of the output, in bytes.
    pub length: usize,
    /// The answer.
    #[serde(flatten)]
    pub answer: Answer,
}

impl From<Answer> for AnswerBody {
    fn from(answer: Answer) -> AnswerBody {
        AnswerBody {
            number: answer.code.number(),
            family: answer.code.family(),
            length: answer.output.len(),
            answer,
        }
    }
}

/// A cancel call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// One request.
    #[serde(default)]
    pub id: Option<String>,
    /// All requests of the team with this label.
    #[serde(default)]
    pub label: Option<String>,
}

/// Result of a cancel call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledBody {
    /// Requests that are cancelled, or were told to stop.
    pub cancelled: u32,
}

/// The configuration and where it is in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Newest version.
    pub version: Version,
    /// Version in force on every process that may act.
    pub everywhere: Version,
    /// Newest document.
    pub config: model::Config,
}

/// The cell as this process sees it.
#[derive(Clone, Debug, Serialize)]
pub struct CellBody {
    /// Processes.
    pub members: Vec<MemberView>,
    /// Shards.
    pub shards: Vec<ShardBody>,
    /// Whether the table answers.
    pub reachable: bool,
    /// Milliseconds since members and owners were read; none before that.
    pub age_millis: Option<u128>,
}

/// Owner of one shard.
#[derive(Clone, Debug, Serialize)]
pub struct ShardBody {
    /// Number.
    pub shard: u16,
    /// Process run that owns it.
    pub owner: String,
    /// Epoch.
    pub epoch: u64,
    /// Whether this process runs it.
    pub local: bool,
}

impl From<&View> for CellBody {
    fn from(view: &View) -> CellBody {
        let mut shards: Vec<ShardBody> = view
            .owners
            .iter()
            .map(|(shard, owner)| ShardBody {
                shard: *shard,
                owner: owner.process.clone(),
                epoch: owner.epoch,
                local: view.local.contains_key(shard),
            })
            .collect();
        shards.sort_by_key(|shard| shard.shard);
        CellBody {
            members: view.members.clone(),
            shards,
            reachable: view.table_reachable(),
            age_millis: view.age().map(|age| age.as_millis()),
        }
    }
}
