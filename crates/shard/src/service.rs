//! Answers the calls of other processes.

use std::sync::Arc;

use model::Incarnation;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Ask;
use crate::OwnerMessage;
use crate::Reply;
use crate::Route;
use crate::ShardAsk;
use crate::ShardReply;
use crate::TableHealth;
use crate::View;

/// Answers the calls of other processes.
#[derive(Clone, Debug)]
pub struct CellService {
    process: Incarnation,
    view: watch::Receiver<Arc<View>>,
    hints: Arc<Notify>,
}

impl CellService {
    /// A service of the process with the given view; a hint wakes `hints`.
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
            Route::Remote(_) | Route::Nowhere => ShardReply::NotOwner,
        }
    }
}

/// Asks a shard of this process.
pub(crate) async fn ask_local(
    owner: &tokio::sync::mpsc::UnboundedSender<OwnerMessage>,
    ask: ShardAsk,
) -> ShardReply {
    let (sender, reply) = oneshot::channel();
    if owner.send(OwnerMessage::Ask(ask, sender)).is_err() {
        return ShardReply::NotOwner;
    }
    // A task that ended without a reply has given the shard up.
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
                reachable: self.view.borrow().reachable(),
            }),
            Ask::Hint(_) => {
                self.hints.notify_one();
                Reply::Done
            }
        }
    }
}
