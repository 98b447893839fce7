//! Service that answers the calls of other processes.

use std::sync::Arc;

use model::Incarnation;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Ask;
use crate::Reply;
use crate::Route;
use crate::ShardAsk;
use crate::ShardReply;
use crate::ShardTaskMessage;
use crate::TableHealth;
use crate::View;

/// Answers calls of other processes from this process's view and shards.
#[derive(Clone, Debug)]
pub struct CellService {
    process: Incarnation,
    view: watch::Receiver<Arc<View>>,
    hints: Arc<Notify>,
}

impl CellService {
    /// Creates the service of a process with its view of the cell. A hint from
    /// another process notifies `hints`.
    #[must_use]
    pub fn new(process: &str, view: watch::Receiver<Arc<View>>, hints: Arc<Notify>) -> CellService {
        CellService {
            process: process.to_owned(),
            view,
            hints,
        }
    }

    async fn ask_shard(&self, shard: model::ShardId, ask: ShardAsk) -> ShardReply {
        let route = self.view.borrow().route(shard);
        match route {
            Route::Local(owner) => ask_local(&owner, ask).await,
            Route::Remote(_) | Route::Unroutable => ShardReply::NotOwner,
        }
    }
}

/// Sends a call to a shard that this process owns.
pub(crate) async fn ask_local(
    owner: &tokio::sync::mpsc::UnboundedSender<ShardTaskMessage>,
    ask: ShardAsk,
) -> ShardReply {
    let (sender, reply) = oneshot::channel();
    if owner.send(ShardTaskMessage::Ask(ask, sender)).is_err() {
        return ShardReply::NotOwner;
    }
    // If the owner's task ended without a reply, it has released the shard.
    reply.await.unwrap_or(ShardReply::Moved)
}

impl peer::Service for CellService {
    type Request = Ask;
    type Reply = Reply;

    async fn answer(&self, ask: Ask) -> Reply {
        match ask {
            Ask::Shard(shard, ask) => Reply::Shard(self.ask_shard(shard, ask).await),
            Ask::Ping(_) => Reply::Pong(TableHealth {
                process: self.process.clone(),
                reachable: self.view.borrow().table_reachable(),
            }),
            Ask::Hint(_) => {
                self.hints.notify_one();
                Reply::Done
            }
        }
    }
}
