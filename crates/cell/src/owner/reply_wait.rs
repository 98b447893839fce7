//! How long the owner waits for the reply to a transaction before it looks for another sign that
//! the transaction was carried out.

use std::time::Duration;

/// Timeout of one transaction; a slow store takes up to 1.2 s.
pub(super) const SAVE_TIMEOUT: Duration = Duration::from_millis(1600);

/// Shortest wait; a transaction usually takes 15 ms.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Longest wait. The next transaction has to renew the ownership in time even if this one's reply
/// is lost.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// The wait as a multiple of the usual time to a reply.
const WAIT_FACTOR: u32 = 4;

/// Part of the difference to a faster reply by which the usual time decreases.
const DECAY: u32 = 8;

/// Wait for the reply to a transaction, according to the replies to earlier ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyWait {
    /// Usual time to a reply.
    usual: Duration,
    /// Number of transactions since the last reply that got none until [`SAVE_TIMEOUT`].
    lost: u32,
}

impl ReplyWait {
    /// Records the time that a reply took.
    pub fn record(&mut self, time: Duration) {
        let decrease = self.usual.saturating_sub(time) / DECAY;
        self.usual = time.max(self.usual.saturating_sub(decrease));
        self.lost = 0;
    }

    /// Records that a transaction got no reply until its timeout. The next one is awaited twice as
    /// long, so that a store that has become slow gets fewer repeated writes.
    pub fn record_lost(&mut self) {
        self.lost = self.lost.saturating_add(1);
    }

    /// Time after which the reply to the next transaction is overdue.
    #[must_use]
    pub fn current(&self) -> Duration {
        let wait = (self.usual * WAIT_FACTOR).max(MIN_WAIT);
        let factor = 2_u32.saturating_pow(self.lost);
        wait.saturating_mul(factor).min(MAX_WAIT)
    }
}
