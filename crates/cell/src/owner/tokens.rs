//! What the orders of an owner carry, so that a worker refuses those of before.

use std::collections::HashMap;

use job::Epoch;
use job::Token;
use job::WorkerId;

/// Links that an owner has opened to each worker.
///
/// A worker that starts again has seen no token. Orders that were meant for its former
/// life may reach the new one seconds later: leases on another clock, acknowledgements of
/// ends that nobody has heard of. So the orders of each next link carry a higher token.
#[derive(Debug, Default)]
pub(super) struct Tokens(HashMap<WorkerId, u64>);

impl Tokens {
    /// The token of a new link to a worker.
    pub(super) fn next(&mut self, epoch: Epoch, id: &str) -> Token {
        let links = self.0.entry(id.to_owned()).or_default();
        let token = job::token(epoch, *links);
        *links += 1;
        token
    }
}
