//! The newest forecast of the pool on this host, received from the owner with the replies to polls.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use job::Forecast;

/// Newest forecast, and the monotonic time at which it was made, or an earlier one.
#[derive(Clone, Debug, Default)]
pub struct ForecastCache {
    newest: Arc<Mutex<Option<(Forecast, Duration)>>>,
}

impl ForecastCache {
    /// Records a forecast that was received with the reply to a poll, which the owner held for `held`,
    /// and which was sent at the time `sent`. A host that has been frozen receives a reply long after it
    /// was sent, so all the time that the owner does not account for counts as age. A forecast of an
    /// epoch before one that is known already is ignored.
    pub fn record(&self, forecast: Forecast, sent: Duration, held: Duration) {
        let made = (sent + held).saturating_sub(forecast.age);
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (forecast.epoch, made);
        let known = newest.as_ref().map(|(known, made)| (known.epoch, *made));
        if known.is_none_or(|known| key >= known) {
            *newest = Some((forecast, made));
        }
    }

    /// Returns what `read` makes of the newest forecast and of its age at the monotonic time `now`.
    pub fn read<T>(&self, now: Duration, read: impl FnOnce(Option<&Forecast>, Duration) -> T) -> T {
        let newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        match newest.as_ref() {
            Some((forecast, made)) => read(Some(forecast), now.saturating_sub(*made)),
            None => read(None, Duration::ZERO),
        }
    }
}
