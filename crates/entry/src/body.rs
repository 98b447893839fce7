//! JSON bodies of the HTTP API.

use model::Answer;
use model::Family;
use model::Version;
use serde::Deserialize;
use serde::Serialize;
use shard::MemberView;
use shard::View;

/// Answer to a request, as returned to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Numeric value of the result code.
    pub number: u16,
    /// Family of the result code.
    pub family: Family,
    /// Length of the output, in bytes.
    pub length: usize,
    /// The answer, whose fields are on the same level as those above.
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

/// Body of a cancel call; sets either `id` or `label`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// Id of the request to cancel.
    #[serde(default)]
    pub id: Option<String>,
    /// Label of the requests to cancel: all of the caller's team with this label.
    #[serde(default)]
    pub label: Option<String>,
}

/// Body of the reply to a cancel call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledBody {
    /// Number of requests that were cancelled before their start or asked to stop.
    pub cancelled: u32,
}

/// The newest configuration, and the oldest version still in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Version of the newest configuration.
    pub version: Version,
    /// Oldest version in force in any process whose lease has not expired; all of
    /// them use this version or a newer one.
    pub everywhere: Version,
    /// Content of the newest configuration.
    pub config: model::Config,
}

/// State of the cell, as this process last read it from the table.
#[derive(Clone, Debug, Serialize)]
pub struct CellBody {
    /// Member processes of the cell.
    pub members: Vec<MemberView>,
    /// Shards and their owners.
    pub shards: Vec<ShardBody>,
    /// Whether the table has answered a call of this process within the last 1.2 s.
    pub reachable: bool,
    /// Milliseconds since members and owners were last read from the table; `None`
    /// before the first read.
    pub age_millis: Option<u128>,
}

/// A shard and its owner.
#[derive(Clone, Debug, Serialize)]
pub struct ShardBody {
    /// Index of the shard.
    pub shard: u16,
    /// Incarnation of the process that owns the shard.
    pub owner: String,
    /// Ownership epoch of the shard.
    pub epoch: u64,
    /// Whether the shard's task runs in the process that returns this body.
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
