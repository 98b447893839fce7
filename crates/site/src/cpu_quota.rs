//! Limits the processor time of processes: each runs at full speed until its quota of a period is
//! used up, and then not at all for the rest of that period.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// Period of a quota.
const PERIOD: Duration = Duration::from_millis(100);

/// Time between two checks of the processor time that was used.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A process with its quota.
struct Limited {
    pid: Pid,
    /// Processor time for each period.
    quota: Duration,
    /// Processor time of the process up to which it may run in this period.
    allowed: Duration,
    stopped: bool,
}

impl Limited {
    /// Processor time that the process has used; zero if it has ended.
    fn used(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.pid);
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
        Duration::from_nanos(nanos.unwrap_or_default())
    }

    fn signal(&mut self, signal: Signal, stopped: bool) {
        // Fails if the process has ended; then there is nothing to limit.
        let _ = kill(self.pid, signal);
        self.stopped = stopped;
    }

    /// Begins a period. Time used beyond the quota of the last one counts against this one.
    fn begin_period(&mut self) {
        self.allowed = self.allowed.max(self.used().saturating_sub(self.quota)) + self.quota;
        if self.stopped && self.used() < self.allowed {
            self.signal(Signal::SIGCONT, false);
        }
    }

    fn check(&mut self) {
        if !self.stopped && self.used() >= self.allowed {
            self.signal(Signal::SIGSTOP, true);
        }
    }
}

/// Limits the processor time of processes until it is closed. Each process must have one thread that
/// does its work.
pub struct CpuQuota {
    ended: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl CpuQuota {
    /// Limits processes, given by their ids, to shares of a core.
    ///
    /// # Panics
    /// Panics if a process id is out of range.
    #[must_use]
    pub fn limit(shares: &[(u32, f64)]) -> CpuQuota {
        let limited = shares.iter().map(|&(id, share)| Limited {
            pid: Pid::from_raw(i32::try_from(id).expect("process id")),
            quota: PERIOD.mul_f64(share),
            allowed: Duration::ZERO,
            stopped: false,
        });
        let limited: Vec<Limited> = limited.collect();
        let ended = Arc::new(AtomicBool::new(false));
        let flag = ended.clone();
        CpuQuota {
            ended,
            thread: std::thread::spawn(move || enforce(limited, &flag)),
        }
    }

    /// Lifts the limits.
    ///
    /// # Panics
    /// Panics if the thread that enforces them has panicked.
    pub fn close(self) {
        self.ended.store(true, Ordering::Relaxed);
        self.thread.join().expect("quota thread");
    }
}

fn enforce(mut limited: Vec<Limited>, ended: &AtomicBool) {
    let mut period_end = Instant::now();
    while !ended.load(Ordering::Relaxed) {
        let begins = Instant::now() >= period_end;
        if begins {
            period_end = Instant::now() + PERIOD;
        }
        for process in &mut limited {
            if begins {
                process.begin_period();
            }
            process.check();
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    for process in &mut limited {
        process.signal(Signal::SIGCONT, false);
    }
}
