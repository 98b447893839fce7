//! Rate limiter for the stand-in services.

use std::time::Instant;

/// Token bucket whose capacity is the amount earned in one second. It refuses
/// calls when it holds too few tokens, rather than delaying them.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate: u32) -> TokenBucket {
        TokenBucket {
            rate: f64::from(rate),
            tokens: f64::from(rate),
            refilled: Instant::now(),
        }
    }

    pub(crate) fn try_take(&mut self, amount: usize) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate);
        self.refilled = now;
        let amount = f64::from(u32::try_from(amount).unwrap_or(u32::MAX));
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
