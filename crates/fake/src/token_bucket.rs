//! Rate limiter for the stand-in services.

use std::time::Instant;

/// Token bucket whose capacity is the number of tokens added in one second. A
/// call for which there are too few tokens is refused rather than delayed.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate: u32) -> TokenBucket {
        TokenBucket {
            rate: f64::from(rate),
            tokens: f64::from(rate),
            refilled_at: Instant::now(),
        }
    }

    /// Takes `amount` tokens; returns false, and takes none, if there are too few.
    pub(crate) fn try_take(&mut self, amount: usize) -> bool {
        let now = Instant::now();
        let added = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.rate);
        self.refilled_at = now;
        let amount = f64::from(u32::try_from(amount).unwrap_or(u32::MAX));
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
