//! Finds a shard with free workers for a request that has to wait in its own.

use std::time::Duration;

use model::ShardId;
use rand::RngExt;

use crate::OffloadResult;
use crate::Router;
use crate::ShardAsk;
use crate::ShardReply;
use crate::Submission;

/// Maximum number of other shards to which a request is offered before it returns
/// to its queue.
const MAX_OFFERS: u32 = 3;

/// Time for the reply of the other shard, in addition to the declared run time.
const REPLY_GRACE: Duration = Duration::from_secs(30);

/// Offers requests of one shard to other shards; clones share the view of the
/// cell.
#[derive(Clone, Debug)]
pub struct Offloader {
    router: Router,
    shard: ShardId,
}

impl Offloader {
    /// Creates the offloader for one shard.
    #[must_use]
    pub fn new(router: Router, shard: ShardId) -> Offloader {
        Offloader { router, shard }
    }

    /// Asks a few random shards to run the request at once.
    pub async fn offload(&self, submission: &Submission) -> OffloadResult {
        let run = Duration::from_millis(submission.request.run_millis);
        for _ in 0..MAX_OFFERS {
            let ask = ShardAsk::Run(submission.clone());
            match self
                .router
                .ask_once(self.other_shard(), ask, run + REPLY_GRACE)
                .await
            {
                Some(ShardReply::Answer(answer)) if answer.code.is_final() => {
                    return OffloadResult::Answer(answer);
                }
                Some(ShardReply::Busy | ShardReply::NotOwner | ShardReply::TimedOut) => {}
                _ => return OffloadResult::Lost,
            }
        }
        OffloadResult::Refused
    }

    fn other_shard(&self) -> ShardId {
        let other_count = self.router.shards() - 1;
        let step = rand::rng().random_range(1..=other_count.max(1));
        (self.shard + step) % self.router.shards()
    }
}
