//! Signals that the platform sends to a process.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Signals that are handled from the moment of [`Signals::install`] on.
///
/// Until then their defaults hold, which end the process: one that was told of
/// changed settings while it was starting died of it. So they are installed
/// before anything else is done.
#[derive(Debug)]
pub struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers; needs a runtime.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Notice {
        tokio::select! {
            _ = self.terminate.recv() => Notice::Stop,
            _ = self.interrupt.recv() => Notice::Stop,
            _ = self.hangup.recv() => Notice::Reload,
        }
    }

    /// Waits until the process is asked to stop.
    pub async fn stop(&mut self) {
        while self.next().await != Notice::Stop {}
    }
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Finish what is under way and end (SIGTERM, SIGINT).
    Stop,
    /// Read the settings again (SIGHUP).
    Reload,
}
