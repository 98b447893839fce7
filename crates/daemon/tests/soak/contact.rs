//! When faults keep processes from being in touch with the platform.
//!
//! Bounds in time hold only for processes that are in touch, and whose store and links are sound.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fake::RelayPlan;
use site::StoreFaults;

use crate::plan::Event;

/// Time without faults after which processes are in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Cause {
    Process(usize),
    StoreLink(usize),
    WorkerLink(usize),
    Store,
}

/// Times of the faults so far.
#[derive(Debug, Default)]
pub struct Contact {
    /// Begin of each fault that lasts.
    open: HashMap<Cause, Instant>,
    /// Begins and ends of the others.
    ended: Vec<(Instant, Instant)>,
}

impl Contact {
    /// Records an event that begins or ends a fault now.
    pub fn record(&mut self, event: &Event) {
        let healthy = RelayPlan::default();
        match event {
            Event::Kill(host) | Event::Stop(host) | Event::Pause(host) => {
                self.begin(Cause::Process(*host));
            }
            Event::Start(host) | Event::Resume(host) => self.end(Cause::Process(*host)),
            Event::StoreRelay(host, plan) => self.set(Cause::StoreLink(*host), *plan != healthy),
            Event::WorkerRelay(worker, plan) => {
                self.set(Cause::WorkerLink(*worker), *plan != healthy);
            }
            Event::Store(faults) => self.set(Cause::Store, affects_reads(faults)),
            Event::DropHistory => {
                self.begin(Cause::Store);
                self.end(Cause::Store);
            }
            Event::Reload(_)
            | Event::LoseStarts(..)
            | Event::Configure(_)
            | Event::Resize(..)
            | Event::Restart(..)
            | Event::Drain(_) => {}
        }
    }

    fn set(&mut self, cause: Cause, active: bool) {
        if active {
            self.begin(cause);
        } else {
            self.end(cause);
        }
    }

    fn begin(&mut self, cause: Cause) {
        self.open.entry(cause).or_insert_with(Instant::now);
    }

    fn end(&mut self, cause: Cause) {
        if let Some(begin) = self.open.remove(&cause) {
            self.ended.push((begin, Instant::now()));
        }
    }

    /// Whether any fault was active at `at`, or less than [`CONTACT_TIME`] before.
    pub fn disturbed(&self, at: Instant) -> bool {
        let lasting = self.open.values().any(|begin| *begin <= at);
        let recent = |(begin, end): &(Instant, Instant)| *begin <= at && at < *end + CONTACT_TIME;
        lasting || self.ended.iter().any(recent)
    }
}

fn affects_reads(faults: &StoreFaults) -> bool {
    faults.down || !faults.delay.is_zero() || faults.lost_replies > 0 || faults.hung_feed
}
